//! Invalid requests of callers.

use std::io::Read;
use std::io::Write;

use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::KEY;
use crate::site::Site;

fn status(daemon: &crate::site::Daemon, bytes: &str) -> Option<u16> {
    let mut caller = Caller::new(daemon);
    caller.0.write_all(bytes.as_bytes()).expect("it is sent");
    caller.read_answer().map(|answer| answer.status)
}

/// Guards against request smuggling by ambiguous framing: a second request hidden in the body of the first by two
/// lengths. No endpoint may receive either of them.
#[test]
fn a_request_with_two_lengths_reaches_no_endpoint() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let daemon = site.start();
    let head = format!("POST /confirm/1 HTTP/1.1\r\nhost: staff.example\r\nauthorization: Bearer {KEY}\r\n");
    for framing in [
        "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "content-length: 4\r\ncontent-length: 5\r\n\r\nabcde",
        "content-length: -4\r\n\r\n",
        "content-length: 4x\r\n\r\nabcd",
    ] {
        let status = status(&daemon, &format!("{head}{framing}"));
        assert!(
            status.is_none_or(|status| (400..500).contains(&status)),
            "{framing:?}: {status:?}"
        );
    }
    assert_eq!(endpoint.count(), 0);
}

#[test]
fn invalid_http_is_refused() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let daemon = site.start();
    assert!(status(&daemon, "hello\r\n\r\n").is_none_or(|status| status == 400));
    assert_eq!(endpoint.count(), 0);
}

#[test]
fn a_body_over_the_size_limit_is_refused_and_reaches_no_endpoint() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let mut document = crate::site::document(2);
    document.bounds.body = 10;
    lock(&site.backend).put_document(document);
    let daemon = site.start();
    let answer = Caller::new(&daemon).ask("POST", "/confirm/1", "r-1", "more than ten bytes");
    assert_eq!(answer.status, 413);
    assert_eq!(endpoint.count(), 0);
}

/// Guards against effects on other callers when one disconnects in the middle of a head.
#[test]
fn an_incomplete_head_does_not_affect_other_callers() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let daemon = site.start();
    let mut half = Caller::new(&daemon);
    half.0
        .write_all(b"POST /confirm/1 HTTP/1.1\r\nhost: sta")
        .expect("it is sent");
    drop(half);
    let mut caller = Caller::new(&daemon);
    assert_eq!(caller.ask("POST", "/confirm/1", "r-1", "x").status, 200);
    assert_eq!(endpoint.count(), 1);
}

/// Guards against a request that is forwarded although its caller disconnects in the middle of the body.
#[test]
fn an_incomplete_body_reaches_no_endpoint() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let daemon = site.start();
    let mut half = Caller::new(&daemon);
    half.send("POST", "/confirm/1", "r-1", "x-more: 1\r\n", "");
    assert_eq!(half.read_answer().expect("the empty one is whole").status, 200);
    let head = format!(
        "POST /confirm/2 HTTP/1.1\r\nhost: staff.example\r\nauthorization: Bearer {KEY}\r\ncontent-length: 9\r\n\r\nabc"
    );
    half.0.write_all(head.as_bytes()).expect("it is sent");
    half.0
        .shutdown(std::net::Shutdown::Write)
        .expect("the connection stands");
    let mut rest = Vec::new();
    let _ = half.0.read_to_end(&mut rest);
    assert_eq!(endpoint.count(), 1);
}

/// Guards against bodies that are held although the head of their request suffices to refuse it.
#[test]
fn what_the_head_refuses_is_refused_before_its_body_comes() {
    let endpoint = Endpoint::plain("e1", "done");
    let site = Site::new(&[&endpoint]);
    let daemon = site.start();
    let large = "host: staff.example\r\ncontent-length: 1000000\r\n";
    for (head, expected) in [
        (format!("POST /nowhere/1 HTTP/1.1\r\n{large}\r\n"), 404),
        (format!("POST /checkin/1 HTTP/1.1\r\n{large}\r\n"), 401),
        (
            format!(
                "POST /checkin/1 HTTP/1.1\r\nhost: staff.example\r\nauthorization: Bearer {KEY}\r\n\
                 content-length: 100000000\r\n\r\n"
            ),
            413,
        ),
    ] {
        let mut caller = Caller::new(&daemon);
        caller.0.write_all(head.as_bytes()).expect("it is sent");
        let answer = caller.read_answer().expect("an answer comes");
        assert_eq!(answer.status, expected);
        assert_eq!(answer.header("connection"), Some("close"));
    }
    assert_eq!(endpoint.count(), 0);
}
