//! Answers that are held until they are complete.

use core::pin::pin;
use core::task::Poll;
use core::time::Duration;

use bergamotshift_endpoint::answer::Answer;
use bergamotshift_endpoint::answer::Failure;
use futures_util::poll;
use ntex::http::HeaderMap;
use ntex::http::Payload;
use ntex::http::StatusCode;
use ntex::http::error::PayloadError;
use ntex::http::header;
use ntex::time::Millis;
use ntex::util::Bytes;
use ntex::util::BytesMut;

use super::Attempts;
use super::Error;
use super::Open;
use super::Outgoing;
use super::attempts::Running;

/// The largest answer that is held, in bytes.
const LARGEST: usize = 64 * 1024 * 1024;

/// A complete answer.
#[derive(Debug)]
pub struct Whole {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Fetches a complete answer, over as many attempts as the rules allow.
///
/// # Errors
///
/// Returns why no attempt brought a complete one.
pub async fn fetch(attempts: &mut Attempts) -> Result<Whole, Error> {
    loop {
        let held = Outgoing::Buffered(attempts.call().body.clone());
        let Open { answer, running } = attempts.open(held).await?;
        if let Some(whole) = finish(attempts, answer, running).await? {
            return Ok(whole);
        }
    }
}

/// Reads the rest of an answer; returns nothing when it broke off and another attempt may start.
///
/// # Errors
///
/// Returns why no other attempt may follow.
pub async fn finish(attempts: &mut Attempts, answer: Answer, running: Running) -> Result<Option<Whole>, Error> {
    let Answer {
        status,
        headers,
        mut body,
    } = answer;
    let patience = attempts.call().times.stall_timeout;
    let size = length(&headers).unwrap_or_default().min(LARGEST);
    let mut collected = BytesMut::with_capacity(size);
    loop {
        match next(attempts, &mut body, patience).await {
            Ok(Some(chunk)) if collected.is_empty() && chunk.len() == size => {
                // The common small answer comes in one piece and need not be copied.
                if let Some(more) = next(attempts, &mut body, patience).await.transpose() {
                    drop(body);
                    let failure = more
                        .err()
                        .unwrap_or_else(|| Failure::Malformed("longer than declared".to_owned()));
                    attempts.failed(running, failure).await?;
                    return Ok(None);
                }
                attempts.record().answered();
                return Ok(Some(whole(status, headers, chunk)));
            }
            Ok(Some(chunk)) if collected.len() + chunk.len() > LARGEST => {
                attempts.mark_ran();
                return Err(Error::TooLarge);
            }
            Ok(Some(chunk)) => collected.extend_from_slice(&chunk),
            Ok(None) => {
                attempts.record().answered();
                return Ok(Some(whole(status, headers, collected.freeze())));
            }
            Err(failure) => {
                drop(body);
                attempts.failed(running, failure).await?;
                return Ok(None);
            }
        }
    }
}

/// Reads the next piece of an answer, within the time it may stand still.
///
/// # Errors
///
/// Returns the failure when the answer broke off, stood still, or its caller has no use for it any more.
pub async fn next(attempts: &Attempts, body: &mut Payload, patience: Duration) -> Result<Option<Bytes>, Failure> {
    // What is there already needs no timer; that is the common case of a small answer.
    let ready = poll!(pin!(body.recv()));
    if let Poll::Ready(item) = ready {
        return read(item);
    }
    let times = attempts.call().times;
    let left = times.deadline.since(attempts.worker().shared.now());
    let bound = patience.min(left);
    let millis = Millis(u32::try_from(bound.as_millis()).unwrap_or(u32::MAX).max(1));
    match ntex::time::timeout(millis, body.recv()).await {
        Ok(item) => read(item),
        Err(()) => Err(Failure::Timeout),
    }
}

fn read(item: Option<Result<Bytes, PayloadError>>) -> Result<Option<Bytes>, Failure> {
    item.transpose().map_err(|error| Failure::Broken(error.to_string()))
}

/// Returns the length that an answer declares.
pub fn length(headers: &HeaderMap) -> Option<usize> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

const fn whole(status: StatusCode, headers: HeaderMap, body: Bytes) -> Whole {
    Whole { status, headers, body }
}
