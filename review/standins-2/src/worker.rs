//! A worker as a process of its own. It prints its port, and a line for each request that it runs and completes.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering::Relaxed;
use std::thread;
use std::time::Duration;

use crate::http::Head;
use crate::http::read_head;
use crate::http::read_sized;

/// Behaviour of a worker.
#[derive(Clone, Debug)]
pub struct Habit {
    /// Identifier under which it is registered.
    pub id: String,
    /// Time for which it works on a plain request.
    pub work: Duration,
    /// Time without a request after which it closes a connection.
    pub idle: Duration,
    /// Whether its answers have no length, and end with their connections.
    pub is_unframed: bool,
    /// Whether it answers every second request with 503 after it has run it, as when what it depends on fails.
    pub fails: bool,
    /// Text in a request's path that ends the process once the request runs.
    pub deadly: Option<String>,
}

/// Number of requests that ran.
static RUNS: AtomicU32 = AtomicU32::new(0);

/// Number of events of a stream.
const EVENTS: u32 = 20;

/// Time between two events.
const EVENT_GAP: Duration = Duration::from_millis(60);

/// Serves until the process is ended.
///
/// # Errors
///
/// Returns why it cannot listen.
pub fn serve(habit: &Habit) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    say(&format!("port {}", listener.local_addr()?.port()));
    for stream in listener.incoming() {
        let stream = stream?;
        let habit = habit.clone();
        thread::spawn(move || {
            // The end of one connection concerns its client alone.
            if let Err(error) = keep(&habit, &stream) {
                say(&format!("connection {error}"));
            }
        });
    }
    Ok(())
}

fn say(text: &str) {
    let mut out = io::stdout().lock();
    // Nobody reads any more once the case has ended.
    if writeln!(out, "{text}").and_then(|()| out.flush()).is_err() {
        std::process::exit(0);
    }
}

fn keep(habit: &Habit, stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        stream.set_read_timeout(Some(habit.idle))?;
        let head = match read_head(&mut reader) {
            Ok(Some(head)) => head,
            Ok(None) => return Ok(()),
            // The connection was idle for too long, and is closed.
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        };
        stream.set_read_timeout(None)?;
        read_sized(&mut reader, &head)?;
        if !answer(habit, &head, stream)? {
            return stream.shutdown(Shutdown::Write);
        }
    }
}

/// Answers a request; returns whether the connection is kept.
fn answer(habit: &Habit, head: &Head, mut stream: &TcpStream) -> io::Result<bool> {
    let id = head.field("x-request-id").unwrap_or_default();
    if head.line.contains("/health ") || head.line.contains("/report ") {
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 2\r\n\r\n{{}}",
            habit.id
        );
        stream.write_all(text.as_bytes())?;
        return Ok(true);
    }
    if head
        .field("x-expect-instance")
        .is_some_and(|expected| expected != habit.id)
    {
        let text =
            format!("HTTP/1.1 421 Another\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(text.as_bytes())?;
        return Ok(true);
    }
    say(&format!("run {id} {}", head.line));
    if habit
        .deadly
        .as_ref()
        .is_some_and(|deadly| head.line.contains(deadly.as_str()))
    {
        thread::sleep(habit.work);
        std::process::exit(1);
    }
    let is_failure = habit.fails && RUNS.fetch_add(1, Relaxed).is_multiple_of(2);
    let status = if is_failure {
        "503 Service Unavailable"
    } else {
        "200 OK"
    };
    // The timeout is stated in whole seconds, if there are any.
    let keep_alive = match habit.idle.as_secs() {
        0 => String::new(),
        seconds => format!("Keep-Alive: timeout={seconds}\r\n"),
    };
    let common = format!(
        "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Server-Seal: {}.{id}\r\n",
        habit.id
    );
    let is_unframed = habit.is_unframed && !head.line.contains("/first/");
    if head.line.contains("/stream/") {
        let framing = if is_unframed {
            "Connection: close\r\n".to_owned()
        } else {
            format!("Transfer-Encoding: chunked\r\n{keep_alive}")
        };
        stream.write_all(format!("{common}Content-Type: text/event-stream\r\n{framing}\r\n").as_bytes())?;
        let last = head.field("last-event-id").and_then(|text| text.parse().ok());
        for number in last.unwrap_or(0) + 1..=EVENTS {
            let event = format!("id: {number}\ndata: {id}\n\n");
            let piece = if is_unframed {
                event
            } else {
                format!("{:x}\r\n{event}\r\n", event.len())
            };
            stream.write_all(piece.as_bytes())?;
            thread::sleep(EVENT_GAP);
        }
        if !is_unframed {
            stream.write_all(b"0\r\n\r\n")?;
        }
    } else {
        thread::sleep(habit.work);
        let body = format!("{} did {id}", habit.id);
        let framing = if is_unframed {
            "Connection: close\r\n".to_owned()
        } else {
            format!("Content-Length: {}\r\n{keep_alive}", body.len())
        };
        stream.write_all(format!("{common}{framing}\r\n{body}").as_bytes())?;
    }
    say(&format!("done {id}"));
    Ok(!is_unframed)
}

/// Returns the last event of a whole stream.
pub fn last_event() -> String {
    format!("id: {EVENTS}\n")
}
