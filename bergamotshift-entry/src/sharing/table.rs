//! What workers ask.

use std::collections::BTreeMap;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::desk;

use super::size::Size;

/// One configuration's organisations, services and sizes; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Table {
    pub(super) desk: desk::Table,
    pub(super) sizes: Arc<BTreeMap<name::Service, Arc<Size>>>,
}

impl Table {
    /// Returns the limits, shares and gates, for releasing deferred jobs and for metrics.
    pub const fn desk(&self) -> &desk::Table {
        &self.desk
    }
}
