//! When a member reads and fetches again.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// A repeated call to the platform or a peer: when it is next due, whether one is under way, and how many failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Call {
    pub(super) due: Instant,
    pub(super) under_way: bool,
    pub(super) failures: u32,
}

impl Call {
    pub(super) const fn new(due: Instant) -> Self {
        Self {
            due,
            under_way: false,
            failures: 0,
        }
    }

    /// Returns whether the call is to be made now.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        !self.under_way && now >= self.due
    }

    /// Returns when the call is due, unless one is under way.
    pub(super) const fn wake(&self) -> Option<Instant> {
        if self.under_way { None } else { Some(self.due) }
    }

    /// Notes that the call is being made.
    pub(super) const fn begin(&mut self) {
        self.under_way = true;
    }

    /// Notes a success; the next call is due after about `interval`.
    pub(super) fn succeed(&mut self, now: Instant, interval: Duration, rng: &mut Pcg64Mcg) {
        self.under_way = false;
        self.failures = 0;
        self.due = now + spread(interval, rng);
    }

    /// Notes a failure; the next call is due after a pause that doubles each time, up to `longest`.
    ///
    /// The failure: when the platform comes back after an outage, every entry calls at once and it goes down again.
    /// Pauses that are long and spread out are enough, because few entries of each zone call often at all.
    pub(super) fn fail(&mut self, now: Instant, interval: Duration, longest: Duration, rng: &mut Pcg64Mcg) {
        const MOST_DOUBLINGS: u32 = 16;
        self.under_way = false;
        let factor = 1 << self.failures.min(MOST_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        self.due = now + spread(interval.saturating_mul(factor).min(longest.max(interval)), rng);
    }

    /// Makes the call due earlier.
    pub(super) fn hasten(&mut self, due: Instant) {
        self.due = self.due.min(due);
    }
}

/// Returns three to five quarters of a span, so that entries started together drift apart.
fn spread(span: Duration, rng: &mut Pcg64Mcg) -> Duration {
    span.mul_f64(rng.random_range(0.75..1.25))
}
