//! Forwards large plain answers while they arrive.

use core::error;
use core::time::Duration;
use std::rc::Rc;

use bergamotshift_endpoint::answer::Failure;
use futures_util::Stream;
use futures_util::stream;
use ntex::http::Payload;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use xxhash_rust::xxh3::Xxh3;

use super::Attempts;
use super::Error;
use super::Open;
use super::Outgoing;
use super::attempts::Running;
use super::replace::Beside;
use super::source;
use super::source::Part;
use super::source::Replacement;
use super::source::Source;
use crate::observe::Hop;

/// Forwards an answer and, if it breaks off, continues with a second answer that begins with the same bytes.
///
/// Otherwise an endpoint that dies in the middle of a large answer would leave the caller with a short body. A
/// repeatable request is sent again. The second answer is skipped up to the position where the first broke off, and the
/// rest is forwarded only if the skipped bytes have the same hash as those already delivered. If they differ, the
/// connection is cut, which no caller takes for a complete answer.
#[derive(Debug)]
pub struct Relay {
    attempts: Attempts,
    /// Whether the answer is a success.
    is_success: bool,
    /// Answer that is read; `None` after a failure.
    source: Option<Source>,
    delivered: u64,
    hash: Hash,
    /// Bytes of the current answer that were delivered from an earlier one.
    prefix: Prefix,
}

/// Beginning of an answer that has to equal the bytes delivered from an earlier one.
#[derive(Debug, Default)]
struct Prefix {
    length: u64,
    digest: u128,
    seen: u64,
    hash: Hash,
}

impl Prefix {
    const fn is_complete(&self) -> bool {
        self.seen == self.length
    }

    /// Takes the prefix's bytes from a chunk and returns the rest.
    fn strip(&mut self, chunk: &Bytes) -> Result<Bytes, Error> {
        let taken = (self.length - self.seen).min(chunk.len() as u64) as usize;
        self.hash.0.update(&chunk[..taken]);
        self.seen += taken as u64;
        if self.is_complete() && self.hash.0.digest128() != self.digest {
            return Err(Error::Diverged);
        }
        Ok(chunk.slice(taken..))
    }
}

#[derive(Default)]
struct Hash(Xxh3);

impl core::fmt::Debug for Hash {
    fn fmt(&self, f: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        f.debug_tuple("Hash").field(&self.0.digest128()).finish()
    }
}

impl Relay {
    /// Creates a relay for an answer whose head has been forwarded.
    pub fn new(attempts: Attempts, status: StatusCode, body: Payload, running: Running) -> Self {
        let limit = attempts.call().times.stall_timeout;
        Self {
            source: Some(Source::new(&attempts, body, running, limit)),
            attempts,
            is_success: status.is_success(),
            delivered: 0,
            hash: Hash::default(),
            prefix: Prefix::default(),
        }
    }

    /// Returns the stream of body chunks for the caller.
    pub fn into_stream(self) -> impl Stream<Item = Result<Bytes, Rc<dyn error::Error>>> {
        stream::try_unfold(Box::new(self), |mut relay| async move {
            match relay.next().await {
                Ok(Some(chunk)) => Ok(Some((chunk, relay))),
                Ok(None) => Ok(None),
                Err(error) => Err(Rc::new(error) as Rc<dyn error::Error>),
            }
        })
    }

    async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        let next = self.read().await;
        next.inspect_err(|_| self.attempts.record().failed())
    }

    async fn read(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            let source = self.source.as_mut().ok_or(Error::Diverged)?;
            let part = match source.next(&self.attempts).await {
                Part::Silent { overlap } => Box::pin(self.replace(overlap)).await,
                part => part,
            };
            match part {
                Part::Chunk(Some(chunk)) => {
                    let chunk = if self.prefix.is_complete() {
                        chunk
                    } else {
                        self.prefix.strip(&chunk)?
                    };
                    if !chunk.is_empty() {
                        self.attempts.record().first();
                        self.hash.0.update(&chunk);
                        self.delivered += chunk.len() as u64;
                        return Ok(Some(chunk));
                    }
                }
                Part::Chunk(None) if !self.prefix.is_complete() => return Err(Error::Diverged),
                Part::Chunk(None) => {
                    if self.is_success
                        && let Some(source) = &self.source
                    {
                        self.attempts.record_whole(source.running());
                    }
                    self.attempts.record().answered();
                    return Ok(None);
                }
                Part::Failed(failure) => Box::pin(self.resume(failure)).await?,
                Part::Silent { .. } => {}
            }
        }
    }

    /// Requests another answer, whose beginning was delivered already.
    async fn resume(&mut self, failure: Failure) -> Result<(), Error> {
        self.attempts.mark_ran();
        let _handover = self.attempts.trace().span(Hop::Handover);
        let source = self.source.take().ok_or(Error::Diverged)?;
        self.attempts.handle_failure(source.into_running(), failure).await?;
        let body = Outgoing::Buffered(self.attempts.call().body.clone());
        let Open { answer, running } = self.attempts.open(body).await?;
        if !answer.status.is_success() {
            return Err(Error::Diverged);
        }
        self.prefix = self.delivered_prefix();
        self.attach(answer.body, running);
        Ok(())
    }

    /// Reads on from the silent endpoint until another one has sent what was delivered already.
    ///
    /// Returns the next part of whichever went on, or [`Part::Silent`] if neither did.
    async fn replace(&mut self, overlap: Option<Duration>) -> Part {
        let body = self.attempts.call().body.clone();
        let prefix = self.delivered_prefix();
        let Some(source) = &mut self.source else {
            return Part::Silent { overlap };
        };
        let open = async move |attempts: &mut Attempts, silent| {
            let beside = attempts.open_beside(silent, body, overlap).await?;
            Begun::read(attempts, beside, prefix).await
        };
        match source.replace(&mut self.attempts, open).await {
            Replacement::Begun(begun) => {
                let _handover = self.attempts.trace().span(Hop::Handover);
                self.prefix = Prefix::default();
                self.attach(begun.body, begun.running);
                Part::Chunk(Some(begun.rest))
            }
            Replacement::Overtaken(part) => part,
            Replacement::Missed => Part::Silent { overlap },
        }
    }

    fn attach(&mut self, body: Payload, running: Running) {
        let limit = self.attempts.call().times.stall_timeout;
        self.source = Some(Source::new(&self.attempts, body, running, limit));
    }

    /// Returns the bytes delivered so far as the beginning of another answer.
    fn delivered_prefix(&self) -> Prefix {
        Prefix {
            length: self.delivered,
            digest: self.hash.0.digest128(),
            ..Prefix::default()
        }
    }
}

/// Answer of an attempt beside a silent one that has sent what was delivered already.
struct Begun {
    body: Payload,
    running: Running,
    /// Bytes that were read beyond the delivered ones.
    rest: Bytes,
}

impl Begun {
    /// Reads an answer to the end of `prefix`; returns `None` if it breaks off or differs.
    async fn read(attempts: &Attempts, beside: Beside, mut prefix: Prefix) -> Option<Self> {
        let Open { mut answer, running } = beside.open;
        let times = attempts.call().times;
        let mut rest = Bytes::new();
        let mut failure =
            (!answer.status.is_success()).then(|| Failure::Malformed(format!("status {}", answer.status.as_u16())));
        while failure.is_none() && !prefix.is_complete() {
            let stalled_at = attempts.worker().shared.now() + times.stall_timeout;
            match source::read_until(attempts, &mut answer.body, stalled_at.min(times.deadline)).await {
                Ok(chunk) => match prefix.strip(&chunk) {
                    Ok(beyond) => rest = beyond,
                    Err(error) => failure = Some(Failure::Malformed(error.to_string())),
                },
                Err(broken) => failure = Some(broken),
            }
        }
        if let Some(failure) = failure {
            attempts.drop_beside(running, &failure);
            return None;
        }
        let body = answer.body;
        Some(Self { body, running, rest })
    }
}
