//! Filters for the headers that are forwarded between callers and endpoints.

use bergamotshift_core::attempt;
use bergamotshift_core::outcome::Outcome;
use ntex::http::HeaderMap;
use ntex::http::header;
use ntex::http::header::HeaderName;
use ntex::http::header::HeaderValue;

/// Header that carries the attempt's identifier to an endpoint and back.
pub const ATTEMPT: &str = "x-bergamotshift-attempt";

/// Header that states whether a request ran. `not-run` from an endpoint proves that it refused before any work.
pub const OUTCOME: &str = "x-bergamotshift-outcome";

/// Prefix of the headers that only the system itself may set towards endpoints.
const RESERVED_PREFIX: &str = "x-bergamotshift-";

/// Headers that apply to a single connection.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Hop-by-hop headers for which the HTTP library has no constant.
const HOP_BY_HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Returns the headers of a caller's request that are forwarded to an endpoint.
///
/// The caller's key is removed, because an endpoint that saw it could act as the organisation. `X-Bergamotshift-*`
/// headers are removed so that no caller can forge an attempt.
pub fn towards_endpoint(headers: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end(headers);
    kept.remove(header::AUTHORIZATION);
    kept.remove(header::EXPECT);
    kept.remove(header::CONTENT_LENGTH);
    kept
}

/// Returns the headers of an endpoint's answer that are forwarded to the caller.
pub fn towards_caller(headers: &HeaderMap) -> HeaderMap {
    end_to_end(headers)
}

/// Sets the attempt's identifier in the headers.
pub fn set_attempt(headers: &mut HeaderMap, attempt: attempt::Id) {
    let text = attempt.to_string();
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(HeaderName::from_static(ATTEMPT), value);
    }
}

/// Returns the attempt's identifier from the headers of an answer.
pub fn attempt(headers: &HeaderMap) -> Option<attempt::Id> {
    headers.get(ATTEMPT)?.to_str().ok()?.parse().ok()
}

/// Returns whether the headers of an answer state that its request did not run.
pub fn says_not_run(headers: &HeaderMap) -> bool {
    let outcome = headers.get(OUTCOME).and_then(|value| value.to_str().ok());
    outcome == Some(Outcome::NotRun.as_str())
}

fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len());
    let listed = connection_options(headers);
    for (name, value) in headers {
        let text = name.as_str();
        let dropped = HOP_BY_HOP.iter().any(|name| is_same_name(text, name.as_str()))
            || HOP_BY_HOP_NAMES.iter().any(|name| is_same_name(text, name))
            || is_reserved(text)
            || is_content_length_variant(text)
            || listed.iter().any(|option| option.eq_ignore_ascii_case(text));
        if !dropped {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Returns whether only the system itself may set a header.
///
/// `_` counts as `-`: servers behind an endpoint turn `-` into `_` when they pass headers to a program. A caller's
/// `X_Bergamotshift_Organisation` would then have the same name as the entry's own header and could override it.
fn is_reserved(name: &str) -> bool {
    name.get(..RESERVED_PREFIX.len())
        .is_some_and(|prefix| is_same_name(prefix, RESERVED_PREFIX))
}

/// Returns whether a name is `Content-Length` spelled with `_`, which could give the message a second length.
fn is_content_length_variant(name: &str) -> bool {
    name.contains('_') && is_same_name(name, header::CONTENT_LENGTH.as_str())
}

/// Returns whether a name equals the expected one, with `_` counted as `-`.
fn is_same_name(name: &str, expected: &str) -> bool {
    let is_same_byte = |(byte, wanted): (u8, u8)| byte == wanted || (byte == b'_' && wanted == b'-');
    name.len() == expected.len() && name.bytes().zip(expected.bytes()).all(is_same_byte)
}

/// Returns the header names that the `Connection` headers declare to be hop-by-hop.
fn connection_options(headers: &HeaderMap) -> Vec<&str> {
    headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .filter(|option| !option.is_empty())
        .collect()
}
