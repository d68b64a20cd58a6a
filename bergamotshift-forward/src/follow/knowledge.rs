//! Tracks how fresh an entry's knowledge of the store is, and when the entry has to read the store itself.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::outside::Cursor;

/// Additional delay of each entry compared to the previous one in order, so that not all entries read the store at once
/// when the first one fails.
const TURN_DELAY: Duration = Duration::from_millis(150);

/// Maximum number of such delays among readers, which bounds the age of a checkpoint.
const MAX_READER_STEPS: usize = 3;

/// Maximum number of such delays among followers.
const MAX_FOLLOWER_STEPS: usize = 4;

/// Time in which news reaches the keepers of all zones from one of them, and then goes one round further in each zone.
const ROUND: Duration = Duration::from_millis(250);

/// Factor by which the entries of a zone that have some news grow in a round: each contacts three others, and about as
/// many contact it.
const ROUND_GROWTH: usize = 7;

/// Maximum number of entries that may each call the store as often as a single entry would.
const FULL_RATE_CALLERS: usize = 16;

/// Maximum age of a checkpoint before the entry reports what it covers as outdated; longer than any entry waits before it
/// reads the store itself.
pub const MAX_AGE: Duration = Duration::from_secs(3);

/// Place of an entry in the order in which entries read the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// The entry reads for others, after this many other readers.
    Reader(usize),
    /// The entry learns from the reader of its zone, and reads only if that takes too long.
    Follower {
        /// Number of entries of its zone that read before it.
        place: usize,
        /// Number of entries in its zone.
        members: usize,
    },
}

impl Turn {
    /// Returns whether it is the first of all entries.
    pub const fn is_first(self) -> bool {
        matches!(self, Self::Reader(0))
    }

    /// Returns how much older than that of the first entry the checkpoint of this one may be.
    fn delay(self) -> Duration {
        match self {
            Self::Reader(before) => TURN_DELAY * before.min(MAX_READER_STEPS) as u32,
            Self::Follower { place, members } => {
                ROUND * (1 + rounds_to_reach(members)) + TURN_DELAY * place.min(MAX_FOLLOWER_STEPS) as u32
            }
        }
    }

    /// Returns the pause between two calls of the store where a single entry would wait for `pause`, among `members`
    /// entries in all. Readers do not slow down, as their number does not grow with the fleet.
    pub fn scale_pause(self, pause: Duration, members: usize) -> Duration {
        match self {
            Self::Reader(before) if before < FULL_RATE_CALLERS => pause,
            Self::Reader(_) | Self::Follower { .. } => scale_pause(pause, members),
        }
    }
}

/// Time after its start for which an entry waits for other entries, before it reads the store itself. Callers wait for
/// longer than that.
const PEER_WAIT: Duration = Duration::from_millis(150);

/// Interval over which the first reads of a small fleet are spread. It grows with the fleet, so that the store gets as many
/// of them in a second.
const FIRST_READ_SPREAD: Duration = Duration::from_millis(250);

/// Maximum time after its start for which an entry waits for other entries.
const MAX_PEER_WAIT: Duration = Duration::from_secs(3);

/// Time within which an entry that starts gets to know others, if there are any.
const DISCOVERY_TIME: Duration = Duration::from_secs(1);

/// Turn of an entry to read the store after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FirstRead {
    /// It reads at once, for others too.
    AtOnce,
    /// It reads only what no other entry provides, after this fraction of the time over which first reads are spread.
    After(f64),
}

impl FirstRead {
    /// Returns the turn of an entry that does not read for others.
    pub fn after(entry: &name::Entry) -> Self {
        Self::After(xxh3_64(entry.as_str().as_bytes()) as f64 / u64::MAX as f64)
    }

    /// Returns whether the entry still leaves to others what one entry does for all, `since_start` after its start. It does
    /// not know yet how many others there are.
    pub fn is_deferring(self, since_start: Duration) -> bool {
        matches!(self, Self::After(_)) && since_start < DISCOVERY_TIME
    }

    /// Returns the time until the entry has to read the store itself, `since_start` after its start, when `members`
    /// entries are known. `may_be_given` tells whether one of them has what is missing.
    ///
    /// If every entry of a large fleet read the store at its start, their reads would be most of a day's calls, and fill
    /// the store's link.
    pub fn due(self, since_start: Duration, members: usize, may_be_given: bool) -> Duration {
        let wait = match self {
            Self::AtOnce => Duration::ZERO,
            Self::After(_) if may_be_given => MAX_PEER_WAIT,
            Self::After(fraction) => PEER_WAIT + scale_pause(FIRST_READ_SPREAD, members).mul_f64(fraction),
        };
        wait.min(MAX_PEER_WAIT).saturating_sub(since_start)
    }
}

/// Returns the number of rounds in which news of one entry reaches all `members` of its zone, with one to spare.
fn rounds_to_reach(members: usize) -> u32 {
    let mut rounds = 1;
    let mut reached = 1;
    while reached < members {
        reached *= ROUND_GROWTH;
        rounds += 1;
    }
    rounds
}

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
    /// entry in order reads every `interval` and informs the others. The next ones read only if their checkpoint is
    /// older, because the first has failed or cannot reach the store. No leader is elected, so no failure of a leader
    /// has to be detected.
    pub fn due(&self, now: Instant, interval: Duration, turn: Turn) -> Duration {
        let max_age = interval + turn.delay();
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
