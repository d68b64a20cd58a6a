//! Parsing of callers' headers, and the headers that endpoints receive.

use bergamotshift_core::prelude::*;
use bergamotshift_forward::dialect::Dialect;
use bergamotshift_forward::dialect::Envelope;
use bergamotshift_forward::dialect::Load;
use bergamotshift_forward::dialect::Metadata;
use bergamotshift_forward::dialect::Size;
use ntex::http::HeaderMap;
use ntex::http::header::HeaderName;
use ntex::http::header::HeaderValue;

fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let name = HeaderName::try_from(*name).expect("a header's name");
        headers.append(name, HeaderValue::from_str(value).expect("a header's value"));
    }
    headers
}

fn envelope() -> Envelope<'static> {
    Envelope {
        expected: "i-1",
        organisation: None,
        time_left: 900,
        urgency: None,
        source: None,
        last_event: None,
    }
}

#[test]
fn headers_are_parsed_with_the_prompt() {
    let input = headers(&[
        ("bergamotshift-request", "r1"),
        ("bergamotshift-size", "1460,80"),
        ("bergamotshift-prompt", "5c1e:800,91bd:410,e440:250"),
    ]);
    let metadata = Metadata::read(&Dialect::default(), &input);
    assert_eq!(metadata.id, "r1");
    assert_eq!(metadata.size.map(Size::total), Some(1_540));
    assert_eq!(metadata.shared_part().map(|part| part.id), Some(0x91bd));
}

#[test]
fn malformed_values_count_as_absent() {
    let input = headers(&[
        ("bergamotshift-size", "many,few"),
        ("bergamotshift-deadline-ms", "-5"),
        ("bergamotshift-prompt", "zz:1"),
    ]);
    let metadata = Metadata::read(&Dialect::default(), &input);
    assert_eq!(
        (metadata.size, metadata.time_left, metadata.parts.len()),
        (None, None, 0)
    );
}

/// Guards against callers that set headers of the system, such as the name of another organisation. Endpoints receive
/// neither those nor the caller's key.
#[test]
fn a_caller_cannot_set_headers_of_the_system() {
    let dialect = Dialect {
        organisation: HeaderName::from_static("x-organisation"),
        reserved: vec![HeaderName::from_static("x-hold")],
        ..Dialect::default()
    };
    let input = headers(&[
        ("authorization", "Bearer secret"),
        ("x-organisation", "somebody-else"),
        ("x-hold", "h1"),
        ("x-other", "kept"),
        ("connection", "x-dropped"),
        ("x-dropped", "1"),
    ]);
    let name = name::Organisation::new("horeca");
    let sent = dialect.towards_endpoint(
        &input,
        &Envelope {
            organisation: Some(&name),
            ..envelope()
        },
    );
    assert!(!sent.contains_key("authorization"));
    assert!(!sent.contains_key("x-hold"));
    assert!(!sent.contains_key("x-dropped"));
    assert_eq!(sent.get("x-organisation").expect("it is set").as_bytes(), b"horeca");
    assert_eq!(sent.get("x-other").expect("it passes").as_bytes(), b"kept");
    let public = dialect.towards_endpoint(&input, &envelope());
    assert!(!public.contains_key("x-organisation"));
}

#[test]
fn a_key_needs_its_scheme() {
    let dialect = Dialect::default();
    assert_eq!(dialect.key(&headers(&[("authorization", "bearer k1")])), Some("k1"));
    assert_eq!(dialect.key(&headers(&[("authorization", "Token k1")])), None);
    assert_eq!(dialect.key(&headers(&[("authorization", "Bearer ")])), None);
}

#[test]
fn a_load_is_three_numbers_and_maybe_a_pace() {
    let dialect = Dialect::default();
    let load = |text| dialect.load(&headers(&[("bergamotshift-load", text)]));
    let expected = Load {
        running: 3,
        waiting: 0,
        slots: 8,
        pace: None,
    };
    assert_eq!(load("3,0,8"), Some(expected));
    assert_eq!(load("3,0"), None);
    let pace = |text| load(text).and_then(|load| load.pace);
    assert_eq!(pace("3,0,8,137"), Some(137.0));
    assert!(pace("3,0,8,fast").is_some_and(f64::is_nan));
}
