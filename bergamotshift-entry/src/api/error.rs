//! Failures as callers see them: the OpenAI API's error object, with what is known about whether the request ran.

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

/// What went wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(ThisError)]
pub enum Reason {
    /// The caller is not known.
    #[error("{0}")]
    Unauthenticated(#[from] auth::Error),
    /// The organisation may not use the service.
    #[error("the organisation may not use the service `{0}`")]
    Forbidden(name::Service),
    /// No service answers for the path.
    #[error("no service answers for `{0}`")]
    UnknownPath(String),
    /// No service serves the model.
    #[error("the model `{0}` does not exist or you do not have access to it")]
    UnknownModel(String),
    /// The method is not offered here.
    #[error("the method is not offered at `{0}`")]
    Method(String),
    /// The request's head is too large.
    #[error("the request's head is larger than {0} bytes")]
    HeadTooLarge(usize),
    /// The body is too large.
    #[error("the request's body is larger than {0} bytes")]
    BodyTooLarge(usize),
    /// The body broke off.
    #[error("the request's body broke off or is malformed: {0}")]
    Body(String),
    /// The body is not the JSON that the API asks for.
    #[error("the request's body is not valid: {0}")]
    Json(String),
    /// A header of the system's own makes no sense.
    #[error("the header `{0}` makes no sense")]
    Header(&'static str),
    /// The message is no valid HTTP.
    #[error("the request is not valid HTTP: {0}")]
    Protocol(String),
    /// The caller sends too slowly.
    #[error("the request took too long to arrive")]
    TooSlow,
    /// The request must not run twice and carries no key.
    #[error("a request that must not run twice needs an `Idempotency-Key`")]
    MissingKey,
    /// The entry does not know any endpoints yet.
    #[error("this entry is starting")]
    NotReady,
    /// The entry ends once the requests under way are served.
    #[error("this entry is stopping; another one serves the request")]
    Stopping,
    /// The organisation or the service has no room for it now.
    #[error("{0}")]
    Refused(#[from] sharing::Refusal),
    /// The idempotency key stands in the way.
    #[error("{0}")]
    Claim(#[from] claims::Error),
    /// The deferred job stands in the way.
    #[error("{0}")]
    Job(#[from] jobs::Error),
    /// The way to an endpoint and back failed.
    #[error("{0}")]
    Exchange(#[from] exchange::Error),
}

/// A failure with everything a caller is told of it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(ThisError)]
#[error("{reason}")]
pub struct Error {
    /// What went wrong.
    pub reason: Reason,
    /// Whether the request ran.
    pub outcome: Outcome,
}

impl Error {
    /// Makes the failure of a request of which no byte went towards an endpoint.
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            outcome: Outcome::NotRun,
        }
    }

    /// Makes the failure of a request that may have gone towards endpoints.
    pub fn from_exchange(error: &exchange::Error, outcome: Outcome) -> Self {
        Self {
            reason: Reason::Exchange(error.clone()),
            outcome,
        }
    }

    /// Makes the failure of a request under an idempotency key.
    pub const fn from_claim(error: claims::Error) -> Self {
        Self {
            reason: Reason::Claim(error),
            outcome: error.outcome(),
        }
    }

    /// Makes the failure of a request about a deferred job.
    pub const fn from_job(error: jobs::Error) -> Self {
        Self {
            reason: Reason::Job(error),
            outcome: error.outcome(),
        }
    }

    /// Returns the HTTP status.
    pub const fn status(&self) -> StatusCode {
        self.row().0
    }

    /// Returns the API's code.
    pub const fn code(&self) -> &'static str {
        self.row().1
    }

    /// Returns the body of the answer.
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

    /// Returns the whole answer.
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
            // Another entry serves the request now; waiting would only cost time.
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

    const fn row(&self) -> (StatusCode, &'static str) {
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
            Reason::Refused(refusal) if refusal.is_caused_by_organisation() => {
                (StatusCode::TOO_MANY_REQUESTS, refusal.code())
            }
            Reason::Refused(refusal) => (StatusCode::SERVICE_UNAVAILABLE, refusal.code()),
            Reason::Claim(error) => error.status_and_code(),
            Reason::Job(error) => error.row(),
            Reason::Exchange(error) => exchange_row(error),
        }
    }
}

const fn exchange_row(error: &exchange::Error) -> (StatusCode, &'static str) {
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

/// Returns whole seconds, rounded up, as `Retry-After` takes them.
const fn seconds(span: Duration) -> u64 {
    let whole = span.as_secs();
    if span.subsec_nanos() > 0 { whole + 1 } else { whole }
}
