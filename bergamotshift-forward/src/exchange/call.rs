//! A short call between entries.

use core::net::SocketAddr;

use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::StatusCode;
use ntex::http::header;
use ntex::http::header::HeaderValue;

use super::connection::Connection;
use super::failure::Failure;
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
    let mut headers = HeaderMap::new();
    // An address is always a valid header value.
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        headers.insert(header::HOST, host);
    }
    let request = encode(&Method::POST, path, &headers, question);
    let answer = connection.send(&request, &Method::POST, |_| true).await?;
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
