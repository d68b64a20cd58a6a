//! Answers to callers whose requests succeed or are refused by the entry.

use std::io::Write;

use bergamotshift_forward::document::Organisations;

use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Site;
use crate::site::wait_until;

#[test]
fn requests_and_answers_are_forwarded_unchanged() {
    let endpoint = Endpoint::start("e1", |request, _, stream| {
        stream.write_all(request.answer("201 Created", "x-kind: roster\r\n", "done").as_bytes())?;
        Ok(crate::endpoint::Connection::Keep)
    });
    let site = Site::new(&[&endpoint]);
    let daemon = site.start();
    let answer = Caller::new(&daemon).ask("POST", "/confirm/7?a=%20b", "r-1", "body");
    assert_eq!((answer.status, answer.text().as_str()), (201, "done"));
    assert_eq!(answer.header("x-kind"), Some("roster"));
    assert_eq!(answer.header("bergamotshift-seal"), Some("s1"));
    let request = lock(&endpoint.requests)[0].clone();
    assert!(
        request.head.starts_with("POST /confirm/7?a=%20b HTTP/1.1\r\n"),
        "{}",
        request.head
    );
    assert_eq!(request.body, b"body");
    assert_eq!(request.header("bergamotshift-organisation"), Some("horeca"));
    assert_eq!(request.header("bergamotshift-expected"), Some("e1"));
    assert_eq!(request.header("authorization"), None);
    let left: u64 = request
        .header("bergamotshift-deadline-ms")
        .and_then(|text| text.parse().ok())
        .expect("it is told");
    assert!(left < 4_000, "{left} ms are left");
}

#[test]
fn unknown_keys_and_paths_are_refused_and_reach_no_endpoint() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let daemon = site.start();
    let mut caller = Caller::new(&daemon);
    assert_eq!(caller.ask("GET", "/nowhere/1", "r-1", "").status, 404);
    caller
        .0
        .write_all(b"GET /checkin/1 HTTP/1.1\r\nhost: staff.example\r\n\r\n")
        .expect("it is sent");
    assert_eq!(caller.read_answer().expect("an answer comes").status, 401);
    caller
        .0
        .write_all(b"GET /open/1 HTTP/1.1\r\nhost: staff.example\r\n\r\n")
        .expect("it is sent");
    // The caller sent no identifier, so the endpoint echoes an empty one.
    assert_eq!(caller.read_answer().expect("an answer comes").status, 200);
    assert_eq!(endpoint.count(), 1);
}

/// Guards against permanent refusals, and a successful readiness check, while the store holds no document. Callers are
/// told to retry, and are served without a restart once there is a document.
#[test]
fn without_a_document_callers_are_told_to_retry() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let document = lock(&site.backend).document.take();
    let daemon = site.launch("entry-1", &[]);
    wait_until("it listens", || {
        std::net::TcpStream::connect(daemon.listen.callers).is_ok()
    });
    let answer = Caller::new(&daemon).ask("GET", "/checkin/1", "r-1", "");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert!(!daemon.is_ready());
    lock(&site.backend).put_document(document.expect("there was one"));
    wait_until("it is ready", || daemon.is_ready());
    assert_eq!(Caller::new(&daemon).ask("GET", "/checkin/1", "r-2", "").status, 200);
}

#[test]
fn a_new_document_applies_to_open_connections() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let daemon = site.start();
    let mut caller = Caller::new(&daemon);
    assert_eq!(caller.ask("GET", "/checkin/1", "r-1", "").status, 200);
    let mut next = crate::site::document(2);
    next.organisations[0].keys = vec!["another".into()];
    lock(&site.backend).put_document(next);
    wait_until("the key is taken away", || {
        caller.ask("GET", "/checkin/1", "r-2", "").status == 401
    });
    lock(&site.backend).put_document(crate::site::document(1));
    let still = (0..20).all(|_| caller.ask("GET", "/checkin/1", "r-3", "").status == 401);
    assert!(still, "an older version is never put in force");
}

#[test]
fn metrics_count_served_requests() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let daemon = site.start();
    assert_eq!(Caller::new(&daemon).ask("GET", "/checkin/1", "r-1", "").status, 200);
    let mut collector = std::net::TcpStream::connect(daemon.listen.metrics).expect("it listens");
    let request = b"GET /metrics HTTP/1.1\r\nhost: m\r\nconnection: close\r\n\r\n";
    collector.write_all(request).expect("it is sent");
    let mut text = String::new();
    std::io::Read::read_to_string(&mut collector, &mut text).expect("it is text");
    assert!(
        text.contains("bergamotshift_forward_requests_total{route=\"/checkin/\",outcome=\"served\"} 1"),
        "{text}"
    );
}

/// Guards against requests that run without a valid key, as the last organisation left the document.
#[test]
fn a_document_with_an_empty_list_of_organisations_lets_no_key_in() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    lock(&site.backend).disconnected.push("entry-2".into());
    let running = site.start();
    let told = site.launch("entry-2", &[running.listen.peers]);
    wait_until("the second one is ready", || told.is_ready());
    assert_eq!(Caller::new(&told).ask("GET", "/checkin/1", "r-1", "").status, 200);
    let mut next = crate::site::document(2);
    next.organisations = Vec::new().into();
    lock(&site.backend).put_document(next);
    for daemon in [&running, &told] {
        wait_until("the key is taken away", || {
            Caller::new(daemon).ask("GET", "/checkin/1", "r-2", "").status == 401
        });
    }
    let started = site.launch("entry-3", &[]);
    wait_until("the third one is ready", || started.is_ready());
    let before = endpoint.count();
    for daemon in [&running, &told, &started] {
        let mut caller = Caller::new(daemon);
        assert_eq!(caller.ask("GET", "/checkin/1", "r-3", "").status, 401);
        assert_eq!(caller.ask("POST", "/confirm/1", "r-4", "x").status, 401);
    }
    assert_eq!(endpoint.count(), before);
    assert_eq!(Caller::new(&running).ask("GET", "/open/1", "r-5", "").status, 200);
}

/// Guards against callers that are turned away by a document that lists no organisations at all.
#[test]
fn a_document_without_a_list_of_organisations_needs_no_keys() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let mut open = crate::site::document(2);
    open.organisations = Organisations::default();
    lock(&site.backend).put_document(open);
    let daemon = site.start();
    assert_eq!(Caller::new(&daemon).ask("GET", "/checkin/1", "r-1", "").status, 200);
}
