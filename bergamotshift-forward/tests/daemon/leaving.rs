//! Endpoints whose answers say that they leave, or that they want nothing for a time.

use std::io::Write;

use crate::endpoint::After;
use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Site;
use crate::site::document;
use crate::site::until;

/// How many requests come in these tests after an endpoint has said what it says.
const REQUESTS: usize = 40;

/// Starts an endpoint whose answers all say that it leaves.
fn leaving(id: &str) -> Endpoint {
    Endpoint::start(id, |seen, _, stream| {
        stream.write_all(seen.answer("200 OK", "bergamotshift-leaving: 1\r\n", "last").as_bytes())?;
        Ok(After::Keep)
    })
}

/// Starts an endpoint that turns all requests away for a time.
fn turning_away(id: &str, seconds: &'static str) -> Endpoint {
    Endpoint::start(id, move |seen, _, stream| {
        let extra = format!("bergamotshift-not-run: 1\r\nretry-after: {seconds}\r\n");
        stream.write_all(seen.answer("503 Service Unavailable", &extra, "").as_bytes())?;
        Ok(After::Keep)
    })
}

/// Guards against requests to an endpoint that said that it leaves while the store does not tell it.
#[test]
fn an_endpoint_that_says_that_it_leaves_gets_no_further_request() {
    let (one, two) = (leaving("e1"), Endpoint::plain("e2", "done"));
    let site = Site::new(&[&one, &two]);
    let daemon = site.start();
    lock(&site.world).cut.push("entry-1".into());
    for number in 0..REQUESTS {
        let answer = Caller::new(&daemon).ask("GET", "/checkin/1", &format!("r-{number}"), "");
        assert_eq!(answer.status, 200);
    }
    assert_eq!(one.count(), 1);
}

/// Guards against a registration that says `ready`, lapses and returns, and undoes what the endpoint itself has said.
#[test]
fn a_registration_that_returns_does_not_undo_what_an_answer_said() {
    let (one, two) = (leaving("e1"), Endpoint::plain("e2", "done"));
    let site = Site::new(&[&one]);
    let daemon = site.start();
    assert_eq!(Caller::new(&daemon).ask("GET", "/checkin/1", "r-1", "").text(), "last");
    lock(&site.world).remove("e1");
    lock(&site.world).register(two.registration("staff"));
    let by_two = || Caller::new(&daemon).ask("GET", "/checkin/1", "r-2", "").text() == "done";
    until("the other endpoint is known", by_two);
    lock(&site.world).register(one.registration("staff"));
    // A newer document shows that the registrations before it were read.
    let mut next = document(2);
    next.organisations[0].keys.clear();
    lock(&site.world).put(next);
    let mut caller = Caller::new(&daemon);
    until("what was written later is known", || {
        caller.ask("GET", "/checkin/1", "r-3", "").status == 401
    });
    lock(&site.world).put(document(3));
    until("the key is back", || {
        caller.ask("GET", "/checkin/1", "r-4", "").status == 200
    });
    for number in 0..REQUESTS {
        caller.ask("GET", "/checkin/1", &format!("r-{number}"), "");
    }
    assert_eq!(one.count(), 1);
}

/// Guards against a sole endpoint that gets requests although it leaves, and against callers that wait for it in vain.
#[test]
fn callers_of_a_sole_endpoint_that_leaves_are_refused_at_once() {
    let one = leaving("e1");
    let site = Site::new(&[&one]);
    let daemon = site.start();
    let mut caller = Caller::new(&daemon);
    assert_eq!(caller.ask("POST", "/confirm/1", "r-1", "x").status, 200);
    let refused = caller.ask("POST", "/confirm/1", "r-2", "x");
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    assert_eq!(one.count(), 1);
}

/// Guards against streams, repeats and failed answers whose heads say that the endpoint leaves and are not read.
#[test]
fn every_kind_of_answer_tells_that_its_endpoint_leaves() {
    let stream_head = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\nbergamotshift-leaving: 1\r\n";
    let streaming = Endpoint::start("e1", move |seen, _, stream| {
        let text = seen.open("200 OK", stream_head) + "d\r\nid:1\ndata:x\n\n\r\n0\r\n\r\n";
        stream.write_all(text.as_bytes())?;
        Ok(After::Keep)
    });
    let failing = Endpoint::start("e1", |seen, _, stream| {
        let text = seen.answer("500 Internal Server Error", "bergamotshift-leaving: 1\r\n", "no");
        stream.write_all(text.as_bytes())?;
        Ok(After::Keep)
    });
    let refusing = Endpoint::start("e1", |seen, _, stream| {
        let extra = "bergamotshift-not-run: 1\r\nbergamotshift-leaving: 1\r\n";
        stream.write_all(seen.answer("503 Service Unavailable", extra, "").as_bytes())?;
        Ok(After::Keep)
    });
    for (one, path) in [
        (streaming, "/draft/1"),
        (failing, "/checkin/1"),
        (refusing, "/confirm/1"),
    ] {
        let two = Endpoint::start("e2", |seen, _, stream| {
            stream.write_all(seen.answer("200 OK", "", "done").as_bytes())?;
            Ok(After::Keep)
        });
        let site = Site::new(&[&one, &two]);
        let daemon = site.start();
        for number in 0..REQUESTS {
            let mut caller = Caller::new(&daemon);
            assert!(caller.ask("POST", path, &format!("r-{number}"), "x").status < 503);
        }
        assert_eq!(one.count(), 1, "{path}");
    }
}

/// Guards against requests to an endpoint that turned one away and named a time, because the others fail more often.
#[test]
fn an_endpoint_that_turns_away_for_a_time_gets_nothing_until_then() {
    let one = turning_away("e1", "600");
    let two = Endpoint::start("e2", |seen, _, stream| {
        stream.write_all(seen.answer("500 Internal Server Error", "", "no").as_bytes())?;
        Ok(After::Keep)
    });
    let site = Site::new(&[&one, &two]);
    let daemon = site.start();
    for number in 0..REQUESTS {
        Caller::new(&daemon).ask("GET", "/checkin/1", &format!("r-{number}"), "");
    }
    assert_eq!(one.count(), 1);
}

/// Guards against a sole endpoint that is asked again although it named a time, and callers that are not told of that time.
#[test]
fn callers_of_a_sole_endpoint_that_turned_away_for_a_time_learn_when_to_come_back() {
    let one = turning_away("e1", "600");
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

/// Guards against a pause that an answer to another request, made before it, takes back.
#[test]
fn a_success_that_was_under_way_does_not_end_the_time_for_which_nothing_is_wanted() {
    let one = Endpoint::start("e1", |seen, _, stream| {
        if seen.head.starts_with("GET") {
            // The answer begins, and ends after the other request was turned away.
            let head = seen.open("200 OK", "transfer-encoding: chunked\r\n");
            stream.write_all((head + "4\r\ndone\r\n").as_bytes())?;
            std::thread::sleep(std::time::Duration::from_millis(300));
            stream.write_all(b"0\r\n\r\n")?;
        } else {
            let extra = "bergamotshift-not-run: 1\r\nretry-after: 600\r\n";
            stream.write_all(seen.answer("503 Service Unavailable", extra, "").as_bytes())?;
        }
        Ok(After::Keep)
    });
    let site = Site::new(&[&one]);
    let daemon = site.start();
    let mut slow = Caller::new(&daemon);
    slow.send("GET", "/checkin/1", "r-1", "", "");
    until("the slow request has arrived", || one.count() == 1);
    assert_eq!(Caller::new(&daemon).ask("POST", "/confirm/1", "r-2", "x").status, 503);
    assert_eq!(slow.answer().expect("it ends").status, 200);
    assert_eq!(Caller::new(&daemon).ask("POST", "/confirm/1", "r-3", "x").status, 503);
    assert_eq!(one.count(), 2);
}
