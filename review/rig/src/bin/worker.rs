//! Worker of a model service as a process of its own, which streams events.
//!
//! Its answers have no length and end with their channel if it is started with `unframed`, and are sent in chunks
//! otherwise. A run goes on after `Last-Event-Id`. Each run and each event is written to standard output.

#![forbid(unsafe_code)]

use std::env;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use review_rig::http;
use review_rig::http::Message;

/// Figures of a worker.
struct Worker {
    id: String,
    is_framed: bool,
    events: u64,
    pause: Duration,
    /// Number of runs so far, by which their seals differ.
    runs: Mutex<u64>,
}

fn main() -> io::Result<()> {
    let mut arguments = env::args().skip(1);
    let mut next = || {
        arguments
            .next()
            .ok_or_else(|| io::Error::other("usage: worker ID FRAMING EVENTS PAUSE_MS"))
    };
    let worker = Arc::new(Worker {
        id: next()?,
        is_framed: next()? != "unframed",
        events: next()?.parse().map_err(io::Error::other)?,
        pause: Duration::from_millis(next()?.parse().map_err(io::Error::other)?),
        runs: Mutex::default(),
    });
    let listener = TcpListener::bind("127.0.0.1:0")?;
    println!("listening {}", listener.local_addr()?);
    for stream in listener.incoming().flatten() {
        let worker = Arc::clone(&worker);
        // The end of one connection does not concern the others.
        thread::spawn(move || drop(worker.serve(stream)));
    }
    Ok(())
}

impl Worker {
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read(&mut reader)? {
            if !self.answer(&mut stream, &request)? {
                return stream.shutdown(Shutdown::Write);
            }
        }
        Ok(())
    }

    /// Answers a request; returns whether the channel goes on.
    fn answer(&self, stream: &mut TcpStream, request: &Message) -> io::Result<bool> {
        let id = request.field("x-request-id").unwrap_or_default();
        let common = format!("X-Request-Id: {id}\r\nX-Instance-Id: {}\r\n", self.id);
        if request
            .field("x-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            let text = format!("HTTP/1.1 421 X\r\n{common}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            stream.write_all(text.as_bytes())?;
            return Ok(true);
        }
        if request.target().1 == "/health" {
            let text = format!("HTTP/1.1 200 OK\r\n{common}Content-Length: 0\r\n\r\n");
            stream.write_all(text.as_bytes())?;
            return Ok(true);
        }
        let run = {
            let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
            *runs += 1;
            *runs
        };
        let last = request
            .field("last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        println!("run {id} after event {last}");
        let framing = if self.is_framed {
            "Transfer-Encoding: chunked\r\n"
        } else {
            "Connection: close\r\n"
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{common}X-Server-Seal: {}.{run}\r\nX-Worker-Load: 1,0,64\r\n\
             Content-Type: text/event-stream\r\n{framing}\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        for event in last + 1..=self.events {
            thread::sleep(self.pause);
            let text = format!("id: {event}\ndata: {id} {event} of {}\n\n", self.events);
            let text = if self.is_framed {
                format!("{:x}\r\n{text}\r\n", text.len())
            } else {
                text
            };
            if let Err(error) = stream.write_all(text.as_bytes()) {
                println!("left {id} before event {event}");
                return Err(error);
            }
        }
        if self.is_framed {
            stream.write_all(b"0\r\n\r\n")?;
        }
        println!("whole {id}");
        Ok(self.is_framed)
    }
}
