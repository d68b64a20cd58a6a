//! Request bodies: read into memory when small, streamed to the endpoint otherwise.

use core::future::poll_fn;
use core::pin::Pin;
use core::task::Context;
use core::task::Poll;
use core::time::Duration;
use std::io;
use std::rc::Rc;

use futures_util::Stream;
use ntex::http::Payload;
use ntex::http::Request;
use ntex::http::error::PayloadError;
use ntex::time::Deadline;
use ntex::time::Millis;
use ntex::util::Bytes;
use ntex::util::BytesMut;

use super::error::Error;
use super::error::Reason;
use crate::exchange::whole;
use crate::worker::Upload;
use crate::worker::Worker;

/// Maximum number of bytes that [`discard`] reads.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;

/// Timeout of [`discard`] for each kilobyte.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of received bytes after which the timeout of a body restarts.
const TIMEOUT_RESET_BYTES: usize = 1024;

/// Reader of a request body that fails when the body is too large or arrives too slowly.
///
/// A caller that sends a byte now and then, or sends without end, would hold memory and a connection for nothing. The
/// timeout restarts with each kilobyte received, so callers on slow connections are served, and the size limit ends
/// bodies without end.
#[derive(Debug)]
pub struct Reader {
    payload: Payload,
    remaining: usize,
    timeout: Duration,
    received: usize,
    deadline: Deadline,
}

impl Reader {
    /// Creates a reader for a body of at most `bound` bytes.
    pub fn new(payload: Payload, bound: usize, timeout: Duration) -> Self {
        Self {
            payload,
            remaining: bound,
            timeout,
            received: 0,
            deadline: Deadline::new(millis(timeout)),
        }
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, PayloadError>>> {
        match self.payload.poll_recv(context) {
            Poll::Ready(Some(Ok(chunk))) if chunk.len() > self.remaining => {
                Poll::Ready(Some(Err(PayloadError::Overflow)))
            }
            Poll::Ready(Some(Ok(chunk))) => {
                self.remaining -= chunk.len();
                self.received += chunk.len();
                if self.received >= TIMEOUT_RESET_BYTES {
                    self.received = 0;
                    self.deadline.reset(millis(self.timeout));
                }
                Poll::Ready(Some(Ok(chunk)))
            }
            Poll::Ready(other) => Poll::Ready(other),
            Poll::Pending => match self.deadline.poll_elapsed(context) {
                Poll::Ready(()) => Poll::Ready(Some(Err(too_slow()))),
                Poll::Pending => Poll::Pending,
            },
        }
    }

    async fn next(&mut self) -> Option<Result<Bytes, PayloadError>> {
        poll_fn(|context| self.poll(context)).await
    }
}

/// Reads a whole request body into memory.
///
/// # Errors
///
/// Returns an error if the body is larger than `bound`, arrives too slowly, or ends early.
pub async fn read(worker: &Worker, request: &mut Request, bound: usize) -> Result<Bytes, Error> {
    let declared = whole::length(request.headers());
    if declared.is_some_and(|length| length > bound) {
        return Err(Error::not_run(Reason::BodyTooLarge(bound)));
    }
    let payload = request.take_payload();
    if matches!(payload, Payload::None) {
        return Ok(Bytes::new());
    }
    let mut reader = Reader::new(payload, bound, body_timeout(worker));
    let mut body = BytesMut::new();
    while let Some(chunk) = reader.next().await {
        let chunk = match chunk {
            Ok(chunk) => chunk,
            Err(error) => {
                if matches!(error, PayloadError::Overflow) {
                    request.replace_payload(reader.payload);
                }
                return Err(Error::not_run(reason(&error, bound)));
            }
        };
        if body.is_empty() && Some(chunk.len()) == declared {
            // Small bodies usually arrive in one chunk, which is returned without a copy.
            return Ok(chunk);
        }
        body.extend_from_slice(&chunk);
    }
    if declared.is_some_and(|length| length != body.len()) {
        return Err(Error::not_run(Reason::Body("shorter than declared".to_owned())));
    }
    Ok(body.freeze())
}

/// Reads and drops the rest of a request body, up to a size limit and a timeout.
///
/// If the connection is closed while the caller still sends its body, the caller's system resets the connection and
/// the error response is lost. Bodies beyond the limit and slow callers are not waited for.
pub async fn discard(payload: Payload) {
    if matches!(payload, Payload::None) {
        return;
    }
    let mut reader = Reader::new(payload, MAX_DISCARDED_BYTES, DISCARD_TIMEOUT);
    while let Some(Ok(_)) = reader.next().await {}
}

/// Converts an error of the payload into the reason reported to the caller.
fn reason(error: &PayloadError, bound: usize) -> Reason {
    match error {
        PayloadError::Overflow => Reason::BodyTooLarge(bound),
        PayloadError::Io(error) if error.kind() == io::ErrorKind::TimedOut => Reason::TooSlow,
        error => Reason::Body(error.to_string()),
    }
}

/// Request body that is streamed to an endpoint, counted as an upload until it is dropped.
struct Passthrough {
    reader: Reader,
    _upload: Upload,
}

impl Stream for Passthrough {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.reader.poll(cx)
    }
}

/// Streams a request body and fails it when it grows beyond `bound` bytes or arrives too slowly.
pub fn stream(worker: &Rc<Worker>, payload: Payload, bound: usize) -> Payload {
    Payload::from_stream(Passthrough {
        reader: Reader::new(payload, bound, body_timeout(worker)),
        _upload: Upload::start(worker),
    })
}

fn body_timeout(worker: &Worker) -> Duration {
    Duration::from_secs(u64::from(worker.shared.settings.bounds.body_timeout))
}

fn millis(span: Duration) -> Millis {
    Millis(u32::try_from(span.as_millis()).unwrap_or(u32::MAX))
}

fn too_slow() -> PayloadError {
    PayloadError::Io(io::Error::from(io::ErrorKind::TimedOut))
}
