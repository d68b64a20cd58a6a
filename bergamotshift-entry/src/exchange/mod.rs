//! One caller's request on its way to endpoints and back.
//!
//! A [`Call`] is everything that stays the same over all attempts. An [`Attempts`] makes them: it chooses an
//! endpoint, sends, and on failure decides whether another attempt may follow. [`whole`] fetches answers that are
//! held until they are complete, [`stream`] passes a model's event stream on, and [`copy`] passes a large plain
//! answer on.

pub mod assemble;
pub mod attempts;
mod choose;
pub mod copy;
pub mod events;
mod send;
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

/// What routing is told of a request's size.
#[derive(Clone, Debug, Default)]
pub struct Work {
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Estimated tokens of the answer.
    pub answer_tokens: u32,
    /// Cumulative hashes of the prompt's blocks.
    pub prefix: Vec<u64>,
}

/// Targets and bounds of one request.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Target for the first token or the whole plain answer.
    pub first_token: Duration,
    /// Target for the time between tokens.
    pub between_tokens: Duration,
    /// How long the head of one attempt's answer may take.
    pub head_timeout: Duration,
    /// How long an answer under way may stand still.
    pub stall_timeout: Duration,
    /// When the caller has no use for the answer any more.
    pub deadline: Instant,
}

/// Everything about a caller's request that stays the same over all attempts.
#[derive(Debug)]
pub struct Call {
    /// Identifies the request towards its caller and operators.
    pub id: attempt::Id,
    /// Whose it is.
    pub organisation: name::Organisation,
    /// Which service it asks for.
    pub service: name::Service,
    /// The HTTP method.
    pub method: Method,
    /// The path with its query.
    pub path: PathAndQuery,
    /// The headers that endpoints get.
    pub headers: HeaderMap,
    /// The body, when it is held; empty when it streams through.
    pub body: Bytes,
    /// The idempotency key.
    pub key: Option<SmolStr>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// How soon its answer is needed.
    pub urgency: Urgency,
    /// Its targets and bounds.
    pub times: Times,
    /// Recognises its re-sends.
    pub fingerprint: Fingerprint,
    /// What routing is told of its size.
    pub work: Work,
}

/// What goes out as the body of one attempt.
#[derive(Debug)]
pub enum Outgoing {
    /// A held body; it can go out again.
    Buffered(Bytes),
    /// A body that streams through once.
    Streamed(Payload),
}

/// Why a request brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// The service is no longer configured.
    #[error("the service is not configured any more")]
    NoService,
    /// No endpoint that may run it is there.
    #[error("no endpoint is there that may run the request")]
    NoEndpoint,
    /// Its deadline passed.
    #[error("the deadline passed")]
    Deadline,
    /// It killed endpoints.
    #[error("the request is refused because endpoints died while they ran it")]
    Quarantined {
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// An attempt failed and no other may follow.
    #[error("{failure}; no further attempt: {}", reason_text(*.reason))]
    Failed {
        /// What the last attempt ran into.
        failure: bergamotshift_endpoint::answer::Failure,
        /// Why no other follows.
        reason: retry::Reason,
    },
    /// The endpoint refused before any work, and no other attempt may follow.
    #[error("the endpoints have no room; no further attempt: {}", reason_text(*.reason))]
    Refused {
        /// Why no other attempt follows.
        reason: retry::Reason,
    },
    /// The caller's own body broke off.
    #[error("the request's body broke off: {0}")]
    Body(String),
    /// The request cannot be put on the wire.
    #[error("the request cannot be passed on: {0}")]
    Encode(String),
    /// The answer is larger than an entry holds.
    #[error("the endpoint's answer is too large")]
    TooLarge,
    /// A second answer to the same request differs from what the caller already has of the first.
    #[error("the answer broke off and a second one differs from it")]
    Diverged,
}

impl Error {
    /// Returns when the caller should come back, where that is known or the failure is passing.
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
        retry::Reason::NonRepeatable => "the request must not run twice",
        retry::Reason::Attempts => "the number of attempts is used up",
        retry::Reason::Deadline => "the deadline is too near",
        retry::Reason::Budget => "the retry budget is empty",
    }
}
