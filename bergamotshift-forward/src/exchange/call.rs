//! Calls between entries, with answers that may take long.

use core::cell::Cell;
use core::cell::RefCell;
use core::net::SocketAddr;
use core::pin::pin;
use core::time::Duration;

use bergamotshift_core::throughput::Throughput;
use bytes::Bytes;
use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::StatusCode;
use ntex::http::header;
use ntex::http::header::HeaderValue;
use tokio::time::timeout;

use super::connection::Connection;
use super::failure::Failure;
use super::head::Head;
use super::head::encode;
use super::pool::Pool;
use crate::observe::Clock;

/// Maximum size of an answer's body, in bytes; much larger than the largest document or list of registrations.
const MAX_BODY: usize = 64 << 20;

/// Complete answer of another entry.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
}

/// Sends a question to another entry and reads the complete answer.
///
/// # Errors
///
/// Returns the failure of the exchange; an answer with any status is no failure.
pub async fn call(
    connection: &mut Connection,
    address: SocketAddr,
    path: &str,
    question: &[u8],
) -> Result<Reply, Failure> {
    read(connection, address, path, question, &Cell::new(0)).await
}

/// Sends a question to another entry over an idle connection, or over a new one that is opened within
/// `connect_timeout`; reads the complete answer and returns the connection to the pool.
///
/// # Errors
///
/// Returns the failure of the exchange; an answer with any status is no failure.
pub async fn call_pooled(
    pool: &RefCell<Pool>,
    clock: Clock,
    address: SocketAddr,
    connect_timeout: Duration,
    path: &str,
    question: &[u8],
) -> Result<Reply, Failure> {
    let idle = pool.borrow_mut().take(clock.now(), address);
    let mut connection = match idle {
        Some(connection) => connection,
        None => Connection::open(address, connect_timeout).await?,
    };
    let reply = call(&mut connection, address, path, question).await?;
    pool.borrow_mut().put(clock.now(), address, connection, &reply.headers);
    Ok(reply)
}

/// Sends a question to another entry and reads the complete answer while it sustains `throughput`.
///
/// # Errors
///
/// Returns [`Failure::Slow`] when the answer falls behind, or another failure of the exchange; an answer with any
/// status is no failure.
pub async fn download(
    connection: &mut Connection,
    address: SocketAddr,
    path: &str,
    question: &[u8],
    throughput: Throughput,
) -> Result<Reply, Failure> {
    let received = Cell::new(0);
    let mut reading = pin!(read(connection, address, path, question, &received));
    let mut monitor = throughput.monitor();
    loop {
        if let Ok(ended) = timeout(throughput.within, reading.as_mut()).await {
            return ended;
        }
        if !monitor.is_sustained(received.get()) {
            return Err(Failure::Slow {
                received: received.get(),
            });
        }
    }
}

/// Sends a question and reads the complete answer; sets `received` to the number of bytes of the body so far.
async fn read(
    connection: &mut Connection,
    address: SocketAddr,
    path: &str,
    question: &[u8],
    received: &Cell<usize>,
) -> Result<Reply, Failure> {
    let head = send_question(connection, address, path, question).await?;
    let mut framing = head.framing;
    let mut body = Vec::new();
    while let Some(piece) = connection.body(&mut framing).await? {
        body.extend_from_slice(&piece);
        received.set(body.len());
        if body.len() > MAX_BODY {
            return Err(Failure::Malformed("its body is too large"));
        }
    }
    Ok(Reply {
        status: head.status,
        headers: head.headers,
        body,
    })
}

/// Sends a question and reads the head of the answer.
async fn send_question(
    connection: &mut Connection,
    address: SocketAddr,
    path: &str,
    question: &[u8],
) -> Result<Head, Failure> {
    let mut headers = HeaderMap::new();
    // An address is always a valid header value.
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        headers.insert(header::HOST, host);
    }
    let request = encode(&Method::POST, path, &headers, question);
    connection
        .send([request.into(), Bytes::new()], &Method::POST, |_| true)
        .await
}
