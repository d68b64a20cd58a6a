//! What a request's head says beside its HTTP meaning.

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

/// The longest idempotency key.
const LONGEST_KEY: usize = 255;

/// Targets that hold where a service names none.
const FIRST: Duration = Duration::from_secs(2);
const BETWEEN: Duration = Duration::from_millis(77);

/// An attempt may take this many times its target before another is tried, and at least this long.
const HEAD_FACTOR: u32 = 8;
const HEAD_FLOOR: Duration = Duration::from_secs(1);

/// A stream may stand still this many times its target, and at least this long.
const STALL_FACTOR: u32 = 40;
const STALL_FLOOR: Duration = Duration::from_secs(3);

/// Returns the host that a request names.
pub fn host(request: &Request) -> &str {
    let named = request
        .headers()
        .get(header::HOST)
        .and_then(|value| value.to_str().ok());
    named.or_else(|| request.uri().host()).unwrap_or_default()
}

/// Places at which the system itself asks and orders endpoints; callers have no business there.
const RESERVED: [&str; 5] = ["_drain", "_events", "_kv", "_load", "_orders"];

/// Checks that a path means the same to the entry and to an endpoint, and returns it decoded.
///
/// Failure: an endpoint decodes a path and follows its dot segments. Symptom: a caller reaches another service than the
/// one that its organisation was checked for, or tells an endpoint to drain. Such paths are refused in every spelling.
///
/// # Errors
///
/// Returns an error when the path has dot segments or control characters, or leads to a reserved place.
pub fn decoded_path(path: &str) -> Result<Cow<'_, str>, Error> {
    let decoded = percent_encoding::percent_decode_str(path).decode_utf8_lossy();
    let mut segments = decoded.split(['/', '\\']).filter(|segment| !segment.is_empty());
    let first = segments.clone().next().unwrap_or_default();
    if RESERVED.contains(&first) {
        return Err(Error::not_run(Reason::UnknownPath(path.to_owned())));
    }
    if segments.any(|segment| matches!(segment, "." | "..")) || decoded.contains(char::is_control) {
        let text = "the path has dot segments or control characters";
        return Err(Error::not_run(Reason::Protocol(text.to_owned())));
    }
    Ok(decoded)
}

/// Checks the size of a request's head against its service's bound.
///
/// # Errors
///
/// Returns an error when the head is too large.
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

/// Returns the idempotency key that a caller sent.
///
/// # Errors
///
/// Returns an error when the key is no text or too long.
pub fn key(headers: &HeaderMap) -> Result<Option<SmolStr>, Error> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let text = value.to_str().ok().map(str::trim).filter(|text| !text.is_empty());
    let text = text.filter(|text| text.len() <= LONGEST_KEY);
    match text {
        Some(text) => Ok(Some(SmolStr::new(text))),
        None => Err(Error::not_run(Reason::Header("Idempotency-Key"))),
    }
}

/// Returns how soon the answer is needed: what the caller says, else what the rules say.
///
/// # Errors
///
/// Returns an error when the caller's word makes no sense.
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

/// Returns a service's target for the first token or the whole plain answer.
pub fn latency_target(service: &Service) -> Duration {
    let target = service.target;
    target.first_token.or(target.answer).unwrap_or(FIRST)
}

/// Returns the targets and bounds of a request that arrived at `now`.
///
/// # Errors
///
/// Returns an error when the caller's deadline makes no sense.
pub fn times(headers: &HeaderMap, handling: &Handling, service: &Service, now: Instant) -> Result<Times, Error> {
    let target = service.target;
    let first = latency_target(service);
    let between = target.between_tokens.unwrap_or(BETWEEN);
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
        first_token: first,
        between_tokens: between,
        head_timeout: first.saturating_mul(HEAD_FACTOR).max(HEAD_FLOOR),
        stall_timeout: between.saturating_mul(STALL_FACTOR).max(STALL_FLOOR),
        deadline: now + allowed,
    })
}

/// Returns the path and query of a request.
pub fn path_and_query(request: &Request) -> PathAndQuery {
    let path = request.uri().path_and_query().cloned();
    path.unwrap_or_else(|| PathAndQuery::from_static("/"))
}
