//! Result of an attempt: an answer or a failure.

use bergamotshift_core::outcome::Outcome;
use ntex::http::HeaderMap;
use ntex::http::Payload;
use ntex::http::StatusCode;
use thiserror::Error;

/// Head of an accepted answer, with its body still to be read.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer. It ends with an error when the connection breaks before the declared end.
    pub body: Payload,
}

/// Reason why an attempt has no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Failure {
    /// No connection could be opened, so no byte of the request was sent.
    #[error("cannot connect to the endpoint: {0}")]
    Connect(String),
    /// The connection broke after it had been opened.
    #[error("the connection to the endpoint broke: {0}")]
    Broken(String),
    /// The head of the answer did not arrive in time.
    #[error("the endpoint took too long to answer")]
    Timeout,
    /// The answer belongs to another attempt.
    #[error("the endpoint's answer belongs to another attempt")]
    Mismatch,
    /// The caller's request body ended early or was malformed while it was forwarded.
    #[error("the caller's request body could not be read: {0}")]
    Caller(String),
    /// The request could not be encoded.
    #[error("the request cannot be encoded: {0}")]
    Encode(String),
    /// The endpoint's answer is malformed.
    #[error("the endpoint's answer is malformed: {0}")]
    Malformed(String),
}

impl Failure {
    /// Returns whether the attempt ran, as far as it is known.
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::Connect(_) | Self::Encode(_) => Outcome::NotRun,
            Self::Broken(_) | Self::Timeout | Self::Mismatch | Self::Caller(_) | Self::Malformed(_) => Outcome::Unknown,
        }
    }

    /// Returns whether the failure is attributed to the endpoint rather than to the request.
    pub const fn is_endpoint_fault(&self) -> bool {
        !matches!(self, Self::Caller(_) | Self::Encode(_))
    }
}
