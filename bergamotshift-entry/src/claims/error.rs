//! Why a request under an idempotency key brought no answer.

use core::time::Duration;

use bergamotshift_claim::driver::Reason;
use bergamotshift_claim::driver::Reply;
use bergamotshift_core::outcome::Outcome;
use ntex::http::StatusCode;
use thiserror::Error as ThisError;

/// When a caller should come back for something that passes.
const SOON: Duration = Duration::from_secs(1);

/// Why a request under an idempotency key brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(ThisError)]
pub enum Error {
    /// The table service did not take the claim.
    #[error("this request was not recorded, so it was not sent; ask again with the same key")]
    Unrecorded,
    /// The deadline passed before the claim stood.
    #[error("the deadline passed before the request could be sent")]
    Deadline,
    /// No endpoint took the request.
    #[error("no endpoint took the request")]
    Endpoint,
    /// The answer was lost.
    #[error("the request was sent and its answer is lost; it is not sent again")]
    Lost,
    /// Another request under the key is under way.
    #[error("a request with this key is under way")]
    InProgress,
    /// The key belongs to another request.
    #[error("the key was used for another request")]
    Mismatch,
    /// The request ran, but its answer cannot be had.
    #[error("the request ran, but its answer is not at hand")]
    AnswerUnavailable,
}

impl Error {
    /// Returns what a claim's reply means, if it is no answer.
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

    /// Returns whether the request ran.
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Unrecorded | Self::Deadline | Self::Endpoint | Self::Mismatch => Outcome::NotRun,
            Self::Lost | Self::InProgress => Outcome::Unknown,
            Self::AnswerUnavailable => Outcome::Ran,
        }
    }

    /// Returns the HTTP status and the API's code.
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

    /// Returns when the caller should ask again, where that helps.
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Unrecorded | Self::Endpoint | Self::InProgress | Self::AnswerUnavailable => Some(SOON),
            Self::Deadline | Self::Lost | Self::Mismatch => None,
        }
    }
}
