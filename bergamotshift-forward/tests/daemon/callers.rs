//! What callers get of a request that goes well, and of one that the system refuses.

use std::io::Write;

use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Site;
use crate::site::until;

#[test]
fn a_request_passes_unchanged_and_its_answer_too() {
    let endpoint = Endpoint::start("e1", |seen, _, stream| {
        stream.write_all(seen.answer("201 Created", "x-kind: roster\r\n", "done").as_bytes())?;
        Ok(crate::endpoint::After::Keep)
    });
    let site = Site::new(&[&endpoint]);
    let daemon = site.start();
    let answer = Caller::new(&daemon).ask("POST", "/confirm/7?a=%20b", "r-1", "body");
    assert_eq!((answer.status, answer.text().as_str()), (201, "done"));
    assert_eq!(answer.header("x-kind"), Some("roster"));
    assert_eq!(answer.header("bergamotshift-seal"), Some("s1"));
    let seen = lock(&endpoint.seen)[0].clone();
    assert!(
        seen.head.starts_with("POST /confirm/7?a=%20b HTTP/1.1\r\n"),
        "{}",
        seen.head
    );
    assert_eq!(seen.body, b"body");
    assert_eq!(seen.header("bergamotshift-organisation"), Some("horeca"));
    assert_eq!(seen.header("bergamotshift-expected"), Some("e1"));
    assert_eq!(seen.header("authorization"), None);
    let left: u64 = seen
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
    assert_eq!(caller.answer().expect("an answer comes").status, 401);
    caller
        .0
        .write_all(b"GET /open/1 HTTP/1.1\r\nhost: staff.example\r\n\r\n")
        .expect("it is sent");
    // The endpoint echoes no identifier, as the caller sent none: this answer belongs to nobody.
    assert_eq!(caller.answer().expect("an answer comes").status, 200);
    assert_eq!(endpoint.count(), 1);
}

/// A daemon starts while the store holds no document. Callers are told to come back, and not that their route or key is
/// unknown; the balancer sends nobody. Once the document is there, both change without a restart.
#[test]
fn without_a_document_callers_are_told_to_come_back() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let document = lock(&site.world).document.take();
    let daemon = site.launch("entry-1", &[]);
    until("it listens", || {
        std::net::TcpStream::connect(daemon.listen.callers).is_ok()
    });
    let answer = Caller::new(&daemon).ask("GET", "/checkin/1", "r-1", "");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert!(!daemon.is_ready());
    lock(&site.world).put(document.expect("there was one"));
    until("it is ready", || daemon.is_ready());
    assert_eq!(Caller::new(&daemon).ask("GET", "/checkin/1", "r-2", "").status, 200);
}

#[test]
fn a_new_document_holds_for_open_connections() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let daemon = site.start();
    let mut caller = Caller::new(&daemon);
    assert_eq!(caller.ask("GET", "/checkin/1", "r-1", "").status, 200);
    let mut next = crate::site::document(2);
    next.organisations[0].keys = vec!["another".into()];
    lock(&site.world).put(next);
    until("the key is taken away", || {
        caller.ask("GET", "/checkin/1", "r-2", "").status == 401
    });
    lock(&site.world).put(crate::site::document(1));
    let still = (0..20).all(|_| caller.ask("GET", "/checkin/1", "r-3", "").status == 401);
    assert!(still, "an older version is never put in force");
}

#[test]
fn metrics_tell_what_was_served() {
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
