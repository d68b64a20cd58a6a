//! Error responses: the error object of the OpenAI API, with a field that states whether the request ran.

use core::time::Duration;

use bergamotshift_core::attempt;
use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::answer::Failure;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::header;
use serde_json::json;
use thiserror::Error as ThisError;

use super::header::OUTCOME;
use super::header::REQUEST_ID;
use crate::auth;
use crate::claims;
use crate::exchange;
use crate::jobs;
use crate::sharing;

/// Cause of a failure.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(ThisError)]
pub enum Reason {
    /// The caller could not be authenticated.
    #[error("{0}")]
    Unauthenticated(#[from] auth::Error),
    /// The organisation has no access to the service.
    #[error("the organisation may not use the service `{0}`")]
    Forbidden(name::Service),
    /// No service is configured for the path.
    #[error("no service answers for `{0}`")]
    UnknownPath(String),
    /// No service offers the model.
    #[error("the model `{0}` does not exist or you do not have access to it")]
    UnknownModel(String),
    /// The path does not support the method.
    #[error("the method is not offered at `{0}`")]
    Method(String),
    /// The request's head exceeds the limit, in bytes.
    #[error("the request's head is larger than {0} bytes")]
    HeadTooLarge(usize),
    /// The request's body exceeds the limit, in bytes.
    #[error("the request's body is larger than {0} bytes")]
    BodyTooLarge(usize),
    /// The request's body ended early or is malformed.
    #[error("the request's body broke off or is malformed: {0}")]
    Body(String),
    /// The request's body is not the JSON that the API expects.
    #[error("the request's body is not valid: {0}")]
    Json(String),
    /// A header that this system interprets has an invalid value.
    #[error("the header `{0}` makes no sense")]
    Header(&'static str),
    /// The message is not valid HTTP.
    #[error("the request is not valid HTTP: {0}")]
    Protocol(String),
    /// The request arrived too slowly.
    #[error("the request took too long to arrive")]
    TooSlow,
    /// The request is not repeatable and has no idempotency key.
    #[error("a request that must not run twice needs an `Idempotency-Key`")]
    MissingKey,
    /// The entry is starting and cannot route requests yet.
    #[error("this entry is starting")]
    NotReady,
    /// The entry is shutting down and accepts no new requests.
    #[error("this entry is stopping; another one serves the request")]
    Stopping,
    /// The grace of the entry's stop was over while the request was under way.
    #[error("the entry ended before an answer came")]
    Ended,
    /// Admission control refused the request.
    #[error("{0}")]
    Refused(#[from] sharing::Refusal),
    /// The claim on the request's idempotency key failed.
    #[error("{0}")]
    Claim(#[from] claims::Error),
    /// An operation on a deferred job failed.
    #[error("{0}")]
    Job(#[from] jobs::Error),
    /// The exchange with endpoints failed.
    #[error("{0}")]
    Exchange(#[from] exchange::Error),
}

/// Failure of a request, as reported to its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(ThisError)]
#[error("{reason}")]
pub struct Error {
    /// Cause of the failure.
    pub reason: Reason,
    /// Outcome of the request: ran, not run, or unknown.
    pub outcome: Outcome,
}

impl Error {
    /// Creates the failure of a request of which no byte was sent to an endpoint.
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            outcome: Outcome::NotRun,
        }
    }

    /// Creates the failure of a request that may have been sent to endpoints.
    pub fn from_exchange(error: &exchange::Error, outcome: Outcome) -> Self {
        Self {
            reason: Reason::Exchange(error.clone()),
            outcome,
        }
    }

    /// Creates the failure of a request with an idempotency key.
    pub const fn from_claim(error: claims::Error) -> Self {
        Self {
            reason: Reason::Claim(error),
            outcome: error.outcome(),
        }
    }

    /// Creates the failure of a request that was under way when the grace of a stop was over.
    pub const fn ended() -> Self {
        Self {
            reason: Reason::Ended,
            outcome: Outcome::Unknown,
        }
    }

    /// Creates the failure of an operation on a deferred job.
    pub const fn from_job(error: jobs::Error) -> Self {
        Self {
            reason: Reason::Job(error),
            outcome: error.outcome(),
        }
    }

    /// Returns the HTTP status.
    pub const fn status(&self) -> StatusCode {
        self.status_and_code().0
    }

    /// Returns the error code of the API.
    pub const fn code(&self) -> &'static str {
        self.status_and_code().1
    }

    /// Returns the body of the error response.
    pub fn body(&self, id: attempt::Id) -> String {
        json!({
            "error": {
                "message": self.reason.to_string(),
                "type": self.kind(),
                "param": null,
                "code": self.code(),
                "outcome": self.outcome,
                "request_id": id.to_string(),
            }
        })
        .to_string()
    }

    /// Returns the error response.
    pub fn response(&self, id: attempt::Id) -> Response {
        let mut response = Response::build(self.status());
        response
            .header(OUTCOME, self.outcome.as_str())
            .header(REQUEST_ID, id.to_string())
            .content_type("application/json");
        if let Some(after) = self.retry_after() {
            response.header(header::RETRY_AFTER, seconds(after).to_string());
        }
        response.body(self.body(id))
    }

    const fn retry_after(&self) -> Option<Duration> {
        match &self.reason {
            Reason::NotReady => Some(Duration::from_secs(1)),
            // Another entry can serve the request at once.
            Reason::Stopping => Some(Duration::ZERO),
            Reason::Refused(refusal) => Some(refusal.retry_after),
            Reason::Claim(error) => error.retry_after(),
            Reason::Job(error) => error.retry_after(),
            Reason::Exchange(error) => error.retry_after(),
            _ => None,
        }
    }

    fn kind(&self) -> &'static str {
        match self.status() {
            StatusCode::UNAUTHORIZED => "authentication_error",
            StatusCode::FORBIDDEN => "permission_error",
            StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
            status if status.is_server_error() => "server_error",
            _ => "invalid_request_error",
        }
    }

    const fn status_and_code(&self) -> (StatusCode, &'static str) {
        match &self.reason {
            Reason::Unauthenticated(_) => (StatusCode::UNAUTHORIZED, "invalid_api_key"),
            Reason::Forbidden(_) => (StatusCode::FORBIDDEN, "service_forbidden"),
            Reason::UnknownPath(_) => (StatusCode::NOT_FOUND, "unknown_service"),
            Reason::UnknownModel(_) => (StatusCode::NOT_FOUND, "model_not_found"),
            Reason::Method(_) => (StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed"),
            Reason::HeadTooLarge(_) => (StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_large"),
            Reason::BodyTooLarge(_) => (StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
            Reason::Body(_) => (StatusCode::BAD_REQUEST, "body_broken"),
            Reason::Json(_) => (StatusCode::BAD_REQUEST, "invalid_body"),
            Reason::Header(_) => (StatusCode::BAD_REQUEST, "invalid_header"),
            Reason::Protocol(_) => (StatusCode::BAD_REQUEST, "invalid_http"),
            Reason::TooSlow => (StatusCode::REQUEST_TIMEOUT, "too_slow"),
            Reason::MissingKey => (StatusCode::BAD_REQUEST, "idempotency_key_missing"),
            Reason::NotReady => (StatusCode::SERVICE_UNAVAILABLE, "starting"),
            Reason::Stopping => (StatusCode::SERVICE_UNAVAILABLE, "stopping"),
            Reason::Ended => (StatusCode::GATEWAY_TIMEOUT, "ended"),
            Reason::Refused(refusal) if refusal.is_caused_by_organisation() => {
                (StatusCode::TOO_MANY_REQUESTS, refusal.code())
            }
            Reason::Refused(refusal) => (StatusCode::SERVICE_UNAVAILABLE, refusal.code()),
            Reason::Claim(error) => error.status_and_code(),
            Reason::Job(error) => error.row(),
            Reason::Exchange(error) => exchange_status_and_code(error),
        }
    }
}

const fn exchange_status_and_code(error: &exchange::Error) -> (StatusCode, &'static str) {
    match error {
        exchange::Error::NoService => (StatusCode::NOT_FOUND, "unknown_service"),
        exchange::Error::NoEndpoint => (StatusCode::SERVICE_UNAVAILABLE, "no_endpoint"),
        exchange::Error::Deadline => (StatusCode::GATEWAY_TIMEOUT, "deadline_passed"),
        exchange::Error::Quarantined { .. } => (StatusCode::UNPROCESSABLE_ENTITY, "quarantined"),
        exchange::Error::Failed {
            failure: Failure::Timeout,
            ..
        } => (StatusCode::GATEWAY_TIMEOUT, "endpoint_timeout"),
        exchange::Error::Failed {
            failure: Failure::Connect(_),
            ..
        } => (StatusCode::SERVICE_UNAVAILABLE, "endpoint_unreachable"),
        exchange::Error::Failed { .. } => (StatusCode::BAD_GATEWAY, "endpoint_failed"),
        exchange::Error::Refused { .. } => (StatusCode::SERVICE_UNAVAILABLE, "no_room"),
        exchange::Error::Body(_) => (StatusCode::BAD_REQUEST, "body_broken"),
        exchange::Error::Encode(_) => (StatusCode::BAD_REQUEST, "not_passed_on"),
        exchange::Error::TooLarge => (StatusCode::BAD_GATEWAY, "answer_too_large"),
        exchange::Error::Diverged => (StatusCode::BAD_GATEWAY, "stream_broken"),
    }
}

/// Converts a duration to whole seconds, rounded up, for the header `Retry-After`.
const fn seconds(span: Duration) -> u64 {
    let whole = span.as_secs();
    if span.subsec_nanos() > 0 { whole + 1 } else { whole }
}
