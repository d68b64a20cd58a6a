//! Parts of prompts that crash each engine that begins an answer to a request with them.

use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::endpoint::Connection;
use crate::endpoint::Endpoint;
use crate::endpoint::Request;
use crate::site::Answer;
use crate::site::Caller;
use crate::site::Daemon;
use crate::site::Site;
use crate::site::wait_until;

const ENDPOINTS: usize = 8;

/// Number of crashes by which requests with the part have to be refused.
const MAX_CRASHES: usize = 5;

/// Number of requests with the part; no two are alike.
const REQUESTS: usize = 12;

/// Part that crashes engines.
const CRASHING: &str = "bad";

/// Time for which an engine reads a prompt.
const PREFILL: Duration = Duration::from_millis(250);

const EVENT_STREAM: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

/// Returns whether a request holds the part that crashes engines.
fn is_crashing(request: &Request) -> bool {
    let parts = request.header("bergamotshift-prompt").unwrap_or_default();
    parts.split(',').any(|part| part.starts_with(&format!("{CRASHING}:")))
}

/// Answers with a complete stream.
fn answer(request: &Request, stream: &mut TcpStream) -> io::Result<Connection> {
    stream.write_all(request.answer_head("200 OK", EVENT_STREAM).as_bytes())?;
    let event = "id: 1\ndata: 1\n\n";
    write!(stream, "{:x}\r\n{event}\r\n0\r\n\r\n", event.len())?;
    Ok(Connection::Keep)
}

/// Starts engines that crash when they begin to answer a request with the part.
fn engines() -> Vec<Endpoint> {
    let start = |number| {
        Endpoint::start(&format!("e{number}"), |request, _, stream| {
            if !is_crashing(request) {
                return answer(request, stream);
            }
            thread::sleep(PREFILL);
            stream.write_all(request.answer_head("200 OK", EVENT_STREAM).as_bytes())?;
            Ok(Connection::Crash)
        })
    };
    (0..ENDPOINTS).map(start).collect()
}

/// Returns the number of crashing requests that reached engines.
fn crashes(engines: &[Endpoint]) -> usize {
    let crashing = |engine: &Endpoint| {
        let requests = engine.requests.lock().expect("no script panics");
        requests.iter().filter(|request| is_crashing(request)).count()
    };
    engines.iter().map(crashing).sum()
}

/// Sends a request whose prompt has these shared parts and one of its own.
fn send(daemon: &Daemon, path: &str, parts: &str, number: usize) -> Caller {
    let mut caller = Caller::new(daemon);
    let headers = format!("bergamotshift-prompt: {parts},{number:x}:10\r\n");
    caller.send(
        "POST",
        path,
        &format!("{parts}-{number}"),
        &headers,
        &format!("request {number}"),
    );
    caller
}

/// Sends a request and returns its answer.
fn ask(daemon: &Daemon, path: &str, parts: &str, number: usize) -> Option<Answer> {
    send(daemon, path, parts, number).read_answer()
}

/// Sends a request with the part, and waits until its death is recorded if it crashed an engine.
fn crash(daemon: &Daemon, engines: &[Endpoint], number: usize) {
    let _ = ask(daemon, "/chat/1", "c1:100,bad:50", number);
    wait_until("the deaths are recorded", || {
        daemon.death_count() == Some(crashes(engines))
    });
}

fn start(engines: &[Endpoint]) -> Daemon {
    let all: Vec<_> = engines.iter().collect();
    let site = Site::new(&all);
    site.start()
}

/// Guards against one part of many prompts that crashes one engine after the other, because the deaths of requests of which
/// no two are alike counted for each of them alone.
#[test]
fn requests_that_share_a_crashing_part_are_refused() {
    let engines = engines();
    let daemon = start(&engines);
    for number in 0..REQUESTS {
        crash(&daemon, &engines, number);
    }
    let crashes = crashes(&engines);
    assert!(crashes <= MAX_CRASHES, "{crashes} engines crashed");
}

/// Guards against callers who are refused because their prompts share other parts with requests that crash engines.
#[test]
fn requests_beside_a_crashing_part_are_served() {
    let engines = engines();
    let daemon = start(&engines);
    for number in 0..REQUESTS {
        crash(&daemon, &engines, number);
        let sound = ask(&daemon, "/chat/1", "c1:100,d1:50", number);
        assert_eq!(sound.map(|answer| answer.status), Some(200), "after request {number}");
    }
}

/// Guards against a request that is sent to one engine after the other although its part has been refused since it arrived.
#[test]
fn a_request_is_not_sent_again_once_its_part_is_refused() {
    let is_released = Arc::new(AtomicBool::new(false));
    let released = Arc::clone(&is_released);
    let held = Endpoint::start("held", move |request, _, stream| {
        if request.path().starts_with("/draft/") {
            wait_until("it is released", || released.load(Ordering::Acquire));
        }
        stream.write_all(request.answer_head("200 OK", EVENT_STREAM).as_bytes())?;
        Ok(Connection::Crash)
    });
    let engines = engines();
    let first = Site::new(&[&held]);
    let daemon = first.start();
    let mut caller = send(&daemon, "/draft/1", "c1:100,bad:50", 99);
    wait_until("an engine has it", || held.count() == 1);
    for engine in &engines {
        crate::outside::lock(&first.backend).register(engine.registration("staff"));
    }
    wait_until("the engines are known", || {
        daemon.endpoint_count() == Some(ENDPOINTS + 1)
    });
    let is_refused = |number| {
        let answer = ask(&daemon, "/chat/1", "c1:100,bad:50", number);
        answer.is_some_and(|answer| answer.text().contains("suspected"))
    };
    assert!((0..ENDPOINTS - 1).any(is_refused), "the part is refused");
    let before = crashes(&engines);
    is_released.store(true, Ordering::Release);
    let _ = caller.read_answer();
    assert_eq!(crashes(&engines), before);
}
