//! Count of the requests in flight.

use core::sync::atomic::Ordering;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use smol_str::SmolStr;

use super::callers::Guard;
use super::job::Job;
use crate::view::Shared;

/// Guard that counts one request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct Active {
    shared: Arc<Shared>,
    /// Keeps the caller's connection from being closed as idle.
    _connection: Option<Guard>,
    /// Route and time of arrival, if its duration is recorded.
    measured: Option<(SmolStr, Instant)>,
}

impl Active {
    /// Counts a request as in flight.
    pub(crate) fn new(shared: &Arc<Shared>, connection: Option<Guard>) -> Self {
        shared.active.fetch_add(1, Ordering::SeqCst);
        shared.metrics.active.inc();
        Self {
            shared: Arc::clone(shared),
            _connection: connection,
            measured: None,
        }
    }

    /// Records how long the request lasts, once it has ended.
    pub(super) fn measure(&mut self, job: &Job) {
        self.measured = Some((job.route.name.clone(), job.arrived));
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        if let Some((route, arrived)) = &self.measured {
            let duration = self.shared.clock.now().since(*arrived);
            self.shared.drain.record(route, duration);
        }
        self.shared.active.fetch_sub(1, Ordering::AcqRel);
        self.shared.metrics.active.dec();
        self.shared.in_flight_changed.notify_one();
    }
}
