//! Reads answers that are buffered until they are complete.

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

/// Maximum length of a buffered answer, in bytes.
const MAX_BODY: usize = 64 * 1024 * 1024;

/// Complete answer, held in memory.
#[derive(Debug)]
pub struct Whole {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Fetches a complete answer with as many attempts as the retry policy allows.
///
/// # Errors
///
/// Returns an error if no attempt brought a complete answer.
pub async fn fetch(attempts: &mut Attempts) -> Result<Whole, Error> {
    loop {
        let body = Outgoing::Buffered(attempts.call().body.clone());
        let Open { answer, running } = attempts.open(body).await?;
        if let Some(whole) = finish(attempts, answer, running).await? {
            return Ok(whole);
        }
    }
}

/// Reads the rest of an answer. Returns `None` if it broke off and another attempt may start.
///
/// # Errors
///
/// Returns an error if the answer is too large, or if it broke off and no further attempt is allowed.
pub async fn finish(attempts: &mut Attempts, answer: Answer, running: Running) -> Result<Option<Whole>, Error> {
    let Answer {
        status,
        headers,
        mut body,
    } = answer;
    let timeout = attempts.call().times.stall_timeout;
    let size = length(&headers).unwrap_or_default().min(MAX_BODY);
    let mut collected = BytesMut::with_capacity(size);
    loop {
        match next(attempts, &mut body, timeout).await {
            Ok(Some(chunk)) if collected.is_empty() && chunk.len() == size => {
                // A small answer usually arrives in one chunk, which is not copied.
                if let Some(excess) = next(attempts, &mut body, timeout).await.transpose() {
                    drop(body);
                    let failure = excess.err().unwrap_or_else(|| {
                        Failure::Malformed("the body is longer than its declared length".to_owned())
                    });
                    attempts.handle_failure(running, failure).await?;
                    return Ok(None);
                }
                return Ok(Some(complete(attempts, status, headers, chunk)));
            }
            Ok(Some(chunk)) if collected.len() + chunk.len() > MAX_BODY => {
                attempts.mark_ran();
                return Err(Error::TooLarge);
            }
            Ok(Some(chunk)) => collected.extend_from_slice(&chunk),
            Ok(None) => return Ok(Some(complete(attempts, status, headers, collected.freeze()))),
            Err(failure) => {
                drop(body);
                attempts.handle_failure(running, failure).await?;
                return Ok(None);
            }
        }
    }
}

/// Reads the next chunk of an answer, waiting no longer than `timeout` or the request's deadline.
///
/// # Errors
///
/// Returns a failure if the answer broke off, stalled, or the deadline passed.
pub async fn next(attempts: &Attempts, body: &mut Payload, timeout: Duration) -> Result<Option<Bytes>, Failure> {
    // A chunk that has already arrived needs no timer; this is the common case for small answers.
    let ready = poll!(pin!(body.recv()));
    if let Poll::Ready(item) = ready {
        return read(item);
    }
    let times = attempts.call().times;
    let remaining = times.deadline.since(attempts.worker().shared.now());
    let bound = timeout.min(remaining);
    let millis = Millis(u32::try_from(bound.as_millis()).unwrap_or(u32::MAX).max(1));
    match ntex::time::timeout(millis, body.recv()).await {
        Ok(item) => read(item),
        Err(()) => Err(Failure::Timeout),
    }
}

fn read(item: Option<Result<Bytes, PayloadError>>) -> Result<Option<Bytes>, Failure> {
    item.transpose().map_err(|error| Failure::Broken(error.to_string()))
}

/// Returns the length that an answer declares in `Content-Length`.
pub fn length(headers: &HeaderMap) -> Option<usize> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Records a complete answer and returns it. A successful one shows that the prompt crashes no endpoint.
fn complete(attempts: &mut Attempts, status: StatusCode, headers: HeaderMap, body: Bytes) -> Whole {
    attempts.record().answered();
    if status.is_success() {
        attempts.record_answered();
    }
    Whole { status, headers, body }
}
