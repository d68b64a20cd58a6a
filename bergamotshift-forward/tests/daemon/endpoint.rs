//! Endpoints whose answers are scripted byte by byte.

use core::net::SocketAddr;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_forward::endpoint::Registration;
use bergamotshift_forward::outside::Cursor;
use bergamotshift_standin::port::Reservation;

use crate::outside::lock;
use crate::port::Acceptor;

/// Number of connections that wait to be accepted.
const BACKLOG: i32 = 4_096;

/// Path of the health check, which endpoints answer themselves.
pub const HEALTH: &str = "/health";

/// Request that an endpoint received.
#[derive(Clone, Debug)]
pub struct Request {
    /// Head, unchanged.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// Returns the path.
    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns an answer that echoes the request's identifier and carries the seal header.
    pub fn answer(&self, status: &str, extra: &str, body: &str) -> String {
        let length = format!("content-length: {}\r\n", body.len());
        self.answer_head(status, &format!("{length}{extra}")) + body
    }

    /// Returns the head of such an answer, without framing headers.
    pub fn answer_head(&self, status: &str, extra: &str) -> String {
        let id = self.header("bergamotshift-request").unwrap_or_default();
        format!("HTTP/1.1 {status}\r\nbergamotshift-request: {id}\r\nbergamotshift-seal: s1\r\n{extra}\r\n")
    }
}

/// Returns the value of a header in a head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim())
}

/// Handling of the connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    Keep,
    Close,
    /// The endpoint crashes: it stops listening, and all its connections end afterwards.
    Crash,
    /// The endpoint crashes, and another process with the same script listens on its address at once.
    Restart,
    /// The endpoint stops listening, and closes the connection. Its other connections stand.
    Retire,
}

/// Endpoint that runs until the test process ends.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub address: SocketAddr,
    pub requests: Arc<Mutex<Vec<Request>>>,
    /// Number of connections that the client closed.
    pub closed: Arc<Mutex<usize>>,
    id: String,
    zone: &'static str,
    version: &'static str,
    /// Listener, until the endpoint crashes.
    acceptor: Arc<Mutex<Option<Acceptor>>>,
    /// Connections that it accepted.
    accepted: Arc<Mutex<Vec<TcpStream>>>,
    /// Number of processes that listened on its address before.
    restarts: Arc<AtomicUsize>,
    /// Whether its identifier outlives its processes.
    is_lasting: Arc<AtomicBool>,
    /// Time without a request after which it closes a connection.
    idle: Arc<Mutex<Option<Duration>>>,
}

impl Endpoint {
    /// Starts an endpoint that answers by a script, which gets the request and the number of earlier requests.
    pub fn start(
        id: &str,
        script: impl Fn(&Request, usize, &mut TcpStream) -> io::Result<Connection> + Send + Sync + 'static,
    ) -> Self {
        let script = Arc::new(script);
        Self::listen(id, move |server, stream| {
            lock(&server.accepted).extend(stream.try_clone());
            let script = Arc::clone(&script);
            thread::spawn(move || server.serve(stream, &*script));
        })
    }

    /// Starts an endpoint that reads the head of one request on each connection, and leaves the connection to a script. One
    /// that the script does not close stands until the test ends.
    pub fn reading_heads(
        id: &str,
        script: impl Fn(&Request, TcpStream) -> io::Result<Option<TcpStream>> + Send + Sync + 'static,
    ) -> Self {
        let script = Arc::new(script);
        Self::listen(id, move |server, mut stream| {
            let script = Arc::clone(&script);
            thread::spawn(move || {
                let Ok(Some(head)) = read_head(&mut stream) else {
                    return;
                };
                let body = Vec::new();
                let request = Request { head, body };
                lock(&server.requests).push(request.clone());
                match script(&request, stream) {
                    Ok(Some(stream)) => lock(&server.accepted).push(stream),
                    Ok(None) | Err(_) => *lock(&server.closed) += 1,
                }
            });
        })
    }

    fn listen(id: &str, serve: impl Fn(Self, TcpStream) + Send + 'static) -> Self {
        let reservation = Reservation::any().expect("a port is free");
        let endpoint = Self {
            address: reservation.address,
            requests: Arc::default(),
            closed: Arc::default(),
            id: id.to_owned(),
            zone: "one",
            version: "v1",
            acceptor: Arc::default(),
            accepted: Arc::default(),
            restarts: Arc::default(),
            is_lasting: Arc::default(),
            idle: Arc::default(),
        };
        let server = endpoint.clone();
        let acceptor = Acceptor::start(&reservation, BACKLOG, move |stream| serve(server.clone(), stream));
        *lock(&endpoint.acceptor) = Some(acceptor);
        endpoint
    }

    /// Starts an endpoint that answers every request with 200 and the same body.
    pub fn plain(id: &str, body: &'static str) -> Self {
        Self::start(id, move |request, _, stream| {
            stream.write_all(request.answer("200 OK", "", body).as_bytes())?;
            Ok(Connection::Keep)
        })
    }

    /// Returns the endpoint in another zone than the entries, so that they prefer each endpoint of their own.
    pub fn in_other_zone(self) -> Self {
        Self { zone: "two", ..self }
    }

    /// Returns the endpoint, which closes connections from now on that have no request for a time.
    pub fn closing_idle(self, after: Duration) -> Self {
        *lock(&self.idle) = Some(after);
        self
    }

    /// Returns the endpoint with an identifier that outlives its processes; its registrations state a start time from then on.
    pub fn with_lasting_identifier(self) -> Self {
        self.is_lasting.store(true, Ordering::Relaxed);
        self
    }

    /// Returns the endpoint with another version of its software; its registrations name it from then on.
    pub fn with_version(self, version: &'static str) -> Self {
        Self { version, ..self }
    }

    /// Returns the endpoint's registration for a service.
    pub fn registration(&self, service: &str) -> Registration {
        Registration {
            id: self.id.as_str().into(),
            born: self.is_lasting.load(Ordering::Relaxed).into(),
            version: self.version.into(),
            service: service.into(),
            address: self.address,
            zone: self.zone.into(),
            slots: 8,
            leaving: false,
            market: Market::OnDemand,
            leaves_in: None,
            written: Cursor::default(),
        }
    }

    /// Returns the number of requests received.
    pub fn count(&self) -> usize {
        lock(&self.requests).len()
    }

    fn serve(
        &self,
        mut stream: TcpStream,
        script: &(dyn Fn(&Request, usize, &mut TcpStream) -> io::Result<Connection> + Send + Sync),
    ) {
        let restarts = self.restarts.load(Ordering::Relaxed);
        while let Some(request) = self.next_request(&mut stream) {
            if request.path() == HEALTH {
                if self.answer_health(&mut stream, restarts).is_err() {
                    return end(&stream);
                }
                continue;
            }
            let earlier = {
                let mut all = lock(&self.requests);
                all.push(request.clone());
                all.len() - 1
            };
            match script(&request, earlier, &mut stream) {
                Ok(Connection::Keep) => {}
                Ok(Connection::Crash) => {
                    self.crash();
                    return self.end_connections();
                }
                Ok(Connection::Restart) => {
                    self.restarts.fetch_add(1, Ordering::Relaxed);
                    return self.end_connections();
                }
                Ok(Connection::Retire) => {
                    self.crash();
                    return end(&stream);
                }
                Ok(Connection::Close) | Err(_) => return end(&stream),
            }
        }
        *lock(&self.closed) += 1;
    }

    /// Returns the next request of a connection; `None` when it has ended or was idle for too long.
    fn next_request(&self, stream: &mut TcpStream) -> Option<Request> {
        let idle = *lock(&self.idle);
        stream.set_read_timeout(idle).ok()?;
        read_request(stream).unwrap_or_else(|_idle| {
            end(stream);
            None
        })
    }

    /// Answers a health check with the incarnation of the process that accepted the connection.
    fn answer_health(&self, stream: &mut TcpStream, restarts: usize) -> io::Result<()> {
        let incarnation = match restarts {
            0 => self.id.clone(),
            _ if self.is_lasting.load(Ordering::Relaxed) => self.id.clone(),
            _ => format!("{}-{restarts}", self.id),
        };
        let text =
            format!("HTTP/1.1 200 OK\r\nbergamotshift-incarnation: {incarnation}\r\ncontent-length: 2\r\n\r\nok");
        stream.write_all(text.as_bytes())
    }

    /// Ends all connections as the end of a process does.
    fn end_connections(&self) {
        lock(&self.accepted).drain(..).for_each(|stream| end(&stream));
    }

    /// Ends the listener; its port stays reserved.
    pub fn crash(&self) {
        let mut acceptor = lock(&self.acceptor);
        if let Some(acceptor) = acceptor.take() {
            acceptor.stop();
        }
    }
}

/// Ends a connection, of which the list of accepted ones holds a handle.
fn end(stream: &TcpStream) {
    // An error means that it has ended.
    let _ = stream.shutdown(Shutdown::Both);
}

/// Reads one request; `None` when the connection has ended.
fn read_request(stream: &mut TcpStream) -> io::Result<Option<Request>> {
    let Some(head) = read_head(stream)? else {
        return Ok(None);
    };
    let length = header(&head, "content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(Some(Request { head, body }))
}

/// Reads a head with its final blank line; `None` when the connection has ended.
pub fn read_head(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
    }
    Ok(Some(String::from_utf8_lossy(&head).into_owned()))
}
