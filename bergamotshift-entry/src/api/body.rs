//! Callers' bodies: held whole when small, else passed through once.

use core::task::Poll;

use futures_util::StreamExt;
use futures_util::stream;
use ntex::http::HeaderMap;
use ntex::http::Payload;
use ntex::http::error::PayloadError;
use ntex::util::Bytes;
use ntex::util::BytesMut;

use super::error::Error;
use super::error::Reason;
use crate::exchange::whole;

/// Reads a whole body.
///
/// # Errors
///
/// Returns an error when the body is larger than `bound`, or broke off.
pub async fn read(headers: &HeaderMap, mut payload: Payload, bound: usize) -> Result<Bytes, Error> {
    let declared = whole::length(headers);
    if declared.is_some_and(|length| length > bound) {
        return Err(Error::not_run(Reason::BodyTooLarge(bound)));
    }
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|error| Error::not_run(Reason::Body(error.to_string())))?;
        if body.is_empty() && Some(chunk.len()) == declared {
            // The common small body comes in one piece and need not be copied.
            return Ok(chunk);
        }
        if body.len() + chunk.len() > bound {
            return Err(Error::not_run(Reason::BodyTooLarge(bound)));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Passes a body through and breaks it off when it grows beyond `bound`.
pub fn bounded(payload: Payload, bound: usize) -> Payload {
    let mut left = bound;
    let mut payload = payload;
    let counted = stream::poll_fn(move |context| match payload.poll_recv(context) {
        Poll::Ready(Some(Ok(chunk))) if chunk.len() > left => Poll::Ready(Some(Err(PayloadError::Overflow))),
        Poll::Ready(Some(Ok(chunk))) => {
            left -= chunk.len();
            Poll::Ready(Some(Ok(chunk)))
        }
        other => other,
    });
    Payload::from_stream(counted.boxed_local())
}
