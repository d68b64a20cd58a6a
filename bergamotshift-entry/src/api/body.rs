//! Callers' bodies: held whole when small, else passed through once.

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

/// The most that is read of a body that nobody wants.
const DISCARDED: usize = 1024 * 1024;

/// How long that may take, for each kilobyte.
const DISCARD_TIME: Duration = Duration::from_millis(500);

/// A body may take its time once more for each of these many bytes.
const PACE_BYTES: usize = 1024;

/// Reads a caller's body piece by piece and breaks it off when it is too large or too slow.
///
/// Failure: a caller sends a byte now and then, or without end. Symptom: memory and connections are held for nothing.
/// Each kilobyte earns the caller its time again, so honest slow lines pass; the bound on the size ends the rest.
#[derive(Debug)]
pub struct Reader {
    payload: Payload,
    left: usize,
    pace: Duration,
    received: usize,
    patience: Deadline,
}

impl Reader {
    /// Makes a reader of a body of at most `bound` bytes.
    pub fn new(payload: Payload, bound: usize, pace: Duration) -> Self {
        Self {
            payload,
            left: bound,
            pace,
            received: 0,
            patience: Deadline::new(millis(pace)),
        }
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, PayloadError>>> {
        match self.payload.poll_recv(context) {
            Poll::Ready(Some(Ok(chunk))) if chunk.len() > self.left => Poll::Ready(Some(Err(PayloadError::Overflow))),
            Poll::Ready(Some(Ok(chunk))) => {
                self.left -= chunk.len();
                self.received += chunk.len();
                if self.received >= PACE_BYTES {
                    self.received = 0;
                    self.patience.reset(millis(self.pace));
                }
                Poll::Ready(Some(Ok(chunk)))
            }
            Poll::Ready(other) => Poll::Ready(other),
            Poll::Pending => match self.patience.poll_elapsed(context) {
                Poll::Ready(()) => Poll::Ready(Some(Err(too_slow()))),
                Poll::Pending => Poll::Pending,
            },
        }
    }

    async fn next(&mut self) -> Option<Result<Bytes, PayloadError>> {
        poll_fn(|context| self.poll(context)).await
    }
}

/// Reads a whole body.
///
/// # Errors
///
/// Returns an error when the body is larger than `bound`, too slow, or broke off.
pub async fn read(worker: &Worker, request: &mut Request, bound: usize) -> Result<Bytes, Error> {
    let declared = whole::length(request.headers());
    if declared.is_some_and(|length| length > bound) {
        return Err(Error::not_run(Reason::BodyTooLarge(bound)));
    }
    let payload = request.take_payload();
    if matches!(payload, Payload::None) {
        return Ok(Bytes::new());
    }
    let mut reader = Reader::new(payload, bound, pace(worker));
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
            // The common small body comes in one piece and need not be copied.
            return Ok(chunk);
        }
        body.extend_from_slice(&chunk);
    }
    if declared.is_some_and(|length| length != body.len()) {
        return Err(Error::not_run(Reason::Body("shorter than declared".to_owned())));
    }
    Ok(body.freeze())
}

/// Reads and forgets what a caller still sends, within bounds.
///
/// Failure: an answer is written and the connection closed while the caller still sends its body. Symptom: the
/// caller's system resets the connection and the answer that says what was wrong is lost. Whoever sends more than the
/// bound, or slowly, is not waited for.
pub async fn discard(payload: Payload) {
    if matches!(payload, Payload::None) {
        return;
    }
    let mut reader = Reader::new(payload, DISCARDED, DISCARD_TIME);
    while let Some(Ok(_)) = reader.next().await {}
}

/// Returns why a body could not be read.
fn reason(error: &PayloadError, bound: usize) -> Reason {
    match error {
        PayloadError::Overflow => Reason::BodyTooLarge(bound),
        PayloadError::Io(error) if error.kind() == io::ErrorKind::TimedOut => Reason::TooSlow,
        error => Reason::Body(error.to_string()),
    }
}

/// A body that streams through, counted as an upload until it is dropped.
struct Passing {
    reader: Reader,
    _upload: Upload,
}

impl Stream for Passing {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.reader.poll(cx)
    }
}

/// Passes a body through and breaks it off when it grows beyond `bound`.
pub fn pass(worker: &Rc<Worker>, payload: Payload, bound: usize) -> Payload {
    Payload::from_stream(Passing {
        reader: Reader::new(payload, bound, pace(worker)),
        _upload: Upload::start(worker),
    })
}

fn pace(worker: &Worker) -> Duration {
    Duration::from_secs(u64::from(worker.shared.settings.bounds.body_time))
}

fn millis(span: Duration) -> Millis {
    Millis(u32::try_from(span.as_millis()).unwrap_or(u32::MAX))
}

fn too_slow() -> PayloadError {
    PayloadError::Io(io::Error::from(io::ErrorKind::TimedOut))
}
