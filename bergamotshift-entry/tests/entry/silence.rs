//! Sound endpoints that fall silent in the middle of their answers.

use core::net::SocketAddr;
use core::sync::atomic::AtomicBool;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;

use bergamotshift_standin::engine;
use bergamotshift_standin::engine::text;
use futures_util::future::join_all;
use ntex::http::Method;
use serde_json::Value;
use serde_json::json;

use crate::endpoint::Endpoint;
use crate::site::Layout;
use crate::site::Site;

/// Time for which endpoints are silent, longer than the stall timeout.
const SILENCE: Duration = Duration::from_secs(4);

/// Time for which an endpoint is silent that never goes on.
const FOR_GOOD: Duration = Duration::from_mins(10);

/// Number of requests at a time, more than a new service's retry budget.
const REQUESTS: usize = 16;

/// Length of an answer that is too large to be buffered, in bytes.
const LARGE: usize = 800_000;

const TOKENS: u32 = 40;

fn chat(number: usize) -> Value {
    json!({
        "model": "tiny",
        "messages": [{"role": "user", "content": format!("shifts of week {number}")}],
        "max_tokens": TOKENS,
        "stream": true,
    })
}

fn slow(engines: usize) -> Layout {
    Layout {
        engines,
        plains: 0,
        engine: engine::Settings {
            token_interval: Duration::from_millis(4),
            ..engine::Settings::default()
        },
        ..Layout::default()
    }
}

fn answer(attempt: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nx-bergamotshift-attempt: {attempt}\r\ncontent-length: {length}\r\n\r\n{body}")
}

async fn raw(endpoint: &Endpoint, second: Option<&Endpoint>) -> Site {
    Site::start(Layout {
        engines: 0,
        plains: 0,
        raw: Some(endpoint.address()),
        second_raw: second.map(Endpoint::address),
        ..Layout::default()
    })
    .await
}

/// Guards against event streams that the entry cuts when all engines are silent for longer than the stall timeout, since the
/// retry budget covers only some of them.
#[ntex::test]
async fn a_silence_of_all_engines_ends_no_event_stream() {
    let site = Site::start(slow(3)).await;
    let bodies: Vec<_> = (0..REQUESTS).map(chat).collect();
    let mut streams = join_all(bodies.iter().map(|body| site.open_chat(body))).await;
    for stream in &mut streams {
        stream.events(5).await;
    }
    for engine in &site.engines {
        engine.pause();
    }
    tokio::time::sleep(SILENCE).await;
    for engine in &site.engines {
        engine.resume();
    }
    let replies = join_all(streams.into_iter().map(crate::site::Incoming::rest)).await;
    for (reply, body) in replies.iter().zip(&bodies) {
        let expected = text::expected(body, TOKENS).unwrap();
        assert_eq!(reply.streamed(), (expected, true));
    }
    assert_eq!(site.runs(), REQUESTS);
}

/// Guards against a stream that leaves its silent engine for one that does not answer either.
#[ntex::test]
async fn a_stream_stays_at_its_engine_until_another_answers() {
    let site = Site::start(slow(2)).await;
    let body = chat(0);
    let expected = text::expected(&body, TOKENS).unwrap();
    let mut stream = site.open_chat(&body).await;
    stream.events(5).await;
    let first = site.busy_engine();
    for engine in &site.engines {
        engine.pause();
    }
    tokio::time::sleep(SILENCE).await;
    first.resume();
    let reply = stream.rest().await;
    assert_eq!(reply.streamed(), (expected, true));
    assert_eq!(first.ledger().len(), 1);
}

/// Guards against large answers that the entry cuts when their endpoint is silent for longer than the stall timeout.
#[ntex::test]
async fn a_silence_ends_no_large_answer() {
    let body = "shift by shift. ".repeat(LARGE / 16);
    let whole = body.clone();
    let endpoint = Endpoint::start_pausing(SILENCE, move |attempt, _| answer(attempt, &body));
    let site = raw(&endpoint, None).await;
    let replies = join_all((0..REQUESTS).map(|_| site.send(Method::GET, "/app/x", &[], ""))).await;
    let complete = replies.iter().filter(|reply| reply.whole && reply.text() == whole);
    assert_eq!(complete.count(), REQUESTS);
    assert_eq!(endpoint.served(), REQUESTS);
}

/// Guards against failures instead of buffered answers when their endpoint is silent for longer than the stall timeout.
#[ntex::test]
async fn a_silence_ends_no_buffered_answer() {
    let endpoint = Endpoint::start_pausing(SILENCE, |attempt, _| answer(attempt, "confirmed"));
    let site = raw(&endpoint, None).await;
    let replies = join_all((0..REQUESTS).map(|_| site.send(Method::GET, "/app/x", &[], ""))).await;
    let complete = replies.iter().filter(|reply| reply.text() == "confirmed");
    assert_eq!(complete.count(), REQUESTS);
    assert_eq!(endpoint.served(), REQUESTS);
}

/// Guards against a failure of a request that must not run twice when its endpoint is silent for a time.
#[ntex::test]
async fn a_silence_ends_no_answer_to_a_request_that_must_not_run_twice() {
    let endpoint = Endpoint::start_pausing(SILENCE, |attempt, _| answer(attempt, "confirmed"));
    let site = raw(&endpoint, None).await;
    let key = [("idempotency-key", "confirm-9")];
    let reply = site.send(Method::POST, "/app/confirm", &key, "{}").await;
    assert_eq!((reply.status.as_u16(), reply.text()), (200, "confirmed"));
    assert_eq!(endpoint.served(), 1);
}

/// Guards against answers that wait for their deadline at an endpoint that is silent for good.
#[ntex::test]
async fn an_answer_of_an_endpoint_that_is_silent_for_good_comes_from_another() {
    for length in [16, LARGE] {
        let whole = "shift by shift. ".repeat(length / 16);
        let (body, same) = (whole.clone(), whole.clone());
        let silent = Endpoint::start_pausing(FOR_GOOD, move |attempt, _| answer(attempt, &body));
        let sound = Endpoint::start_pausing(Duration::ZERO, move |attempt, _| answer(attempt, &same));
        let site = raw(&silent, Some(&sound)).await;
        while silent.served() == 0 {
            let reply = site.send(Method::GET, "/app/x", &[], "").await;
            assert!(reply.whole && reply.text() == whole);
        }
    }
}

/// Guards against a stream that waits for its deadline at an engine that is silent for good.
#[ntex::test]
async fn a_stream_of_an_engine_that_is_silent_for_good_goes_on_at_another() {
    let site = Site::start(slow(2)).await;
    let body = chat(0);
    let expected = text::expected(&body, TOKENS).unwrap();
    let mut stream = site.open_chat(&body).await;
    stream.events(5).await;
    site.busy_engine().pause();
    let reply = stream.rest().await;
    assert_eq!(reply.streamed(), (expected, true));
    assert_eq!(reply.completion_ids().len(), 1);
}

/// Guards against engines that count as faulty, and a retry budget that is used, after a silence of all engines.
#[ntex::test]
async fn a_silence_of_all_engines_counts_against_none() {
    let site = Site::start(slow(3)).await;
    let bodies: Vec<_> = (0..REQUESTS).map(chat).collect();
    let mut streams = join_all(bodies.iter().map(|body| site.open_chat(body))).await;
    for stream in &mut streams {
        stream.events(5).await;
    }
    site.engines.iter().for_each(engine::Server::pause);
    tokio::time::sleep(SILENCE).await;
    site.engines.iter().for_each(engine::Server::resume);
    join_all(streams.into_iter().map(crate::site::Incoming::rest)).await;
    let attempts = site.counter("bergamotshift_attempts_total{service=\"llm\"}").await;
    let broken = site
        .counter("bergamotshift_broken_attempts_total{service=\"llm\"}")
        .await;
    assert_eq!((attempts, broken), (REQUESTS as u64, 0));
}

/// Starts an endpoint that stops listening at its first request, whose connection stays open without the rest of the answer.
fn start_lost() -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let is_lost = Arc::new(AtomicBool::new(false));
    let lost = Arc::clone(&is_lost);
    thread::spawn(move || {
        loop {
            let (mut socket, _) = listener.accept().unwrap();
            let head = BufReader::new(socket.try_clone().unwrap());
            let lines = head.lines().map_while(Result::ok);
            let lines: Vec<_> = lines.take_while(|line| !line.is_empty()).collect();
            let attempt = lines
                .iter()
                .find_map(|line| line.strip_prefix("x-bergamotshift-attempt: "));
            let Some(attempt) = attempt else {
                let refusal = "HTTP/1.1 404 Not Found\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
                drop(socket.write_all(refusal.as_bytes()));
                continue;
            };
            let text = answer(attempt, "confirmed");
            drop(listener);
            socket.write_all(&text.as_bytes()[..text.len() - 4]).unwrap();
            lost.store(true, Ordering::SeqCst);
            thread::sleep(FOR_GOOD);
            return;
        }
    });
    (address, is_lost)
}

/// Guards against an answer that stays at a lost endpoint, as all others begin later than attempts may work side by side.
#[ntex::test]
async fn an_answer_of_a_lost_endpoint_comes_from_one_that_begins_late() {
    const LATE: Duration = Duration::from_secs(1);
    let (lost, is_lost) = start_lost();
    let late = Endpoint::start_pausing(Duration::ZERO, |attempt, _| {
        thread::sleep(LATE);
        answer(attempt, "confirmed")
    });
    let site = Site::start(Layout {
        engines: 0,
        plains: 0,
        raw: Some(lost),
        second_raw: Some(late.address()),
        ..Layout::default()
    })
    .await;
    while !is_lost.load(Ordering::SeqCst) {
        let reply = site.send(Method::GET, "/app/x", &[], "").await;
        assert_eq!(reply.text(), "confirmed");
    }
}
