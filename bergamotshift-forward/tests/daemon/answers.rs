//! Answers of endpoints that break off, make no sense, or prove that nothing ran.

use std::io::Write;
use std::net::Shutdown;

use crate::endpoint::After;
use crate::endpoint::Endpoint;
use crate::outside::lock;
use crate::site::Caller;
use crate::site::Site;

fn failing(id: &str) -> Endpoint {
    Endpoint::start(id, |seen, _, stream| {
        stream.write_all(seen.answer("500 Internal Server Error", "", "no").as_bytes())?;
        Ok(After::Keep)
    })
}

/// An endpoint reads a request that must not run twice and closes the connection without a word. It may have run, so
/// the caller gets 502, which promises nothing, and no endpoint gets the request again.
#[test]
fn what_may_have_run_is_neither_repeated_nor_called_unrun() {
    let closing = |id| Endpoint::start(id, |_, _, _| Ok(After::Close));
    let (one, two) = (closing("e1"), closing("e2"));
    let site = Site::new(&[&one, &two]);
    let daemon = site.start();
    let answer = Caller::new(&daemon).ask("POST", "/confirm/1", "r-1", "x");
    assert_eq!(answer.status, 502);
    assert_eq!(one.count() + two.count(), 1);
}

#[test]
fn an_idempotent_request_that_an_endpoint_failed_gets_the_answer_of_another() {
    let (one, two) = (failing("e1"), Endpoint::plain("e2", "done"));
    let site = Site::new(&[&one, &two]);
    let daemon = site.start();
    let mut caller = Caller::new(&daemon);
    let statuses: Vec<u16> = (0..6)
        .map(|n| caller.ask("GET", "/checkin/1", &format!("r-{n}"), "").status)
        .collect();
    assert_eq!(statuses, [200; 6]);
}

#[test]
fn a_failure_that_no_other_endpoint_mends_reaches_the_caller_as_it_is() {
    let (one, two) = (failing("e1"), failing("e2"));
    let site = Site::new(&[&one, &two]);
    let daemon = site.start();
    let answer = Caller::new(&daemon).ask("GET", "/checkin/1", "r-1", "");
    assert_eq!((answer.status, answer.text().as_str()), (500, "no"));
    assert_eq!(answer.header("bergamotshift-seal"), Some("s1"));
}

/// All endpoints are full and prove with a header that they did not run the request. The caller gets 503 and the time
/// to come back, since its request surely did not run, also where it must not run twice.
#[test]
fn a_request_that_surely_did_not_run_is_refused_with_the_time_to_come_back() {
    let full = |id| {
        Endpoint::start(id, |seen, _, stream| {
            let extra = "bergamotshift-not-run: 1\r\n";
            stream.write_all(seen.answer("503 Service Unavailable", extra, "").as_bytes())?;
            Ok(After::Keep)
        })
    };
    let (one, two) = (full("e1"), full("e2"));
    let site = Site::new(&[&one, &two]);
    let daemon = site.start();
    let answer = Caller::new(&daemon).ask("POST", "/confirm/1", "r-1", "x");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

/// The address of an endpoint that is gone belongs to another one, which refuses with 421. The request goes to an
/// endpoint that is there, and the gone one gets no more.
#[test]
fn an_address_that_changed_hands_is_tried_once() {
    let other = Endpoint::start("e1", |seen, _, stream| {
        stream.write_all(seen.answer("421 Misdirected Request", "", "").as_bytes())?;
        Ok(After::Keep)
    });
    let there = Endpoint::plain("e2", "done");
    let site = Site::new(&[&other, &there]);
    let daemon = site.start();
    let mut caller = Caller::new(&daemon);
    let statuses: Vec<u16> = (0..8)
        .map(|n| caller.ask("POST", "/confirm/1", &format!("r-{n}"), "x").status)
        .collect();
    assert_eq!(statuses, [200; 8]);
    assert!(other.count() <= 1, "it was tried {} times", other.count());
}

#[test]
fn a_success_without_seal_or_with_a_coding_is_no_success() {
    let bare = Endpoint::start("e1", |seen, before, stream| {
        let id = seen.header("bergamotshift-request").unwrap_or_default().to_owned();
        let answer = if before == 0 {
            format!("HTTP/1.1 200 OK\r\nbergamotshift-request: {id}\r\ncontent-length: 2\r\n\r\nok")
        } else {
            seen.answer("200 OK", "content-encoding: gzip\r\n", "ok")
        };
        stream.write_all(answer.as_bytes())?;
        Ok(After::Keep)
    });
    let site = Site::new(&[&bare]);
    let daemon = site.start();
    let mut caller = Caller::new(&daemon);
    assert_eq!(caller.ask("POST", "/confirm/1", "r-1", "x").status, 502);
    assert_eq!(caller.ask("POST", "/confirm/1", "r-2", "x").status, 502);
}

/// An endpoint answers a request twice. The second answer lies on the connection when the next caller's request goes
/// out. That caller gets its own answer, not the one before it.
#[test]
fn a_second_answer_reaches_nobody() {
    let twice = Endpoint::start("e1", |seen, _, stream| {
        let body = seen.header("bergamotshift-request").unwrap_or_default().to_owned();
        let answer = seen.answer("200 OK", "", &body);
        stream.write_all(answer.repeat(2).as_bytes())?;
        Ok(After::Keep)
    });
    let site = Site::new(&[&twice]);
    let daemon = site.start();
    let mut caller = Caller::new(&daemon);
    for number in 0..10 {
        let id = format!("r-{number}");
        let answer = caller.ask("POST", "/confirm/1", &id, "x");
        assert_eq!((answer.status, answer.text()), (200, id));
    }
}

#[test]
fn an_answer_of_another_request_is_read_over() {
    let late = Endpoint::start("e1", |seen, before, stream| {
        if before == 1 {
            let stray = "HTTP/1.1 200 OK\r\nbergamotshift-request: old\r\nbergamotshift-seal: s\r\n\
                         content-length: 3\r\n\r\nold";
            stream.write_all(stray.as_bytes())?;
        }
        stream.write_all(seen.answer("200 OK", "", "own").as_bytes())?;
        Ok(After::Keep)
    });
    let site = Site::new(&[&late]);
    let daemon = site.start();
    let mut caller = Caller::new(&daemon);
    for number in 0..3 {
        let answer = caller.ask("POST", "/confirm/1", &format!("r-{number}"), "x");
        assert_eq!((answer.status, answer.text().as_str()), (200, "own"));
    }
}

#[test]
fn an_answer_without_length_ends_with_its_connection() {
    let open = Endpoint::start("e1", |seen, _, stream| {
        stream.write_all((seen.open("200 OK", "") + "to the end").as_bytes())?;
        stream.shutdown(Shutdown::Both)?;
        Ok(After::Close)
    });
    let site = Site::new(&[&open]);
    let daemon = site.start();
    let answer = Caller::new(&daemon).ask("POST", "/confirm/1", "r-1", "x");
    assert_eq!((answer.status, answer.text().as_str()), (200, "to the end"));
}

#[test]
fn an_answer_that_breaks_off_never_looks_whole() {
    let short = Endpoint::start("e1", |seen, _, stream| {
        stream.write_all((seen.open("200 OK", "content-length: 50\r\n") + "half").as_bytes())?;
        Ok(After::Close)
    });
    let site = Site::new(&[&short]);
    let daemon = site.start();
    assert_eq!(Caller::new(&daemon).ask("POST", "/confirm/1", "r-1", "x").status, 502);
}

#[test]
fn bytes_that_are_no_answer_are_told_as_a_broken_one() {
    for bytes in [
        "garbage\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 2\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 999999 OK\r\n\r\n",
    ] {
        let wild = Endpoint::start("e1", move |_, _, stream| {
            stream.write_all(bytes.as_bytes())?;
            Ok(After::Close)
        });
        let site = Site::new(&[&wild]);
        let daemon = site.start();
        let answer = Caller::new(&daemon).ask("POST", "/confirm/1", "r-1", "x");
        assert_eq!(answer.status, 502, "{bytes:?}");
    }
}

#[test]
fn a_leaving_endpoint_gets_no_more_requests() {
    let (one, two) = (Endpoint::plain("e1", "one"), Endpoint::plain("e2", "two"));
    let site = Site::new(&[&one, &two]);
    let daemon = site.start();
    let mut caller = Caller::new(&daemon);
    let mut leaving = one.registration("staff");
    leaving.leaving = true;
    lock(&site.world).register(leaving);
    let mut in_a_row = 0;
    crate::site::until("all go to the other one", || {
        let text = caller.ask("GET", "/checkin/1", "r", "").text();
        in_a_row = if text == "two" { in_a_row + 1 } else { 0 };
        in_a_row == 50
    });
}
