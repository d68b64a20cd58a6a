//! Freshness of an entry's copies of the store's contents.

use core::time::Duration;

use bergamotshift_core::prelude::*;

use super::turn::Turn;
use crate::outside::Cursor;

/// Position in the store's history of changes, and the time at which it was last confirmed to be current.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Checkpoint {
    cursor: Cursor,
    confirmed: Option<Instant>,
}

impl Checkpoint {
    /// Returns the cursor of the last known change.
    pub const fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// Returns the time since the last confirmation; `None` if there was none.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Records that the state at `cursor` was current `age` ago. An earlier cursor is ignored, and the time of the last
    /// confirmation never decreases.
    pub fn confirm(&mut self, now: Instant, cursor: Cursor, age: Duration) {
        let time = now - age;
        if cursor >= self.cursor {
            self.cursor = cursor;
            self.confirmed = Some(self.confirmed.map_or(time, |confirmed| confirmed.max(time)));
        }
    }

    /// Returns the time until the entry has to read the store itself.
    ///
    /// If each entry read the store, the number of calls would grow with the number of entries. Therefore the first
    /// entry in order reads every `interval` and informs the others. The next ones read only if their checkpoint is
    /// older, because the first has failed or cannot reach the store. No leader is elected, so no failure of a leader
    /// has to be detected.
    pub fn due(&self, now: Instant, interval: Duration, turn: Turn) -> Duration {
        let max_age = interval + turn.delay();
        self.age(now).map_or(Duration::ZERO, |age| max_age.saturating_sub(age))
    }
}
