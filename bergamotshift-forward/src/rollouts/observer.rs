//! One send whose answer counts as evidence.

use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_rollout::prelude::*;

use super::Collector;
use crate::observe::Clock;

/// How many times the expected time a request has to have waited in vain to count as slow.
const IN_VAIN: f64 = 2.0;

/// Sees what comes of one send, and counts it in the entry's book.
#[derive(Debug)]
pub struct Observer {
    book: Arc<Collector>,
    clock: Clock,
    service: name::Service,
    order: u64,
    route: u32,
    group: Group,
    /// The expected time to the answer's beginning, in milliseconds.
    expected: f64,
    sent: Instant,
    is_waiting: bool,
    has_failed: bool,
}

impl Observer {
    /// Makes the witness of a request that is sent now.
    pub fn new(book: &Arc<Collector>, clock: Clock, service: &name::Service, order: u64, route: u32) -> Self {
        Self {
            book: Arc::clone(book),
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

    /// Says whose answer it is, and after how many milliseconds it is expected to begin.
    #[must_use]
    pub fn expecting(mut self, group: Group, expected: f64) -> Self {
        self.group = group;
        self.expected = expected.max(1.0);
        self
    }

    /// Notes that the answer began.
    ///
    /// Failure: failures end at once, and streams that are sound last for seconds. Symptom: the first answers of a new
    /// version that ended are failures alone, and a sound one is condemned. A stream counts as good from its first event on.
    pub fn began(&mut self) {
        if core::mem::take(&mut self.is_waiting) {
            self.note(Answer::Latency(self.waited()));
            self.note(Answer::Good);
        }
    }

    /// Notes that the answer tells a failure, broke off or cannot be used.
    pub fn failed(&mut self) {
        self.is_waiting = false;
        if !core::mem::replace(&mut self.has_failed, true) {
            self.note(Answer::Bad);
        }
    }

    /// Returns how long it waited since it was sent, in times of what was expected.
    fn waited(&self) -> f64 {
        self.clock.now().since(self.sent).as_secs_f64() * 1e3 / self.expected
    }

    fn note(&self, answer: Answer) {
        self.book
            .record(&self.service, self.order, self.route, self.group, answer);
    }
}

impl Drop for Observer {
    /// Failure: a version answers so late that callers leave before. Symptom: none of its answers counts, and it passes for
    /// sound. A request that waited long in vain counts as slow.
    fn drop(&mut self) {
        let waited = self.waited();
        if self.is_waiting && waited >= IN_VAIN {
            self.note(Answer::Latency(waited));
        }
    }
}
