//! Observes the answer to one send of a request as evidence about a version.

use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_rollout::prelude::*;

use super::Collector;
use crate::observe::Clock;

/// Multiple of the expected time after which a request that ends without an answer counts as slow.
const SLOW_FACTOR: f64 = 2.0;

/// Observer of the answer to one send, which it records in the entry's [`Collector`].
#[derive(Debug)]
pub struct Observer {
    collector: Arc<Collector>,
    clock: Clock,
    service: name::Service,
    order: u64,
    route: u32,
    group: Group,
    /// Expected time to the beginning of the answer, in milliseconds.
    expected: f64,
    sent: Instant,
    is_waiting: bool,
    has_failed: bool,
}

impl Observer {
    /// Creates an observer of a request that is sent now.
    pub fn new(collector: &Arc<Collector>, clock: Clock, service: &name::Service, order: u64, route: u32) -> Self {
        Self {
            collector: Arc::clone(collector),
            clock,
            service: service.clone(),
            order,
            route,
            group: Group::Stable,
            expected: f64::INFINITY,
            sent: clock.now(),
            is_waiting: true,
            has_failed: false,
        }
    }

    /// Sets the group to which the answer belongs, and the time to its beginning that is expected, in milliseconds.
    #[must_use]
    pub fn expecting(mut self, group: Group, expected: f64) -> Self {
        self.group = group;
        self.expected = expected.max(1.0);
        self
    }

    /// Records that the answer began.
    ///
    /// A stream counts as good from its first event on. Failures end at once, while good streams last for seconds, so
    /// the first answers of a good version that ended could otherwise all be failures, and it would be rolled back.
    pub fn began(&mut self) {
        if core::mem::take(&mut self.is_waiting) {
            self.record(Answer::Latency(self.relative_wait()));
            self.record(Answer::Good);
        }
    }

    /// Records that the answer reports a failure, broke off or cannot be used.
    pub fn failed(&mut self) {
        self.is_waiting = false;
        if !core::mem::replace(&mut self.has_failed, true) {
            self.record(Answer::Bad);
        }
    }

    /// Returns the time since the request was sent, as a multiple of the expected time.
    fn relative_wait(&self) -> f64 {
        self.clock.now().since(self.sent).as_secs_f64() * 1e3 / self.expected
    }

    fn record(&self, answer: Answer) {
        self.collector
            .record(&self.service, self.order, self.route, self.group, answer);
    }
}

impl Drop for Observer {
    /// Records a request that ended without an answer as slow if it waited for long. Otherwise a version that answers
    /// only after its callers have left would get no evidence against it.
    fn drop(&mut self) {
        let waited = self.relative_wait();
        if self.is_waiting && waited >= SLOW_FACTOR {
            self.record(Answer::Latency(waited));
        }
    }
}
