//! Table of limits, shares and request sizes that workers use.

use std::collections::BTreeMap;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::limiter;

use super::size::Size;

/// Limits, shares and request sizes under one configuration; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Table {
    pub(super) limiter: limiter::Table,
    pub(super) sizes: Arc<BTreeMap<name::Service, Arc<Size>>>,
}

impl Table {
    /// Returns the demand for a service and the average work of one of its endpoints, both in units of work per second.
    ///
    /// Returns `None` while no endpoint has reported.
    pub fn demand_and_rate(&self, service: &name::Service) -> Option<(f64, f64)> {
        let size = self.sizes.get(service)?;
        let endpoint_rate = size.endpoint_rate();
        (endpoint_rate > 0.0).then(|| (size.demand(), endpoint_rate))
    }

    /// Returns the table of limits, shares and admission gates.
    pub const fn limiter(&self) -> &limiter::Table {
        &self.limiter
    }
}
