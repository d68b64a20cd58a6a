//! Count of the requests that an endpoint has neither begun nor rejected.

use std::sync::Arc;

use bergamotshift_core::prelude::*;

use super::Endpoint;
use crate::observe::Clock;

/// Guard that counts one request as unanswered until it is dropped.
#[derive(Debug)]
pub struct Unanswered {
    endpoint: Arc<Endpoint>,
    clock: Clock,
    is_rejected: bool,
}

impl Unanswered {
    /// Counts a request that is sent now.
    pub fn begin(endpoint: &Arc<Endpoint>, clock: Clock, now: Instant) -> Self {
        endpoint.signals.tolerance.begin(now, endpoint.room());
        Self {
            endpoint: Arc::clone(endpoint),
            clock,
            is_rejected: false,
        }
    }

    /// Records that the endpoint rejected the request.
    pub const fn reject(&mut self) {
        self.is_rejected = true;
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        let now = self.clock.now();
        self.endpoint.signals.tolerance.settle(now, self.is_rejected);
    }
}
