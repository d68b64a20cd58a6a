//! Requests under way.

use core::sync::atomic::Ordering;
use std::sync::Arc;

use super::callers::Busy;
use crate::view::Shared;

/// Counts one request as under way until it is dropped.
#[derive(Debug)]
pub(super) struct Active {
    shared: Arc<Shared>,
    /// Keeps the caller's connection from being closed as idle.
    _busy: Option<Busy>,
}

impl Active {
    /// Counts a request.
    pub(super) fn new(shared: &Arc<Shared>, busy: Option<Busy>) -> Self {
        shared.active.fetch_add(1, Ordering::AcqRel);
        shared.metrics.active.inc();
        Self {
            shared: Arc::clone(shared),
            _busy: busy,
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
