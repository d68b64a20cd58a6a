//! Errors of requests with an idempotency key.

use core::time::Duration;

use bergamotshift_claim::driver::Reason;
use bergamotshift_claim::driver::Reply;
use bergamotshift_core::outcome::Outcome;
use ntex::http::StatusCode;
use thiserror::Error as ThisError;

/// Time after which a caller may retry a temporary error.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reason why a request with an idempotency key got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(ThisError)]
pub enum Error {
    /// The table service did not accept the claim.
    #[error("this request was not recorded, so it was not sent; ask again with the same key")]
    Unrecorded,
    /// The deadline passed before the request could be sent.
    #[error("the deadline passed before the request could be sent")]
    Deadline,
    /// No endpoint accepted the request.
    #[error("no endpoint took the request")]
    Endpoint,
    /// The request was sent and its answer was lost.
    #[error("the request was sent and its answer is lost; it is not sent again")]
    Lost,
    /// Another request with the key is in progress.
    #[error("a request with this key is under way")]
    InProgress,
    /// The key was used for a different request.
    #[error("the key was used for another request")]
    Mismatch,
    /// The request was executed, but its answer was not stored or cannot be fetched.
    #[error("the request ran, but its answer is not at hand")]
    AnswerUnavailable,
}

impl Error {
    /// Returns the error for a claim's reply; `None` if the reply is an answer.
    pub const fn from_reply(reply: &Reply) -> Option<Self> {
        match reply {
            Reply::Answer(_) | Reply::Replay(_) => None,
            Reply::NotRun { reason, .. } => Some(match reason {
                Reason::Table | Reason::Cancelled => Self::Unrecorded,
                Reason::Deadline => Self::Deadline,
                Reason::Endpoint => Self::Endpoint,
            }),
            Reply::Unknown => Some(Self::Lost),
            Reply::InProgress { .. } => Some(Self::InProgress),
            Reply::Mismatch => Some(Self::Mismatch),
        }
    }

    /// Returns whether the request was executed, as far as is known.
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Unrecorded | Self::Deadline | Self::Endpoint | Self::Mismatch => Outcome::NotRun,
            Self::Lost | Self::InProgress => Outcome::Unknown,
            Self::AnswerUnavailable => Outcome::Ran,
        }
    }

    /// Returns the HTTP status and the API's error code.
    pub const fn status_and_code(self) -> (StatusCode, &'static str) {
        match self {
            Self::Unrecorded => (StatusCode::SERVICE_UNAVAILABLE, "not_recorded"),
            Self::Deadline => (StatusCode::GATEWAY_TIMEOUT, "deadline_passed"),
            Self::Endpoint => (StatusCode::SERVICE_UNAVAILABLE, "no_endpoint"),
            Self::Lost => (StatusCode::BAD_GATEWAY, "answer_lost"),
            Self::InProgress => (StatusCode::CONFLICT, "in_progress"),
            Self::Mismatch => (StatusCode::UNPROCESSABLE_ENTITY, "idempotency_key_reused"),
            Self::AnswerUnavailable => (StatusCode::BAD_GATEWAY, "answer_not_at_hand"),
        }
    }

    /// Returns the time after which the caller may retry; `None` if a retry does not help.
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Unrecorded | Self::Endpoint | Self::InProgress | Self::AnswerUnavailable => Some(RETRY_AFTER),
            Self::Deadline | Self::Lost | Self::Mismatch => None,
        }
    }
}
