//! Why a job was not accepted, fetched or cancelled.

use core::time::Duration;

use bergamotshift_core::outcome::Outcome;
use ntex::http::StatusCode;
use thiserror::Error as ThisError;

/// When a caller should come back for something that passes.
const SOON: Duration = Duration::from_secs(1);

/// Why a job was not accepted, fetched or cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(ThisError)]
pub enum Error {
    /// The platform did not take the job.
    #[error("the job could not be kept, so it was not accepted")]
    NotKept,
    /// The platform may have taken the job.
    #[error("the job may have been accepted; ask again with the same `Idempotency-Key`")]
    Unsure,
    /// The key belongs to another job.
    #[error("the key was used for another job")]
    Mismatch,
    /// The caller's organisation has no such job.
    #[error("there is no such job")]
    NotFound,
    /// The platform cannot be asked about the job.
    #[error("the platform cannot be reached")]
    Unreachable,
    /// The job has ended already.
    #[error("the job has ended")]
    Ended,
    /// The job was cancelled.
    #[error("the job was cancelled")]
    Cancelled,
    /// The job was given up.
    #[error("the job was given up")]
    Failed(Outcome),
    /// The method is not offered for jobs.
    #[error("jobs are fetched with GET and cancelled with DELETE")]
    Method,
}

impl Error {
    /// Returns whether the job ran.
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::NotKept | Self::Mismatch | Self::NotFound | Self::Method => Outcome::NotRun,
            Self::Unsure | Self::Unreachable | Self::Cancelled => Outcome::Unknown,
            Self::Ended => Outcome::Ran,
            Self::Failed(outcome) => outcome,
        }
    }

    /// Returns the HTTP status and the API's code.
    pub const fn row(self) -> (StatusCode, &'static str) {
        match self {
            Self::NotKept => (StatusCode::SERVICE_UNAVAILABLE, "job_not_kept"),
            Self::Unsure => (StatusCode::SERVICE_UNAVAILABLE, "job_unsure"),
            Self::Mismatch => (StatusCode::UNPROCESSABLE_ENTITY, "idempotency_key_reused"),
            Self::NotFound => (StatusCode::NOT_FOUND, "job_not_found"),
            Self::Unreachable => (StatusCode::SERVICE_UNAVAILABLE, "platform_away"),
            Self::Ended => (StatusCode::CONFLICT, "job_ended"),
            Self::Cancelled => (StatusCode::GONE, "job_cancelled"),
            Self::Failed(_) => (StatusCode::BAD_GATEWAY, "job_failed"),
            Self::Method => (StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed"),
        }
    }

    /// Returns when the caller should ask again, where that helps.
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NotKept | Self::Unsure | Self::Unreachable => Some(SOON),
            _ => None,
        }
    }
}
