//! An endpoint's record of broken attempts, and for how long it is suspended because of them.

use core::time::Duration;

use bergamotshift_core::prelude::*;

/// Broken attempts count together when they lie within this time.
const WINDOW: Duration = Duration::from_secs(10);

/// This many broken attempts suspend, when they are at least half of what ended in the window.
const BROKEN: u32 = 3;

/// The first suspension; each further one is twice as long.
const FIRST: Duration = Duration::from_secs(1);

/// The longest suspension.
const LONGEST: Duration = Duration::from_secs(30);

/// A record of broken attempts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Faults {
    since: Instant,
    finished: u32,
    broken: u32,
    suspensions: u32,
    until: Instant,
}

impl Faults {
    /// Notes a broken attempt, given how many attempts have ended so far; returns whether they are too many.
    pub(super) const fn note(&mut self, finished: u32, now: Instant) -> bool {
        if self.broken == 0 || now.since(self.since).as_millis() > WINDOW.as_millis() {
            self.since = now;
            self.finished = finished;
            self.broken = 0;
        }
        self.broken += 1;
        let ended = finished.wrapping_sub(self.finished);
        self.broken >= BROKEN && self.broken * 2 >= ended
    }

    /// Begins a suspension.
    pub(super) fn suspend(&mut self, now: Instant) {
        const MAX_DOUBLINGS: u32 = 5;
        let span = FIRST.saturating_mul(1 << self.suspensions.min(MAX_DOUBLINGS));
        self.until = now + span.min(LONGEST);
        self.suspensions += 1;
        self.broken = 0;
    }

    /// Returns whether no suspension is in force.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        now >= self.until
    }
}
