//! Order in which entries read the store, and their pauses between calls.

use core::time::Duration;

/// Additional delay of each entry compared to the previous one in order, so that not all entries read the store at once
/// when the first one fails.
const TURN_DELAY: Duration = Duration::from_millis(150);

/// Maximum number of such delays among readers, which bounds the age of a checkpoint.
const MAX_READER_STEPS: usize = 3;

/// Maximum number of such delays among followers.
const MAX_FOLLOWER_STEPS: usize = 4;

/// Interval between two rounds of exchanges. News of a reader reaches the keepers of all zones in one of them.
const ROUND: Duration = Duration::from_millis(250);

/// Factor by which the entries of a zone that have some news grow in a round: each contacts three others, and about as
/// many contact it.
const ROUND_GROWTH: usize = 7;

/// Maximum number of entries that may each call the store as often as a single entry would.
pub(super) const FULL_RATE_CALLERS: usize = 16;

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
    pub(super) fn delay(self) -> Duration {
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
