//! What workers ask.

use std::collections::BTreeMap;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::limiter;

use super::size::Size;

/// One configuration's organisations, services and sizes; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Table {
    pub(super) desk: limiter::Table,
    pub(super) sizes: Arc<BTreeMap<name::Service, Arc<Size>>>,
}

impl Table {
    /// Returns the work that a service is asked for, and what one of its endpoints does, both per second.
    ///
    /// Nothing is returned while no endpoint has reported.
    pub fn demand_and_rate(&self, service: &name::Service) -> Option<(f64, f64)> {
        let size = self.sizes.get(service)?;
        let rate = size.rate();
        (rate > 0.0).then(|| (size.demand(), rate))
    }

    /// Returns the limits, shares and gates, for releasing deferred jobs and for metrics.
    pub const fn desk(&self) -> &limiter::Table {
        &self.desk
    }
}
