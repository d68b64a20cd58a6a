//! Headers that pass a hop and headers that end at it.

use bergamotshift_core::attempt;
use bergamotshift_core::outcome::Outcome;
use ntex::http::HeaderMap;
use ntex::http::header;
use ntex::http::header::HeaderName;
use ntex::http::header::HeaderValue;

/// Carries the attempt's identifier to an endpoint and back.
pub const ATTEMPT: &str = "x-bergamotshift-attempt";

/// Tells whether a request ran; an endpoint that sends `not-run` proves that it refused before any work.
pub const OUTCOME: &str = "x-bergamotshift-outcome";

/// Starts every header that only the system itself may set towards endpoints.
const OWN_PREFIX: &str = "x-bergamotshift-";

/// Headers that hold for one connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Hop-by-hop headers that have no constant of their own.
const HOP_BY_HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Returns the headers of a caller's request that an endpoint gets.
///
/// The caller's key stays here: an endpoint that saw it could act as the organisation. `X-Bergamotshift-*` headers
/// stay here too, so that no caller can forge an attempt.
pub fn towards_endpoint(headers: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end(headers);
    kept.remove(header::AUTHORIZATION);
    kept.remove(header::EXPECT);
    kept.remove(header::CONTENT_LENGTH);
    kept
}

/// Returns the headers of an endpoint's answer that the caller gets.
pub fn towards_caller(headers: &HeaderMap) -> HeaderMap {
    end_to_end(headers)
}

/// Puts an attempt's identifier among the headers.
pub fn set_attempt(headers: &mut HeaderMap, attempt: attempt::Id) {
    let text = attempt.to_string();
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(HeaderName::from_static(ATTEMPT), value);
    }
}

/// Returns the attempt's identifier that an answer carries.
pub fn attempt(headers: &HeaderMap) -> Option<attempt::Id> {
    headers.get(ATTEMPT)?.to_str().ok()?.parse().ok()
}

/// Returns whether an answer says that its request did not run.
pub fn says_not_run(headers: &HeaderMap) -> bool {
    let said = headers.get(OUTCOME).and_then(|value| value.to_str().ok());
    said == Some(Outcome::NotRun.as_str())
}

fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len());
    let named = connection_options(headers);
    for (name, value) in headers {
        let text = name.as_str();
        let dropped = HOP_BY_HOP.iter().any(|own| is_spelled(text, own.as_str()))
            || HOP_BY_HOP_NAMES.iter().any(|own| is_spelled(text, own))
            || is_own(text)
            || is_other_length(text)
            || named.iter().any(|option| option.eq_ignore_ascii_case(text));
        if !dropped {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Returns whether only the system itself may set a header.
///
/// Failure: servers behind an endpoint turn `-` into `_` when they hand headers to a program. Symptom: a caller's
/// `X_Bergamotshift_Organisation` becomes the same as the entry's own header, and may win. Both spellings count.
fn is_own(name: &str) -> bool {
    name.get(..OWN_PREFIX.len())
        .is_some_and(|beginning| is_spelled(beginning, OWN_PREFIX))
}

/// Returns whether a name is another spelling of `Content-Length`, which would frame the message a second time.
fn is_other_length(name: &str) -> bool {
    name.contains('_') && is_spelled(name, header::CONTENT_LENGTH.as_str())
}

/// Returns whether a name is this one, when `_` counts as `-`.
fn is_spelled(name: &str, as_is: &str) -> bool {
    let alike = |(byte, wanted): (u8, u8)| byte == wanted || (byte == b'_' && wanted == b'-');
    name.len() == as_is.len() && name.bytes().zip(as_is.bytes()).all(alike)
}

/// Returns the header names that a `Connection` header declares to be hop-by-hop.
fn connection_options(headers: &HeaderMap) -> Vec<&str> {
    headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .filter(|option| !option.is_empty())
        .collect()
}
