//! Outcome of a failed request: whether it ran.

use core::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Knowledge of whether a failed request ran at an endpoint.
///
/// `NotRun` is a guarantee: either no byte of the request was sent to an endpoint, or the endpoint proved that it
/// refused the request before doing any work; and no attempt can start any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request did not run and never will under this attempt.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran.
    Ran,
}

impl Outcome {
    /// Returns the text of the outcome in headers and bodies.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }

    /// Returns whether a caller may send a non-repeatable request again with a new idempotency key.
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::NotRun)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
