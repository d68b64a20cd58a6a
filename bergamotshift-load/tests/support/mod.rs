//! An entry that answers from a script: one prepared answer per request, in order.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

/// A prepared answer: bytes as they go over the wire; the connection closes after them.
pub type Answer = Vec<u8>;

/// A scripted entry; it stops when its script has ended.
#[derive(Debug)]
pub struct Entry {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl Entry {
    /// Starts an entry that gives these answers and then refuses connections.
    pub fn start(answers: Vec<Answer>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&requests);
        thread::spawn(move || {
            for answer in answers {
                let (mut stream, _) = listener.accept().unwrap();
                let request = read_request(&mut stream);
                seen.lock().unwrap().push(request);
                stream.write_all(&answer).unwrap();
            }
        });
        Self { address, requests }
    }

    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the requests so far, heads in lower case.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

/// Returns an answer with this status line and these header lines, and the body as it is.
pub fn answer(head: &str, body: &str) -> Answer {
    format!("HTTP/1.1 {head}\r\nconnection: close\r\n\r\n{body}").into_bytes()
}

/// Returns a whole answer.
pub fn sized(status: &str, headers: &str, body: &str) -> Answer {
    answer(&format!("{status}\r\ncontent-length: {}{headers}", body.len()), body)
}

/// Returns a stream of events in one chunk; the connection closes where the next chunk would begin.
pub fn events(body: &str) -> Answer {
    let head = "200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked";
    answer(head, &format!("{:x}\r\n{body}\r\n", body.len()))
}

fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    loop {
        let read = stream.read(&mut part).unwrap();
        assert!(read > 0, "the caller went away in the middle of its request");
        bytes.extend_from_slice(&part[..read]);
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            if body.len() >= length.map_or(0, |length| length.parse().unwrap()) {
                return text;
            }
        }
    }
}
