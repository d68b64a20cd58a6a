//! When a member reads and fetches again.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// A repeated call to the platform or a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Call {
    /// When it is next due; missing while one is under way.
    due: Option<Instant>,
    /// How many failed in a row.
    failures: u32,
}

impl Call {
    pub(super) const fn new(due: Instant) -> Self {
        Self {
            due: Some(due),
            failures: 0,
        }
    }

    /// Returns whether the call is to be made now.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.due.is_some_and(|due| now >= due)
    }

    /// Returns when the call is due, unless one is under way.
    pub(super) const fn wake(&self) -> Option<Instant> {
        self.due
    }

    /// Returns whether the call should go to the second choice this time.
    pub(super) const fn is_second_choice(&self) -> bool {
        !self.failures.is_multiple_of(2)
    }

    /// Notes that the call is being made.
    pub(super) const fn begin(&mut self) {
        self.due = None;
    }

    /// Notes a success; the next call is due after about `interval`.
    pub(super) fn succeed(&mut self, now: Instant, interval: Duration, rng: &mut Pcg64Mcg) {
        self.failures = 0;
        self.due = Some(now + spread(interval, rng));
    }

    /// Notes a failure; the next call is due after a pause that doubles each time, up to `longest`.
    ///
    /// The failure: when the platform comes back after an outage, every entry calls at once and it goes down again.
    /// Pauses that are long and spread out are enough, because few entries of each zone call often at all.
    pub(super) fn fail(&mut self, now: Instant, interval: Duration, longest: Duration, rng: &mut Pcg64Mcg) {
        const MOST_DOUBLINGS: u32 = 16;
        let factor = 1 << self.failures.min(MOST_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let pause = interval.saturating_mul(factor).min(longest.max(interval));
        self.due = Some(now + spread(pause, rng));
    }

    /// Makes the call due at a time, unless one is under way, and forgets failures.
    pub(super) fn restart(&mut self, due: Instant) {
        self.failures = 0;
        self.due = self.due.map(|_| due);
    }

    /// Makes the call due earlier, unless one is under way.
    pub(super) fn hasten(&mut self, due: Instant) {
        self.due = self.due.map(|later| later.min(due));
    }
}

/// Returns three to five quarters of a span, so that entries started together drift apart.
fn spread(span: Duration, rng: &mut Pcg64Mcg) -> Duration {
    span.mul_f64(rng.random_range(0.75..1.25))
}
