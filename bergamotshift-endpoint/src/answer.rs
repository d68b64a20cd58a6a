//! What comes back from an attempt.

use bergamotshift_core::outcome::Outcome;
use ntex::http::HeaderMap;
use ntex::http::Payload;
use ntex::http::StatusCode;
use thiserror::Error;

/// The head of an answer whose attempt identifier matched, with its body still to be read.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body. It ends in an error, never quietly, when the connection broke before its declared end.
    pub body: Payload,
}

/// Why an attempt brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Failure {
    /// No connection came about, so no byte of the request left.
    #[error("cannot connect to the endpoint: {0}")]
    Connect(String),
    /// The connection broke after it was opened.
    #[error("the connection to the endpoint broke: {0}")]
    Broken(String),
    /// The answer's head took too long.
    #[error("the endpoint took too long to answer")]
    Timeout,
    /// The answer belongs to another attempt.
    #[error("the endpoint's answer belongs to another attempt")]
    Mismatch,
    /// The caller's own body broke off or was malformed while it was being passed on.
    #[error("the caller's body broke off: {0}")]
    Caller(String),
    /// The request could not be put on the wire.
    #[error("the request cannot be encoded: {0}")]
    Encode(String),
    /// The endpoint's answer makes no sense.
    #[error("the endpoint's answer is malformed: {0}")]
    Malformed(String),
}

impl Failure {
    /// Returns what is known about whether the attempt ran.
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::Connect(_) | Self::Encode(_) => Outcome::NotRun,
            Self::Broken(_) | Self::Timeout | Self::Mismatch | Self::Caller(_) | Self::Malformed(_) => Outcome::Unknown,
        }
    }

    /// Returns whether the failure speaks of the endpoint rather than of the caller.
    pub const fn is_endpoint_fault(&self) -> bool {
        !matches!(self, Self::Caller(_) | Self::Encode(_))
    }
}
