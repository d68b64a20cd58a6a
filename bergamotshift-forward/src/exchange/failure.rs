//! Failures of exchanges, distinguished by their consequences.

use thiserror::Error;

/// Failure of an exchange without a complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Failure {
    /// No connection was opened, so no byte of the request was sent.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// The connection ended or was reset after it was opened.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// The peer did not respond in time.
    #[error("the endpoint is silent")]
    Silent,
    /// A long answer stalled or arrived too slowly.
    #[error("the answer was too slow and was given up after {received} bytes")]
    Slow {
        /// Number of bytes of its body received so far.
        received: usize,
    },
    /// The response is invalid, too large, or belongs to another request.
    #[error("the answer is malformed: {0}")]
    Malformed(&'static str),
}

impl Failure {
    /// Returns the name of the failure in metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Connect(_) => "connect",
            Self::Broken(_) => "broken",
            Self::Silent => "silent",
            Self::Slow { .. } => "slow",
            Self::Malformed(_) => "malformed",
        }
    }

    /// Returns whether the endpoint cannot have received the request.
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_))
    }
}
