//! Notices about a lease that entries send to each other.

use core::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Notice of an entry about a lease that it holds or held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Notice {
    /// The sender holds the lease.
    Holds {
        /// Fencing number of the lease.
        number: u64,
        /// Version of the row that the sender wrote last.
        version: u64,
        /// Time until the lease expires if it is not renewed.
        left: Duration,
    },
    /// The sender gave the lease up. It sends no more orders under this fencing number, and none is in flight.
    GaveUp {
        /// Fencing number of the lease.
        number: u64,
    },
}

impl Notice {
    /// Returns the fencing number of the lease.
    pub(super) const fn number(self) -> u64 {
        match self {
            Self::Holds { number, .. } | Self::GaveUp { number } => number,
        }
    }

    /// Returns the notice adjusted to the time `elapsed` since it was received.
    #[must_use]
    pub const fn aged(self, elapsed: Duration) -> Self {
        match self {
            Self::Holds { number, version, left } => Self::Holds {
                number,
                version,
                left: left.saturating_sub(elapsed),
            },
            Self::GaveUp { .. } => self,
        }
    }

    /// Returns whether the notice replaces the one received before.
    ///
    /// A notice of an earlier holder, or one that the holder sent before it gave the lease up, may arrive late.
    pub fn replaces(self, previous: Self) -> bool {
        let gave_up = matches!(previous, Self::GaveUp { .. });
        self.number() > previous.number() || (self.number() == previous.number() && !gave_up)
    }
}
