//! Decoding of the requests that other entries send.

use ntex::http::Method;
use ntex::http::Request;
use ntex::http::StatusCode;
use serde::de::DeserializeOwned;

/// Reads and decodes a request's body of at most `max_bytes` bytes.
///
/// # Errors
///
/// Returns the status code for the response: the method is not `POST`, or the body is too long, incomplete or
/// malformed.
pub(super) async fn read_body<T: DeserializeOwned>(request: &mut Request, max_bytes: usize) -> Result<T, StatusCode> {
    if *request.method() != Method::POST {
        return Err(StatusCode::METHOD_NOT_ALLOWED);
    }
    let mut payload = request.take_payload();
    let mut body = Vec::new();
    while let Some(chunk) = payload.recv().await {
        match chunk {
            Ok(chunk) if body.len() + chunk.len() <= max_bytes => body.extend_from_slice(&chunk),
            _ => return Err(StatusCode::BAD_REQUEST),
        }
    }
    postcard::from_bytes(&body).or(Err(StatusCode::BAD_REQUEST))
}
