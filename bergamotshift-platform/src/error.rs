//! Errors of calls to the platform.

use core::time::Duration;

use thiserror::Error;

/// Error of a call to the platform, classified by whether the call may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// The call has no effect and never will: it was not sent, or the platform refused it.
    #[error("the platform refused the call: {0}")]
    Refused(String),
    /// The platform limits the rate of calls; the call had no effect.
    #[error("the platform throttles calls")]
    Throttled {
        /// Time to wait before the next call, if the platform named one.
        retry_after: Option<Duration>,
    },
    /// The platform currently has no capacity for the VM; the call had no effect.
    #[error("the platform has no capacity for this VM")]
    NoCapacity,
    /// A condition of the call did not hold; the call had no effect.
    #[error("a condition of the call did not hold")]
    Conflict,
    /// The answer was lost or is invalid; the call may have taken effect.
    #[error("the platform's answer is missing or invalid: {0}")]
    Unknown(String),
}

impl Error {
    /// Returns whether the call certainly had no effect.
    pub const fn had_no_effect(&self) -> bool {
        !matches!(self, Self::Unknown(_))
    }
}
