//! What a holder tells the other entries of its lease.

use core::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// What an entry says of the lease that it holds, or held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Notice {
    /// It holds the lease.
    Holds {
        /// The fencing number.
        number: u64,
        /// The version of the row that it wrote last.
        version: u64,
        /// How long the lease stands from now on, unless it is renewed.
        left: Duration,
    },
    /// It acts no more under this fencing number, and nothing that it ordered is still to be given up.
    GaveUp {
        /// The fencing number.
        number: u64,
    },
}

impl Notice {
    /// Returns the fencing number that it is about.
    const fn number(self) -> u64 {
        match self {
            Self::Holds { number, .. } | Self::GaveUp { number } => number,
        }
    }

    /// Returns what it says some time after it was heard.
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

    /// Returns whether it is to be believed after `before`: words of an earlier holder, and of a holder from before it
    /// gave up, may be heard late.
    pub fn replaces(self, before: Self) -> bool {
        let gave_up = matches!(before, Self::GaveUp { .. });
        self.number() > before.number() || (self.number() == before.number() && !gave_up)
    }
}
