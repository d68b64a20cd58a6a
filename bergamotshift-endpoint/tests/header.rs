//! Tests which headers are forwarded and which are removed.

use bergamotshift_core::attempt;
use bergamotshift_endpoint::header;
use ntex::http::HeaderMap;
use ntex::http::header::HeaderName;
use ntex::http::header::HeaderValue;

fn map(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    headers
}

fn names(headers: &HeaderMap) -> Vec<&str> {
    let mut names: Vec<_> = headers.keys().map(HeaderName::as_str).collect();
    names.sort_unstable();
    names
}

#[test]
fn hop_by_hop_headers_are_removed() {
    let headers = map(&[
        ("connection", "close, X-Secret"),
        ("keep-alive", "timeout=5"),
        ("transfer-encoding", "chunked"),
        ("upgrade", "websocket"),
        ("te", "trailers"),
        ("x-secret", "1"),
        ("x-kept", "1"),
        ("accept", "a"),
        ("accept", "b"),
    ]);
    let passed = header::towards_endpoint(&headers);
    assert_eq!(names(&passed), ["accept", "x-kept"]);
    assert_eq!(passed.get_all("accept").count(), 2);
}

#[test]
fn keys_and_reserved_headers_of_callers_are_removed() {
    let headers = map(&[
        ("authorization", "Bearer secret"),
        ("x-bergamotshift-attempt", "00000000000000000000000000000001"),
        ("x-bergamotshift-organisation", "somebody-else"),
        ("idempotency-key", "k"),
        ("traceparent", "t"),
    ]);
    assert_eq!(
        names(&header::towards_endpoint(&headers)),
        ["idempotency-key", "traceparent"]
    );
}

#[test]
fn attempt_identifiers_survive_a_round_trip() {
    let id = attempt::Id::new(0x0123_4567_89ab_cdef);
    let mut headers = HeaderMap::new();
    header::set_attempt(&mut headers, id);
    assert_eq!(header::attempt(&headers), Some(id));
    assert_eq!(header::attempt(&map(&[("x-bergamotshift-attempt", "1")])), None);
}

#[test]
fn header_names_with_underscores_are_removed_too() {
    // Servers that turn `-` into `_` would read these names as the headers they resemble.
    for name in [
        "keep_alive",
        "proxy_connection",
        "proxy-authorization",
        "transfer_encoding",
        "content_length",
        "x_bergamotshift_organisation",
        "x-bergamotshift_attempt",
    ] {
        let kept = header::towards_endpoint(&map(&[(name, "forged"), ("x-kept", "yes")]));
        assert_eq!(names(&kept), ["x-kept"], "{name}");
    }
    let kept = header::towards_endpoint(&map(&[("x_bergamot", "own"), ("x-bergamotshifted", "own")]));
    assert_eq!(kept.len(), 2);
}
