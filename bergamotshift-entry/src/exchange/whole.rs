//! Reads answers that are buffered until they are complete.

use core::mem;
use core::time::Duration;

use bergamotshift_endpoint::answer::Failure;
use ntex::http::HeaderMap;
use ntex::http::StatusCode;
use ntex::http::header;
use ntex::util::Bytes;
use ntex::util::BytesMut;

use super::Attempts;
use super::Error;
use super::Open;
use super::Outgoing;
use super::attempts::Running;
use super::source::Part;
use super::source::Replacement;
use super::source::Source;

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
        let body = attempts.call().body.clone();
        let open = attempts.open(Outgoing::Buffered(body.clone())).await?;
        if let Some(whole) = finish(attempts, open, &body).await? {
            return Ok(whole);
        }
    }
}

/// Reads the rest of an answer to a request with the body `sent`. Returns `None` if it broke off and another attempt may
/// start.
///
/// # Errors
///
/// Returns an error if the answer is too large, or if it broke off and no further attempt is allowed.
pub async fn finish(attempts: &mut Attempts, open: Open, sent: &Bytes) -> Result<Option<Whole>, Error> {
    let (mut partial, mut source) = Partial::new(attempts, open);
    loop {
        let part = match source.next(attempts).await {
            Part::Silent { overlap } => match Box::pin(replace(attempts, &mut source, &partial, sent, overlap)).await {
                Replacement::Begun(open) => {
                    (partial, source) = Partial::new(attempts, open);
                    continue;
                }
                Replacement::Overtaken(part) => part,
                Replacement::Missed => continue,
            },
            part => part,
        };
        let failure = match part {
            Part::Chunk(None) => return Ok(Some(partial.complete(attempts, source.running()))),
            Part::Chunk(Some(chunk)) if partial.len() + chunk.len() > MAX_BODY => {
                attempts.mark_ran();
                return Err(Error::TooLarge);
            }
            Part::Chunk(Some(chunk)) => match partial.push(chunk) {
                Ok(()) => continue,
                Err(failure) => failure,
            },
            Part::Failed(failure) => failure,
            Part::Silent { .. } => continue,
        };
        attempts.handle_failure(source.into_running(), failure).await?;
        return Ok(None);
    }
}

/// Reads on from the silent endpoint until another one has answered.
async fn replace(
    attempts: &mut Attempts,
    source: &mut Source,
    partial: &Partial,
    sent: &Bytes,
    overlap: Option<Duration>,
) -> Replacement<Open> {
    let open = async |attempts: &mut Attempts, silent| {
        let Open { answer, running } = attempts.open_beside(silent, sent.clone(), overlap).await?.open;
        if answer.status.is_success() || answer.status == partial.status {
            return Some(Open { answer, running });
        }
        let failure = Failure::Malformed(format!("status {}", answer.status.as_u16()));
        attempts.drop_beside(running, &failure);
        None
    };
    source.replace(attempts, open).await
}

/// Part of an answer that has arrived.
#[derive(Debug)]
struct Partial {
    status: StatusCode,
    headers: HeaderMap,
    /// Declared length, or zero.
    size: usize,
    /// Body, if it has arrived in one chunk. A small answer usually does, and is not copied.
    single: Bytes,
    /// Body, if it has arrived in several chunks.
    joined: BytesMut,
}

impl Partial {
    /// Returns the head of an answer and the source of its body.
    fn new(attempts: &Attempts, open: Open) -> (Self, Source) {
        let Open { answer, running } = open;
        let limit = attempts.call().times.stall_timeout;
        let partial = Self {
            status: answer.status,
            size: length(&answer.headers).unwrap_or_default().min(MAX_BODY),
            headers: answer.headers,
            single: Bytes::new(),
            joined: BytesMut::new(),
        };
        (partial, Source::new(attempts, answer.body, running, limit))
    }

    fn len(&self) -> usize {
        self.single.len() + self.joined.len()
    }

    fn push(&mut self, chunk: Bytes) -> Result<(), Failure> {
        if self.len() == 0 {
            self.single = chunk;
            return Ok(());
        }
        if self.joined.is_empty() && self.single.len() == self.size {
            let text = "the body is longer than its declared length";
            return Err(Failure::Malformed(text.to_owned()));
        }
        if self.joined.is_empty() {
            self.joined = BytesMut::with_capacity(self.size);
        }
        self.joined.extend_from_slice(&mem::take(&mut self.single));
        self.joined.extend_from_slice(&chunk);
        Ok(())
    }

    /// Records a complete answer and returns it. A successful one shows that the prompt crashes no endpoint.
    fn complete(self, attempts: &mut Attempts, running: &Running) -> Whole {
        attempts.record().answered();
        if self.status.is_success() {
            attempts.record_answered();
            attempts.record_whole(running);
        }
        let body = if self.joined.is_empty() {
            self.single
        } else {
            self.joined.freeze()
        };
        Whole {
            status: self.status,
            headers: self.headers,
            body,
        }
    }
}

/// Returns the length that an answer declares in `Content-Length`.
pub fn length(headers: &HeaderMap) -> Option<usize> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
