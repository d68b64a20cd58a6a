//! Count of the requests in flight.

use core::sync::atomic::Ordering;
use std::sync::Arc;

use super::callers::Guard;
use crate::view::Shared;

/// Guard that counts one request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct Active {
    shared: Arc<Shared>,
    /// Keeps the caller's connection from being closed as idle.
    _connection: Option<Guard>,
}

impl Active {
    /// Counts a request as in flight.
    pub(crate) fn new(shared: &Arc<Shared>, connection: Option<Guard>) -> Self {
        shared.active.fetch_add(1, Ordering::AcqRel);
        shared.metrics.active.inc();
        Self {
            shared: Arc::clone(shared),
            _connection: connection,
        }
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.shared.active.fetch_sub(1, Ordering::AcqRel);
        self.shared.metrics.active.dec();
        self.shared.in_flight_changed.notify_one();
    }
}
