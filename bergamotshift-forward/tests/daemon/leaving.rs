//! Endpoints whose answers announce that they leave, or request a pause.

use std::io::Write;

use crate::endpoint::Connection;
use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Site;
use crate::site::document;
use crate::site::wait_until;

/// Number of requests that are sent after an endpoint's announcement.
const REQUESTS: usize = 40;

/// Starts an endpoint that announces in every answer that it leaves.
fn announcing_departure(id: &str) -> Endpoint {
    Endpoint::start(id, |request, _, stream| {
        stream.write_all(
            request
                .answer("200 OK", "bergamotshift-leaving: 1\r\n", "last")
                .as_bytes(),
        )?;
        Ok(Connection::Keep)
    })
}

/// Starts an endpoint that refuses all requests and requests a pause.
fn pausing(id: &str, seconds: &'static str) -> Endpoint {
    Endpoint::start(id, move |request, _, stream| {
        let extra = format!("bergamotshift-not-run: 1\r\nretry-after: {seconds}\r\n");
        stream.write_all(request.answer("503 Service Unavailable", &extra, "").as_bytes())?;
        Ok(Connection::Keep)
    })
}

/// Guards against requests to an endpoint that announced that it leaves, while the store cannot be read.
#[test]
fn an_endpoint_that_says_that_it_leaves_gets_no_further_request() {
    let (one, two) = (
        announcing_departure("e1"),
        Endpoint::plain("e2", "done").in_other_zone(),
    );
    let site = Site::new(&[&one, &two]);
    let daemon = site.start();
    lock(&site.backend).disconnected.push("entry-1".into());
    for number in 0..REQUESTS {
        let answer = Caller::new(&daemon).ask("GET", "/checkin/1", &format!("r-{number}"), "");
        assert_eq!(answer.status, 200);
    }
    assert_eq!(one.count(), 1);
}

/// Guards against a registration that expires and returns as ready, and undoes what the endpoint itself has announced.
#[test]
fn a_registration_that_returns_does_not_undo_an_announcement() {
    let (one, two) = (announcing_departure("e1"), Endpoint::plain("e2", "done"));
    let site = Site::new(&[&one]);
    let daemon = site.start();
    assert_eq!(Caller::new(&daemon).ask("GET", "/checkin/1", "r-1", "").text(), "last");
    lock(&site.backend).remove("e1");
    lock(&site.backend).register(two.registration("staff"));
    let is_served_by_two = || Caller::new(&daemon).ask("GET", "/checkin/1", "r-2", "").text() == "done";
    wait_until("the other endpoint is known", is_served_by_two);
    lock(&site.backend).register(one.registration("staff"));
    // Once a newer document is in force, the earlier registrations have been read too.
    let mut next = document(2);
    next.organisations[0].keys.clear();
    lock(&site.backend).put_document(next);
    let mut caller = Caller::new(&daemon);
    wait_until("what was written later is known", || {
        caller.ask("GET", "/checkin/1", "r-3", "").status == 401
    });
    lock(&site.backend).put_document(document(3));
    wait_until("the key is back", || {
        caller.ask("GET", "/checkin/1", "r-4", "").status == 200
    });
    for number in 0..REQUESTS {
        caller.ask("GET", "/checkin/1", &format!("r-{number}"), "");
    }
    assert_eq!(one.count(), 1);
}

/// Guards against requests to the only endpoint of a service although it leaves, and against callers that wait for it.
#[test]
fn callers_of_a_sole_endpoint_that_leaves_are_refused_at_once() {
    let one = announcing_departure("e1");
    let site = Site::new(&[&one]);
    let daemon = site.start();
    let mut caller = Caller::new(&daemon);
    assert_eq!(caller.ask("POST", "/confirm/1", "r-1", "x").status, 200);
    let refused = caller.ask("POST", "/confirm/1", "r-2", "x");
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    assert_eq!(one.count(), 1);
}

/// Guards against announcements that are ignored in the heads of streams, failures and refusals.
#[test]
fn every_kind_of_answer_can_announce_that_its_endpoint_leaves() {
    let stream_head = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\nbergamotshift-leaving: 1\r\n";
    let streaming = Endpoint::start("e1", move |request, _, stream| {
        let text = request.answer_head("200 OK", stream_head) + "d\r\nid:1\ndata:x\n\n\r\n0\r\n\r\n";
        stream.write_all(text.as_bytes())?;
        Ok(Connection::Keep)
    });
    let failing = Endpoint::start("e1", |request, _, stream| {
        let text = request.answer("500 Internal Server Error", "bergamotshift-leaving: 1\r\n", "no");
        stream.write_all(text.as_bytes())?;
        Ok(Connection::Keep)
    });
    let refusing = Endpoint::start("e1", |request, _, stream| {
        let extra = "bergamotshift-not-run: 1\r\nbergamotshift-leaving: 1\r\n";
        stream.write_all(request.answer("503 Service Unavailable", extra, "").as_bytes())?;
        Ok(Connection::Keep)
    });
    for (one, path) in [
        (streaming, "/draft/1"),
        (failing, "/checkin/1"),
        (refusing, "/confirm/1"),
    ] {
        let two = Endpoint::start("e2", |request, _, stream| {
            stream.write_all(request.answer("200 OK", "", "done").as_bytes())?;
            Ok(Connection::Keep)
        });
        let two = two.in_other_zone();
        let site = Site::new(&[&one, &two]);
        let daemon = site.start();
        for number in 0..REQUESTS {
            let mut caller = Caller::new(&daemon);
            assert!(caller.ask("POST", path, &format!("r-{number}"), "x").status < 503);
        }
        assert_eq!(one.count(), 1, "{path}");
    }
}

/// Guards against requests to an endpoint during the pause that it requested, because the other endpoint fails more
/// often.
#[test]
fn an_endpoint_that_turns_away_for_a_time_gets_nothing_until_then() {
    let one = pausing("e1", "600");
    let two = Endpoint::start("e2", |request, _, stream| {
        stream.write_all(request.answer("500 Internal Server Error", "", "no").as_bytes())?;
        Ok(Connection::Keep)
    });
    let site = Site::new(&[&one, &two]);
    let daemon = site.start();
    for number in 0..REQUESTS {
        Caller::new(&daemon).ask("GET", "/checkin/1", &format!("r-{number}"), "");
    }
    assert_eq!(one.count(), 1);
}

/// Guards against requests to the only endpoint of a service during its pause, and refusals without the time to retry.
#[test]
fn callers_of_a_sole_endpoint_that_requested_a_pause_are_told_when_to_retry() {
    let one = pausing("e1", "600");
    let site = Site::new(&[&one]);
    let daemon = site.start();
    let mut caller = Caller::new(&daemon);
    for number in 0..4 {
        let refused = caller.ask("POST", "/confirm/1", &format!("r-{number}"), "x");
        assert_eq!(refused.status, 503);
        let after: f64 = refused
            .header("retry-after")
            .and_then(|text| text.parse().ok())
            .unwrap_or_default();
        assert!(after > 100.0, "told to come back after {after} s");
    }
    assert_eq!(one.count(), 1);
}

/// Guards against a pause that ends when an answer completes which began before the pause was requested.
#[test]
fn a_success_in_flight_does_not_end_a_pause() {
    let one = Endpoint::start("e1", |request, _, stream| {
        if request.head.starts_with("GET") {
            // The answer begins before the other request is refused and ends after it.
            let head = request.answer_head("200 OK", "transfer-encoding: chunked\r\n");
            stream.write_all((head + "4\r\ndone\r\n").as_bytes())?;
            std::thread::sleep(std::time::Duration::from_millis(300));
            stream.write_all(b"0\r\n\r\n")?;
        } else {
            let extra = "bergamotshift-not-run: 1\r\nretry-after: 600\r\n";
            stream.write_all(request.answer("503 Service Unavailable", extra, "").as_bytes())?;
        }
        Ok(Connection::Keep)
    });
    let site = Site::new(&[&one]);
    let daemon = site.start();
    let mut slow = Caller::new(&daemon);
    slow.send("GET", "/checkin/1", "r-1", "", "");
    wait_until("the slow request has arrived", || one.count() == 1);
    assert_eq!(Caller::new(&daemon).ask("POST", "/confirm/1", "r-2", "x").status, 503);
    assert_eq!(slow.read_answer().expect("it ends").status, 200);
    assert_eq!(Caller::new(&daemon).ask("POST", "/confirm/1", "r-3", "x").status, 503);
    assert_eq!(one.count(), 2);
}
