//! Why the platform gave no answer to use.

use core::time::Duration;

use thiserror::Error;

/// Why a call to the platform failed, told apart by what the caller may conclude.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// The call had no effect and never will: nothing was sent, or the platform refused it.
    #[error("the platform refused the call: {0}")]
    Refused(String),
    /// The platform asks to come back later; the call had no effect.
    #[error("the platform throttles calls")]
    Throttled {
        /// How long to wait, when the platform said so.
        retry_after: Option<Duration>,
    },
    /// The platform has no room for such a VM at the moment; the call had no effect.
    #[error("the platform has no capacity for it")]
    NoCapacity,
    /// A condition of the call did not hold; it had no effect.
    #[error("a condition of the call did not hold")]
    Conflict,
    /// The answer was lost or cannot be understood: the call may have taken effect.
    #[error("the platform's answer was lost: {0}")]
    Unknown(String),
}

impl Error {
    /// Returns whether the call surely had no effect.
    pub const fn had_no_effect(&self) -> bool {
        !matches!(self, Self::Unknown(_))
    }
}
