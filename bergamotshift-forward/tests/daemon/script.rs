//! Endpoints that send streams step by step, and callers that check them.

use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bergamotshift_forward::document::Engine;
use socket2::SockRef;

use crate::endpoint::Connection;
use crate::endpoint::Endpoint;
use crate::endpoint::Request;
use crate::outside::lock;
use crate::site::Answer;
use crate::site::Caller;
use crate::site::Daemon;
use crate::site::Site;
use crate::site::wait_until;

/// Number of events of a stream.
pub const EVENTS: u32 = 5;

/// What an endpoint does when an event of a stream is due.
pub enum Step {
    Send,
    /// The stream is complete.
    End,
    /// The endpoint resets the connection.
    Reset,
    /// The endpoint sends nothing more and keeps the connection open.
    Hang,
}

/// Returns the step of an endpoint that sends all events.
pub fn step(event: u32) -> Step {
    if event > EVENTS { Step::End } else { Step::Send }
}

/// Sends the events after the caller's last one, as the steps for their numbers say.
pub fn stream(request: &Request, stream: &mut TcpStream, step: impl Fn(u32) -> Step) -> io::Result<Connection> {
    const HEAD: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    stream.write_all(request.answer_head("200 OK", HEAD).as_bytes())?;
    let mut event = last_event(request);
    loop {
        event += 1;
        match step(event) {
            Step::Send => {
                let text = format!("id: {event}\ndata: {event}\n\n");
                write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
            }
            Step::End => {
                stream.write_all(b"0\r\n\r\n")?;
                return Ok(Connection::Keep);
            }
            Step::Reset => {
                SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
                return Ok(Connection::Close);
            }
            Step::Hang => return Ok(Connection::Keep),
        }
    }
}

/// Returns the number of the last event that the caller of a stream has, 0 for a stream that begins.
pub fn last_event(request: &Request) -> u32 {
    let last = request.header("last-event-id");
    last.and_then(|last| last.parse().ok()).unwrap_or(0)
}

/// Starts endpoints, whose script gets the number of its endpoint.
pub fn start<S>(count: usize, script: S) -> Vec<Endpoint>
where
    S: Fn(usize, &Request, &mut TcpStream) -> io::Result<Connection> + Clone + Send + Sync + 'static,
{
    let start = |number| {
        let script = script.clone();
        Endpoint::start(&format!("e{number}"), move |request, _, connection| {
            script(number, request, connection)
        })
    };
    (0..count).map(start).collect()
}

/// Returns the number of requests that endpoints received.
pub fn count(endpoints: &[Endpoint]) -> usize {
    endpoints.iter().map(Endpoint::count).sum()
}

/// Creates a site on whose routes streams may go on elsewhere after a silence of five times `pause`.
pub fn site(endpoints: &[Endpoint], pause: Duration, engine: Option<Engine>) -> Site {
    let site = Site::new(&endpoints.iter().collect::<Vec<_>>());
    let mut document = crate::site::document(2);
    document.services[0].engine = engine;
    for route in &mut document.routes {
        route.pause = pause;
    }
    lock(&site.backend).put_document(document);
    site
}

/// Sends requests at once.
pub fn send(daemon: &Daemon, path: &str, requests: usize) -> Vec<Caller> {
    let mut callers: Vec<_> = (0..requests).map(|_| Caller::new(daemon)).collect();
    for (number, caller) in callers.iter_mut().enumerate() {
        let size = "bergamotshift-size: 5000,10\r\n";
        caller.send("POST", path, &format!("r-{number}"), size, &format!("{number}"));
    }
    callers
}

/// Reads the answers to requests.
pub fn answers(mut callers: Vec<Caller>) -> Vec<Answer> {
    let answers = callers.iter_mut().map(Caller::read_answer);
    answers.map(|answer| answer.expect("an answer comes")).collect()
}

/// Checks that callers get whole streams with every event once and in order.
pub fn check(callers: Vec<Caller>) {
    for count in check_order(callers) {
        assert_eq!(count, EVENTS as usize);
    }
}

/// Checks that callers get whole streams whose events come once and in order, and returns their numbers of events.
pub fn check_order(callers: Vec<Caller>) -> Vec<usize> {
    let answers = answers(callers);
    let ended = answers.iter().filter(|answer| !answer.is_complete).count();
    assert_eq!(ended, 0, "streams of {} were ended", answers.len());
    let count = |answer: Answer| {
        let text = answer.text();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        let events: Vec<u32> = ids.filter_map(|id| id.parse().ok()).collect();
        assert!(events.iter().copied().eq(1..=events.len() as u32), "{events:?}");
        events.len()
    };
    answers.into_iter().map(count).collect()
}

/// Plays a stream at two endpoints, the first of which `is_gone` if its listener is closed, and returns the number of runs.
///
/// The steps are those of the first or a later run. Streams may go on elsewhere after a silence of five times `pause`.
pub fn runs(
    pause: Duration,
    is_gone: bool,
    steps: impl Fn(bool, u32) -> Step + Clone + Send + Sync + 'static,
) -> usize {
    let broken = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&broken);
    let endpoints = start(2, move |_, request, connection| {
        let is_first = last_event(request) == 0;
        let run = stream(request, connection, |event| steps(is_first, event));
        if !matches!(run, Ok(Connection::Keep)) {
            counter.fetch_add(1, Ordering::Relaxed);
        }
        run
    });
    let site = site(&endpoints, pause, None);
    let daemon = site.start();
    let callers = send(&daemon, "/draft/1", 1);
    wait_until("the stream runs", || count(&endpoints) == 1);
    for first in endpoints.iter().filter(|one| is_gone && one.count() == 1) {
        first.crash();
    }
    check(callers);
    let runs = count(&endpoints);
    wait_until("the replaced run is closed", || {
        let closed: usize = endpoints.iter().map(|endpoint| *lock(&endpoint.closed)).sum();
        closed + broken.load(Ordering::Relaxed) + 1 >= runs
    });
    runs
}
