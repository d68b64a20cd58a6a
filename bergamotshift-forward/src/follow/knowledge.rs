//! How fresh what an entry knows of the store is, and when it has to ask the store itself.

use core::time::Duration;

use bergamotshift_core::prelude::*;

use crate::outside::Cursor;

/// How much longer each entry waits than the one before it in rank, so that they do not all ask at once when the first
/// one is gone.
const RANK_DELAY: Duration = Duration::from_millis(150);

/// The most steps: however many entries there are, knowledge is never older than a few looks.
const MAX_RANK_STEPS: u32 = 3;

/// How many entries may each call the store as often as one alone would.
const FULL_RATE_CALLERS: usize = 16;

/// Returns how long one of `members` entries waits between two calls of the store, where one alone would wait for `pause`.
///
/// Failure: the store is away, and dozens of entries ask four times a second whether it is back. Symptom: half of a day's
/// calls are made while it is away, and every call is paid for. With more entries each waits longer, so that together
/// they ask as often; whoever has an answer first tells the others.
pub fn scale_pause(pause: Duration, members: usize) -> Duration {
    pause * u32::try_from(members.div_ceil(FULL_RATE_CALLERS)).unwrap_or(u32::MAX)
}

/// What is known as of some moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Checkpoint {
    cursor: Cursor,
    confirmed: Option<Instant>,
}

impl Checkpoint {
    /// Returns up to which change it is known.
    pub const fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// Returns how old it is; `None` when nothing is known.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Notes what somebody knew `age` ago; what is older than what is known already is passed over.
    pub fn confirm(&mut self, now: Instant, cursor: Cursor, age: Duration) {
        let at = now - age;
        if cursor >= self.cursor {
            self.cursor = cursor;
            self.confirmed = Some(self.confirmed.map_or(at, |confirmed| confirmed.max(at)));
        }
    }

    /// Returns how long until the entry asks the store itself.
    ///
    /// Every entry could ask for itself, and calls would grow with the entries. So the first in rank asks every `look`,
    /// and tells the others; the next ones ask only when their knowledge is older than that, because the first is gone
    /// or cannot reach the store. No entry is chosen, so none has to be found dead first.
    pub fn due(&self, now: Instant, interval: Duration, rank: usize) -> Duration {
        let steps = u32::try_from(rank).unwrap_or(u32::MAX).min(MAX_RANK_STEPS);
        let max_age = interval + RANK_DELAY * steps;
        self.age(now).map_or(Duration::ZERO, |age| max_age.saturating_sub(age))
    }
}
