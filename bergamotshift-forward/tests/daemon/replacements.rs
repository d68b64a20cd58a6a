//! Replacements of silent attempts.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use crate::endpoint::Connection;
use crate::endpoint::Endpoint;
use crate::large::ENGINE;
use crate::outside::lock;
use crate::script::Step;
use crate::script::answers;
use crate::script::last_event;
use crate::script::send;
use crate::script::start;
use crate::script::step;
use crate::script::stream;
use crate::site::Caller;
use crate::site::Site;

const MS: Duration = Duration::from_millis(1);

fn site(endpoints: &[Endpoint], engine: Option<bergamotshift_forward::document::Engine>, attempts: u32) -> Site {
    let site = Site::new(&endpoints.iter().collect::<Vec<_>>());
    let mut document = crate::site::document(2);
    document.services[0].engine = engine;
    for route in &mut document.routes {
        route.pause = 100 * MS;
        route.attempts = attempts;
    }
    lock(&site.backend).put_document(document);
    site
}

/// Guards against a stream that is cut when its silent endpoint dies, as searches that sent nothing ruled out the others.
#[test]
fn searches_that_send_nothing_use_up_no_endpoint() {
    let endpoints = start(2, |_, request, connection| {
        let is_first = last_event(request) == 0;
        stream(request, connection, |event| {
            if is_first && event == 3 {
                thread::sleep(1200 * MS);
                return Step::Reset;
            }
            step(event)
        })
    });
    let site = site(&endpoints, Some(ENGINE), 2);
    let daemon = site.start();
    let mut caller = Caller::new(&daemon);
    caller.send("POST", "/draft/1", "r-0", "bergamotshift-size: 25000,10\r\n", "0");
    let answer = caller.read_answer().expect("an answer");
    assert!(answer.is_complete);
}

/// Guards against a stream that is cut although an endpoint is left, which was too late in an earlier silence.
#[test]
fn a_late_replacement_does_not_bar_its_endpoint() {
    let resumed = Arc::new(AtomicUsize::new(0));
    let endpoints = start(2, move |_, request, connection| {
        let is_first = last_event(request) == 0;
        let number = if is_first {
            0
        } else {
            resumed.fetch_add(1, Ordering::Relaxed) + 1
        };
        let from = last_event(request) + 1;
        stream(request, connection, |event| {
            if is_first && event == 3 {
                thread::sleep(1000 * MS);
            }
            if is_first && event == 5 {
                thread::sleep(200 * MS);
                return Step::Reset;
            }
            if number == 1 && event == from {
                thread::sleep(400 * MS);
            }
            step(event)
        })
    });
    let site = site(&endpoints, None, 3);
    let daemon = site.start();
    let answers = answers(send(&daemon, "/draft/1", 1));
    assert!(answers[0].is_complete);
}

/// Guards against a late answer that is dropped for the server error of a replacement.
#[test]
fn a_failure_of_a_replacement_does_not_end_a_late_answer() {
    let seen = Arc::new(AtomicUsize::new(0));
    let endpoints = start(2, move |_, request, connection| {
        if seen.fetch_add(1, Ordering::Relaxed) == 0 {
            thread::sleep(1000 * MS);
            connection.write_all(request.answer("200 OK", "", "done").as_bytes())?;
        } else {
            connection.write_all(request.answer("500 Internal Server Error", "", "bad").as_bytes())?;
        }
        Ok(Connection::Keep)
    });
    let site = site(&endpoints, None, 2);
    let daemon = site.start();
    let answers = answers(send(&daemon, "/checkin/1", 1));
    assert_eq!(answers[0].status, 200);
}

/// Guards against a replacement that is dropped when the connection to the silent endpoint is reset.
#[test]
fn a_replacement_answers_when_the_silent_endpoint_resets() {
    let seen = Arc::new(AtomicUsize::new(0));
    let endpoints = start(2, move |_, request, connection| {
        if seen.fetch_add(1, Ordering::Relaxed) == 0 {
            thread::sleep(600 * MS);
            SockRef::from(&*connection).set_linger(Some(Duration::ZERO))?;
            return Ok(Connection::Close);
        }
        thread::sleep(400 * MS);
        connection.write_all(request.answer("200 OK", "", "done").as_bytes())?;
        Ok(Connection::Keep)
    });
    let site = site(&endpoints, None, 2);
    let daemon = site.start();
    let answers = answers(send(&daemon, "/checkin/1", 1));
    assert_eq!(answers[0].status, 200);
}
