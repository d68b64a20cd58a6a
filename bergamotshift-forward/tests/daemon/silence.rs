//! Sound endpoints that fall silent for a second and go on.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::endpoint::Connection;
use crate::endpoint::Endpoint;
use crate::endpoint::Request;
use crate::site::Caller;
use crate::site::Site;

/// Time for which an endpoint is silent.
const SILENCE: Duration = Duration::from_secs(1);

/// Number of events of a stream.
const EVENTS: u32 = 5;

/// Number of streams.
const STREAMS: usize = 12;

/// Sends a stream that pauses after its second event if the endpoint falls silent, or goes on after the caller's last one.
fn stream(request: &Request, stream: &mut TcpStream, falls_silent: bool) -> std::io::Result<Connection> {
    const HEAD: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    let last = request
        .header("last-event-id")
        .and_then(|last| last.parse().ok())
        .unwrap_or(0);
    stream.write_all(request.answer_head("200 OK", HEAD).as_bytes())?;
    for number in last + 1..=EVENTS {
        if falls_silent && number == 3 {
            thread::sleep(SILENCE);
        }
        let text = format!("id: {number}\ndata: {number}\n\n");
        write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(Connection::Keep)
}

/// Sends streams at once while `silent` of six endpoints fall silent, and returns the number of requests at endpoints.
fn streams(path: &str, silent: usize) -> usize {
    let endpoints: Vec<_> = (0..6)
        .map(|number| {
            let falls_silent = number < silent;
            let script = move |request: &Request, _: usize, connection: &mut TcpStream| {
                stream(request, connection, falls_silent)
            };
            Endpoint::start(&format!("e{number}"), script)
        })
        .collect();
    let all: Vec<_> = endpoints.iter().collect();
    let site = Site::new(&all);
    let daemon = site.start();
    let mut callers: Vec<_> = (0..STREAMS).map(|_| Caller::new(&daemon)).collect();
    for (number, caller) in callers.iter_mut().enumerate() {
        caller.send("POST", path, &format!("r-{number}"), "", &format!("{number}"));
    }
    for caller in &mut callers {
        let answer = caller.read_answer().expect("an answer comes");
        assert!(answer.is_complete, "a stream was ended");
        assert_eq!(answer.text().matches("id: ").count(), EVENTS as usize);
    }
    assert_eq!(daemon.death_count(), Some(0));
    endpoints.iter().map(Endpoint::count).sum()
}

/// Guards against streams that are ended, or requests that are sent again, because their endpoint is silent for a second.
#[test]
fn a_second_of_silence_of_one_endpoint_ends_no_stream() {
    assert_eq!(streams("/chat/1", 1), STREAMS);
    assert!(streams("/draft/1", 1) <= STREAMS * 3 / 2);
}

/// Guards against a storm of repeats when a third of the endpoints are silent for a second at once.
#[test]
fn a_second_of_silence_of_a_third_of_the_endpoints_ends_no_stream() {
    assert_eq!(streams("/chat/1", 2), STREAMS);
    assert!(streams("/draft/1", 2) <= STREAMS * 3 / 2);
}
