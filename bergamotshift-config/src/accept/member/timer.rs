//! Schedule of a member's reads and fetches.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Schedule of a call to the platform or a peer that is repeated with backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Schedule {
    /// Time at which the next call is due; `None` while a call is in flight.
    due: Option<Instant>,
    /// Number of consecutive failures.
    failures: u32,
}

impl Schedule {
    pub(super) const fn new(due: Instant) -> Self {
        Self {
            due: Some(due),
            failures: 0,
        }
    }

    /// Returns whether the next call is due.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.due.is_some_and(|due| now >= due)
    }

    /// Returns the time at which the next call is due, unless a call is in flight.
    pub(super) const fn due_at(&self) -> Option<Instant> {
        self.due
    }

    /// Returns whether the next call should go to the less preferred source, which is after an odd number of failures.
    pub(super) const fn prefers_fallback(&self) -> bool {
        !self.failures.is_multiple_of(2)
    }

    /// Marks a call as in flight.
    pub(super) const fn begin(&mut self) {
        self.due = None;
    }

    /// Records a success. The next call is due after about `interval`.
    pub(super) fn succeed(&mut self, now: Instant, interval: Duration, rng: &mut Pcg64Mcg) {
        self.failures = 0;
        self.due = Some(now + jitter(interval, rng));
    }

    /// Records a failure. The next call is due after a backoff that doubles each time, up to `max_backoff`.
    ///
    /// Without the backoff and its jitter, all entries would call at once when the platform recovers from an outage, and
    /// overload it again. Backoff and jitter suffice, because only a few entries of each zone call often.
    pub(super) fn fail(&mut self, now: Instant, interval: Duration, max_backoff: Duration, rng: &mut Pcg64Mcg) {
        const MAX_DOUBLINGS: u32 = 16;
        let factor = 1 << self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let backoff = interval.saturating_mul(factor).min(max_backoff.max(interval));
        self.due = Some(now + jitter(backoff, rng));
    }

    /// Sets the time of the next call, unless a call is in flight, and resets the failures.
    pub(super) fn restart(&mut self, due: Instant) {
        self.failures = 0;
        self.due = self.due.map(|_| due);
    }

    /// Moves the next call to an earlier time, unless a call is in flight.
    pub(super) fn bring_forward(&mut self, due: Instant) {
        self.due = self.due.map(|later| later.min(due));
    }
}

/// Returns a random duration from 75% to 125% of `span`, so that entries that start together do not call together.
fn jitter(span: Duration, rng: &mut Pcg64Mcg) -> Duration {
    span.mul_f64(rng.random_range(0.75..1.25))
}
