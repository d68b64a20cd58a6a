//! Forwards large plain answers while they arrive.

use core::error;
use core::mem;
use std::rc::Rc;

use bergamotshift_endpoint::answer::Failure;
use futures_util::Stream;
use futures_util::stream;
use ntex::http::Payload;
use ntex::util::Bytes;
use xxhash_rust::xxh3::Xxh3;

use super::Attempts;
use super::Error;
use super::Open;
use super::Outgoing;
use super::attempts::Running;
use super::whole;
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
    body: Payload,
    running: Option<Running>,
    delivered: u64,
    hash: Hash,
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
    pub fn new(attempts: Attempts, body: Payload, running: Running) -> Self {
        Self {
            attempts,
            body,
            running: Some(running),
            delivered: 0,
            hash: Hash::default(),
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
        let timeout = self.attempts.call().times.stall_timeout;
        loop {
            match whole::next(&self.attempts, &mut self.body, timeout).await {
                Ok(Some(chunk)) => {
                    self.attempts.record().first();
                    self.hash.0.update(&chunk);
                    self.delivered += chunk.len() as u64;
                    return Ok(Some(chunk));
                }
                Ok(None) => {
                    self.attempts.record().answered();
                    return Ok(None);
                }
                Err(failure) => {
                    let resumed = self.resume(failure).await;
                    resumed.inspect_err(|_| self.attempts.record().failed())?;
                }
            }
        }
    }

    /// Requests another answer and skips the bytes already delivered.
    async fn resume(&mut self, mut failure: Failure) -> Result<(), Error> {
        self.attempts.mark_ran();
        let _handover = self.attempts.trace().span(Hop::Handover);
        loop {
            drop(mem::take(&mut self.body));
            let Some(running) = self.running.take() else {
                return Err(Error::Diverged);
            };
            self.attempts.handle_failure(running, failure).await?;
            let body = Outgoing::Buffered(self.attempts.call().body.clone());
            let Open { answer, running } = self.attempts.open(body).await?;
            if !answer.status.is_success() {
                return Err(Error::Diverged);
            }
            self.body = answer.body;
            self.running = Some(running);
            match self.skip().await {
                Ok(rest) => return rest,
                Err(next) => failure = next,
            }
        }
    }

    /// Skips the bytes already delivered and checks that they match.
    ///
    /// The outer error means that this answer broke off too; the inner error means that it differs or is shorter.
    async fn skip(&mut self) -> Result<Result<(), Error>, Failure> {
        let mut skipped = 0;
        let mut hash = Xxh3::new();
        let timeout = self.attempts.call().times.stall_timeout;
        while skipped < self.delivered {
            let Some(chunk) = whole::next(&self.attempts, &mut self.body, timeout).await? else {
                return Ok(Err(Error::Diverged));
            };
            let remaining = self.delivered - skipped;
            let taken = remaining.min(chunk.len() as u64) as usize;
            hash.update(&chunk[..taken]);
            skipped += taken as u64;
            if taken < chunk.len() {
                let rest = chunk.slice(taken..);
                let old = mem::take(&mut self.body);
                self.body = Payload::from_stream(stream::iter([Ok(rest)]).chain(old));
            }
        }
        let same = hash.digest128() == self.hash.0.digest128();
        Ok(if same { Ok(()) } else { Err(Error::Diverged) })
    }
}

use futures_util::StreamExt;
