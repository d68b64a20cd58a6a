//! Suspension of endpoints that fail too many attempts.

use core::time::Duration;

use bergamotshift_core::prelude::*;

/// Time within which failed attempts are counted together.
const WINDOW: Duration = Duration::from_secs(10);

/// Number of failed attempts that suspend an endpoint, if they are at least half of those that ended in the window.
const MIN_FAILURES: u32 = 3;

/// Duration of the first suspension; each further one is twice as long.
const MIN_SUSPENSION: Duration = Duration::from_secs(1);

/// Maximum duration of a suspension.
const MAX_SUSPENSION: Duration = Duration::from_secs(30);

/// Failed attempts and suspensions of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Faults {
    /// Time of the first failure in the current window.
    window_start: Instant,
    /// Number of ended attempts, as reported with the window's first failure.
    finished_before: u32,
    /// Number of failed attempts in the current window.
    failed: u32,
    /// Number of suspensions so far.
    suspensions: u32,
    /// Time at which the last suspension ends.
    suspended_until: Instant,
}

impl Faults {
    /// Records a failed attempt and returns whether the endpoint is to be suspended.
    ///
    /// `finished` is the number of attempts that have ended at the endpoint so far.
    pub(super) const fn record(&mut self, finished: u32, now: Instant) -> bool {
        if self.failed == 0 || now.since(self.window_start).as_millis() > WINDOW.as_millis() {
            self.window_start = now;
            self.finished_before = finished;
            self.failed = 0;
        }
        self.failed += 1;
        let ended = finished.wrapping_sub(self.finished_before);
        self.failed >= MIN_FAILURES && self.failed * 2 >= ended
    }

    /// Starts a suspension.
    pub(super) fn suspend(&mut self, now: Instant) {
        const MAX_DOUBLINGS: u32 = 5;
        let duration = MIN_SUSPENSION.saturating_mul(1 << self.suspensions.min(MAX_DOUBLINGS));
        self.suspended_until = now + duration.min(MAX_SUSPENSION);
        self.suspensions += 1;
        self.failed = 0;
    }

    /// Returns whether the endpoint is not suspended.
    pub(super) fn allows_requests(&self, now: Instant) -> bool {
        now >= self.suspended_until
    }
}
