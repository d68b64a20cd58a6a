//! Forwards a caller's request to endpoints and returns the answer.
//!
//! A [`Call`] holds everything that stays the same over all attempts. [`Attempts`] makes the attempts: it chooses an
//! endpoint, sends the request, and after a failure decides whether another attempt may follow. [`whole`] buffers
//! answers until they are complete, [`stream`] forwards a model's event stream, and [`copy`] forwards a large plain
//! answer. They read through a `Source`, which goes on with an answer whose endpoint is silent until another attempt has
//! begun to answer.

pub mod assemble;
pub mod attempts;
mod choose;
pub mod copy;
pub mod events;
mod part;
mod replace;
mod send;
mod source;
pub mod stream;
pub mod whole;

use core::time::Duration;

use bergamotshift_core::attempt;
use bergamotshift_core::prelude::*;
use bergamotshift_limit::retry;
use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::Payload;
use ntex::http::uri::PathAndQuery;
use ntex::util::Bytes;
use smol_str::SmolStr;
use thiserror::Error;

pub use self::attempts::Attempts;
pub use self::attempts::Open;

/// Estimated size of a request, for routing.
#[derive(Clone, Debug, Default)]
pub struct Work {
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Estimated tokens of the answer.
    pub answer_tokens: u32,
    /// Cumulative hashes of the prompt's blocks.
    pub prefix: Vec<u64>,
}

/// Latency targets and timeouts of a request.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Target for the time to the first token, or to the complete plain answer.
    pub first_token: Duration,
    /// Target for the time between tokens.
    pub between_tokens: Duration,
    /// Timeout for the head of an attempt's answer.
    pub head_timeout: Duration,
    /// Limit of normal silences of an answer that has started.
    pub stall_timeout: Duration,
    /// Time after which the caller no longer needs the answer.
    pub deadline: Instant,
}

/// Parts of a caller's request that stay the same over all attempts.
#[derive(Debug)]
pub struct Call {
    /// Identifier of the request for its caller and operators.
    pub id: attempt::Id,
    /// Organisation that sent the request.
    pub organisation: name::Organisation,
    /// Requested service.
    pub service: name::Service,
    /// HTTP method.
    pub method: Method,
    /// Path with its query.
    pub path: PathAndQuery,
    /// Headers forwarded to endpoints.
    pub headers: HeaderMap,
    /// Body if it is buffered; empty if it is streamed.
    pub body: Bytes,
    /// Idempotency key.
    pub key: Option<SmolStr>,
    /// Permission to run the request more than once.
    pub repeatable: bool,
    /// Urgency of the answer.
    pub urgency: Urgency,
    /// Latency targets and timeouts.
    pub times: Times,
    /// Fingerprint that is equal for repetitions of the request.
    pub fingerprint: Fingerprint,
    /// Estimated size.
    pub work: Work,
}

/// Request body of an attempt.
#[derive(Debug)]
pub enum Outgoing {
    /// Buffered body, which can be sent more than once.
    Buffered(Bytes),
    /// Streamed body, which can be sent only once.
    Streamed(Payload),
}

/// Reason why a request got no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// The service is no longer configured.
    #[error("the service is no longer configured")]
    NoService,
    /// No endpoint is available for the request.
    #[error("no endpoint is available for the request")]
    NoEndpoint,
    /// The deadline passed.
    #[error("the deadline passed")]
    Deadline,
    /// The request is quarantined, because endpoints died while they ran it.
    #[error("the request is quarantined because endpoints died while they ran it")]
    Quarantined {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// An attempt failed and no further attempt is allowed.
    #[error("{failure}; no further attempt: {}", reason_text(*.reason))]
    Failed {
        /// Failure of the last attempt.
        failure: bergamotshift_endpoint::answer::Failure,
        /// Reason why no further attempt is allowed.
        reason: retry::Reason,
    },
    /// The endpoint refused the request before any work, and no further attempt is allowed.
    #[error("the endpoints have no free capacity; no further attempt: {}", reason_text(*.reason))]
    Refused {
        /// Reason why no further attempt is allowed.
        reason: retry::Reason,
    },
    /// The request body broke off or is malformed.
    #[error("the request body broke off: {0}")]
    Body(String),
    /// The request cannot be encoded for the endpoint.
    #[error("the request cannot be forwarded: {0}")]
    Encode(String),
    /// The answer is larger than the maximum that is buffered.
    #[error("the endpoint's answer is too large")]
    TooLarge,
    /// The answer broke off and no other attempt can continue it, for example because a second answer differs from the
    /// part already delivered.
    #[error("the answer broke off and could not be continued by another attempt")]
    Diverged,
}

impl Error {
    /// Returns the time after which the caller should retry, if it is known or the failure is transient.
    pub const fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Quarantined { retry_after } => Some(*retry_after),
            Self::NoEndpoint | Self::Refused { .. } | Self::Failed { .. } => Some(Duration::from_secs(1)),
            Self::NoService | Self::Deadline | Self::Body(_) | Self::Encode(_) | Self::TooLarge | Self::Diverged => {
                None
            }
        }
    }
}

const fn reason_text(reason: retry::Reason) -> &'static str {
    match reason {
        retry::Reason::NonRepeatable => "the request must not run more than once",
        retry::Reason::Attempts => "the maximum number of attempts is reached",
        retry::Reason::Deadline => "the deadline is too near",
        retry::Reason::Budget => "the retry budget is exhausted",
    }
}
