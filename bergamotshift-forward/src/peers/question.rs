//! Questions of other entries, read off their requests.

use ntex::http::Method;
use ntex::http::Request;
use ntex::http::StatusCode;
use serde::de::DeserializeOwned;

/// Reads a question of at most `largest` bytes.
///
/// # Errors
///
/// Returns the status that tells what is wrong with it.
pub(super) async fn question<T: DeserializeOwned>(request: &mut Request, largest: usize) -> Result<T, StatusCode> {
    if *request.method() != Method::POST {
        return Err(StatusCode::METHOD_NOT_ALLOWED);
    }
    let mut payload = request.take_payload();
    let mut body = Vec::new();
    while let Some(piece) = payload.recv().await {
        match piece {
            Ok(piece) if body.len() + piece.len() <= largest => body.extend_from_slice(&piece),
            _ => return Err(StatusCode::BAD_REQUEST),
        }
    }
    postcard::from_bytes(&body).or(Err(StatusCode::BAD_REQUEST))
}
