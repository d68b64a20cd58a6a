//! Tracks how fresh an entry's knowledge of the store is, and when the entry has to read the store itself.

use core::time::Duration;

use bergamotshift_core::prelude::*;

use crate::outside::Cursor;

/// Additional delay of each entry compared to the previous one in rank, so that not all entries read the store at once
/// when the first one fails.
const RANK_DELAY: Duration = Duration::from_millis(150);

/// Maximum number of such delays, which bounds the age of a checkpoint regardless of the number of entries.
const MAX_RANK_STEPS: u32 = 3;

/// Maximum number of entries that may each call the store as often as a single entry would.
const FULL_RATE_CALLERS: usize = 16;

/// Maximum age of a checkpoint before the entry reports what it covers as outdated. Requests may go to endpoints that
/// left that long ago, and operators expect a change to be in force by then.
pub const MAX_AGE: Duration = Duration::from_secs(2);

/// Returns the pause of one of `members` entries between two calls of the store, where a single entry would wait for
/// `pause`.
///
/// Every call is billed, and if dozens of entries retried four times a second during an outage of the store, half of a
/// day's calls would be made in that time. The pause grows with the number of entries, so that the total call rate
/// stays constant. The first entry that gets an answer informs the others.
pub fn scale_pause(pause: Duration, members: usize) -> Duration {
    pause * u32::try_from(members.div_ceil(FULL_RATE_CALLERS)).unwrap_or(u32::MAX)
}

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
    /// entry in rank reads every `interval` and informs the others. The next ones read only if their checkpoint is
    /// older, because the first has failed or cannot reach the store. No leader is elected, so no failure of a leader
    /// has to be detected.
    pub fn due(&self, now: Instant, interval: Duration, rank: usize) -> Duration {
        let steps = u32::try_from(rank).unwrap_or(u32::MAX).min(MAX_RANK_STEPS);
        let max_age = interval + RANK_DELAY * steps;
        self.age(now).map_or(Duration::ZERO, |age| max_age.saturating_sub(age))
    }
}

/// Change of whether a checkpoint is outdated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// It became outdated.
    Outdated,
    /// It was outdated for this long, and is no longer.
    Renewed(Duration),
}

/// Alarm on the age of a checkpoint. A store that answers without telling anything new leaves the checkpoint as it is,
/// so its age rises although no call fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Alarm {
    outdated_since: Option<Instant>,
}

impl Alarm {
    /// Returns the change, if any, that the age of a checkpoint means. `None` stands for the age before the first read,
    /// which is no change.
    pub fn update(&mut self, now: Instant, age: Option<Duration>) -> Option<Transition> {
        let is_outdated = age? > MAX_AGE;
        match self.outdated_since {
            None if is_outdated => {
                self.outdated_since = Some(now);
                Some(Transition::Outdated)
            }
            Some(since) if !is_outdated => {
                self.outdated_since = None;
                Some(Transition::Renewed(now.since(since)))
            }
            _ => None,
        }
    }
}
