//! Failures to accept, fetch or cancel a job.

use core::time::Duration;

use bergamotshift_core::outcome::Outcome;
use ntex::http::StatusCode;
use thiserror::Error as ThisError;

/// Time after which a caller should retry a transient failure.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reason why a job was not accepted, fetched or cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(ThisError)]
pub enum Error {
    /// The job was not stored on the platform.
    #[error("the job could not be stored, so it was not accepted")]
    NotKept,
    /// The job may have been stored on the platform.
    #[error("the job may have been accepted; send the request again with the same `Idempotency-Key`")]
    Unsure,
    /// The idempotency key belongs to another job.
    #[error("the idempotency key was used for another job")]
    Mismatch,
    /// The caller's organisation has no job with this identifier.
    #[error("the job does not exist")]
    NotFound,
    /// The job's rows cannot be read or written.
    #[error("the platform cannot be reached")]
    Unreachable,
    /// The job has already ended and cannot be cancelled.
    #[error("the job has already ended")]
    Ended,
    /// The job was cancelled.
    #[error("the job was cancelled")]
    Cancelled,
    /// The job was given up; the outcome tells whether its request may have run.
    #[error("the job was given up")]
    Failed(Outcome),
    /// The HTTP method is not supported for jobs.
    #[error("jobs are fetched with GET and cancelled with DELETE")]
    Method,
}

impl Error {
    /// Returns what is known about whether the job's request ran.
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::NotKept | Self::Mismatch | Self::NotFound | Self::Method => Outcome::NotRun,
            Self::Unsure | Self::Unreachable | Self::Cancelled => Outcome::Unknown,
            Self::Ended => Outcome::Ran,
            Self::Failed(outcome) => outcome,
        }
    }

    /// Returns the HTTP status and the error code of the API.
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

    /// Returns the time after which the caller should retry, if the failure is transient.
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NotKept | Self::Unsure | Self::Unreachable => Some(RETRY_AFTER),
            _ => None,
        }
    }
}
