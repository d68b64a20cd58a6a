//! Calls between entries: short ones, and answers of any length.

use core::net::SocketAddr;
use core::time::Duration;

use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::StatusCode;
use ntex::http::header;
use ntex::http::header::HeaderValue;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use super::connection::Connection;
use super::failure::Failure;
use super::head::Answer;
use super::head::encode;

/// A whole answer of another entry.
#[derive(Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Vec<u8>,
}

/// Sends a question to another entry and reads its whole answer.
///
/// # Errors
///
/// Returns what went wrong on the way; any status is an answer.
pub async fn call(
    connection: &mut Connection,
    address: SocketAddr,
    path: &str,
    question: &[u8],
) -> Result<Reply, Failure> {
    let answer = ask(connection, address, path, question).await?;
    let mut framing = answer.body;
    let mut body = Vec::new();
    while let Some(piece) = connection.body(&mut framing).await? {
        body.extend_from_slice(&piece);
    }
    Ok(Reply {
        status: answer.status,
        headers: answer.headers,
        body,
    })
}

/// How fast a long answer has to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// So many bytes.
    pub bytes: usize,
    /// Within each such time.
    pub within: Duration,
}

/// Sends a question to another entry and reads its whole answer, however long that is, while it keeps pace.
///
/// # Errors
///
/// Returns [`Failure::Slow`] when it falls behind, and what else went wrong on the way; any status is an answer.
pub async fn download(
    connection: &mut Connection,
    address: SocketAddr,
    path: &str,
    question: &[u8],
    pace: Pace,
) -> Result<Reply, Failure> {
    let slow = |received: usize| Failure::Slow { received };
    let asked = timeout(pace.within, ask(connection, address, path, question));
    let answer = asked.await.map_err(|_late| slow(0))??;
    let mut framing = answer.body;
    let mut body = Vec::new();
    let (mut deadline, mut due) = (Instant::now() + pace.within, pace.bytes);
    loop {
        let piece = timeout_at(deadline, connection.body(&mut framing)).await;
        let Some(piece) = piece.map_err(|_late| slow(body.len()))?? else {
            break;
        };
        body.extend_from_slice(&piece);
        if body.len() >= due {
            (deadline, due) = (Instant::now() + pace.within, body.len() + pace.bytes);
        }
    }
    Ok(Reply {
        status: answer.status,
        headers: answer.headers,
        body,
    })
}

/// Sends a question and reads the head of its answer.
async fn ask(connection: &mut Connection, address: SocketAddr, path: &str, question: &[u8]) -> Result<Answer, Failure> {
    let mut headers = HeaderMap::new();
    // An address is always a valid header value.
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        headers.insert(header::HOST, host);
    }
    let request = encode(&Method::POST, path, &headers, question);
    connection.send(&request, &Method::POST, |_| true).await
}
