//! Parsing and validation of request heads.

use core::time::Duration;
use std::borrow::Cow;

use bergamotshift_config::config::Handling;
use bergamotshift_config::config::Service;
use bergamotshift_core::prelude::*;
use ntex::http::HeaderMap;
use ntex::http::Request;
use ntex::http::header;
use ntex::http::uri::PathAndQuery;
use smol_str::SmolStr;

use super::error::Error;
use super::error::Reason;
use super::header::DEADLINE_MS;
use super::header::IDEMPOTENCY_KEY;
use super::header::URGENCY;
use crate::exchange::Times;

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Default latency target for the first token or a plain answer.
const DEFAULT_FIRST_TOKEN_TARGET: Duration = Duration::from_secs(2);

/// Default latency target between two tokens.
const DEFAULT_BETWEEN_TOKENS_TARGET: Duration = Duration::from_millis(77);

/// Factor of the latency target after which an attempt without a response head times out.
const HEAD_TIMEOUT_FACTOR: u32 = 8;

/// Minimum timeout for the response head of an attempt.
const MIN_HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Factor of the latency target between two tokens after which the endpoint of a stream counts as silent.
const STALL_TIMEOUT_FACTOR: u32 = 40;

/// Minimum time after which the endpoint of an answer counts as silent.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns the host from the `Host` header or else from the request's URI.
pub fn host(request: &Request) -> &str {
    let named = request
        .headers()
        .get(header::HOST)
        .and_then(|value| value.to_str().ok());
    named.or_else(|| request.uri().host()).unwrap_or_default()
}

/// First path segments reserved for the system's own requests to endpoints. Callers have no access to them.
const RESERVED_SEGMENTS: [&str; 5] = ["_drain", "_events", "_kv", "_load", "_orders"];

/// Decodes a path and checks that the entry and an endpoint interpret it alike.
///
/// An endpoint may decode a path and resolve its dot segments. A caller could then reach a service that its
/// organisation has no access to, or order an endpoint to drain. Such paths are refused in every encoding.
///
/// # Errors
///
/// Returns an error if the path has dot segments or control characters, or starts with a reserved segment.
pub fn decoded_path(path: &str) -> Result<Cow<'_, str>, Error> {
    let decoded = percent_encoding::percent_decode_str(path).decode_utf8_lossy();
    let mut segments = decoded.split(['/', '\\']).filter(|segment| !segment.is_empty());
    let first = segments.clone().next().unwrap_or_default();
    if RESERVED_SEGMENTS.contains(&first) {
        return Err(Error::not_run(Reason::UnknownPath(path.to_owned())));
    }
    if segments.any(|segment| matches!(segment, "." | "..")) || decoded.contains(char::is_control) {
        let text = "the path has dot segments or control characters";
        return Err(Error::not_run(Reason::Protocol(text.to_owned())));
    }
    Ok(decoded)
}

/// Checks that the size of a request's head is at most `bound` bytes.
///
/// # Errors
///
/// Returns an error if the head is too large.
pub fn check_head(request: &Request, bound: usize) -> Result<(), Error> {
    let fields: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    let target = request.uri().path_and_query().map_or(0, |path| path.as_str().len());
    if fields + target > bound {
        return Err(Error::not_run(Reason::HeadTooLarge(bound)));
    }
    Ok(())
}

/// Returns the idempotency key of a request, if it has one.
///
/// # Errors
///
/// Returns an error if the key is empty, not text, or too long.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<SmolStr>, Error> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let text = value.to_str().ok().map(str::trim).filter(|text| !text.is_empty());
    let text = text.filter(|text| text.len() <= MAX_KEY_BYTES);
    match text {
        Some(text) => Ok(Some(SmolStr::new(text))),
        None => Err(Error::not_run(Reason::Header("Idempotency-Key"))),
    }
}

/// Returns the urgency from the request's header or else from the rules of its service.
///
/// # Errors
///
/// Returns an error if the header has an unknown value.
pub fn urgency(headers: &HeaderMap, handling: &Handling) -> Result<Urgency, Error> {
    let Some(value) = headers.get(URGENCY) else {
        return Ok(handling.urgency);
    };
    match value.as_bytes() {
        b"urgent" => Ok(Urgency::Urgent),
        b"normal" => Ok(Urgency::Normal),
        b"deferrable" => Ok(Urgency::Deferrable),
        _ => Err(Error::not_run(Reason::Header("X-Bergamotshift-Urgency"))),
    }
}

/// Returns a service's latency target for the first token or for a plain answer.
pub fn latency_target(service: &Service) -> Duration {
    let target = service.target;
    target
        .first_token
        .or(target.answer)
        .unwrap_or(DEFAULT_FIRST_TOKEN_TARGET)
}

/// Returns the latency targets, timeouts and deadline of a request that arrived at `now`.
///
/// # Errors
///
/// Returns an error if the deadline header is not a positive number of milliseconds.
pub fn times(headers: &HeaderMap, handling: &Handling, service: &Service, now: Instant) -> Result<Times, Error> {
    let target = service.target;
    let first_token = latency_target(service);
    let between_tokens = target.between_tokens.unwrap_or(DEFAULT_BETWEEN_TOKENS_TARGET);
    let allowed = match headers.get(DEADLINE_MS) {
        None => handling.deadline,
        Some(value) => {
            let millis = value.to_str().ok().and_then(|text| text.trim().parse().ok());
            let millis = millis.filter(|millis| *millis > 0);
            let millis = millis.ok_or_else(|| Error::not_run(Reason::Header("X-Bergamotshift-Deadline-Ms")))?;
            handling.deadline.min(Duration::from_millis(millis))
        }
    };
    Ok(Times {
        first_token,
        between_tokens,
        head_timeout: first_token.saturating_mul(HEAD_TIMEOUT_FACTOR).max(MIN_HEAD_TIMEOUT),
        stall_timeout: between_tokens
            .saturating_mul(STALL_TIMEOUT_FACTOR)
            .max(MIN_STALL_TIMEOUT),
        deadline: now + allowed,
    })
}

/// Returns the path and query of a request.
pub fn path_and_query(request: &Request) -> PathAndQuery {
    let path = request.uri().path_and_query().cloned();
    path.unwrap_or_else(|| PathAndQuery::from_static("/"))
}
