//! Large plain answers, passed on while they arrive.

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

/// Passes an answer on and, when it breaks off, goes on with a second one that begins with the same bytes.
///
/// Failure: an endpoint dies in the middle of a large answer. Symptom: the caller gets a short body. A repeatable
/// request is sent again; the second answer is skipped up to the place where the first broke, and only if what was
/// skipped has the hash of what the caller holds does the rest follow. Else the connection is cut, which no caller
/// takes for a whole answer.
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
    /// Takes up an answer whose head has been passed on.
    pub fn new(attempts: Attempts, body: Payload, running: Running) -> Self {
        Self {
            attempts,
            body,
            running: Some(running),
            delivered: 0,
            hash: Hash::default(),
        }
    }

    /// Returns the body's pieces as the caller gets them.
    pub fn into_stream(self) -> impl Stream<Item = Result<Bytes, Rc<dyn error::Error>>> {
        stream::try_unfold(Box::new(self), |mut copy| async move {
            match copy.next().await {
                Ok(Some(chunk)) => Ok(Some((chunk, copy))),
                Ok(None) => Ok(None),
                Err(error) => Err(Rc::new(error) as Rc<dyn error::Error>),
            }
        })
    }

    async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        let patience = self.attempts.call().times.stall_timeout;
        loop {
            match whole::next(&self.attempts, &mut self.body, patience).await {
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
                    let again = self.again(failure).await;
                    again.inspect_err(|_| self.attempts.record().failed())?;
                }
            }
        }
    }

    /// Opens another answer and skips what the caller has.
    async fn again(&mut self, mut failure: Failure) -> Result<(), Error> {
        self.attempts.mark_ran();
        let _handover = self.attempts.trace().span(Hop::Handover);
        loop {
            drop(mem::take(&mut self.body));
            let Some(running) = self.running.take() else {
                return Err(Error::Diverged);
            };
            self.attempts.failed(running, failure).await?;
            let held = Outgoing::Buffered(self.attempts.call().body.clone());
            let Open { answer, running } = self.attempts.open(held).await?;
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

    /// Skips the bytes that the caller has and checks that they are the same.
    async fn skip(&mut self) -> Result<Result<(), Error>, Failure> {
        let mut skipped = 0;
        let mut hash = Xxh3::new();
        let patience = self.attempts.call().times.stall_timeout;
        while skipped < self.delivered {
            let Some(chunk) = whole::next(&self.attempts, &mut self.body, patience).await? else {
                return Ok(Err(Error::Diverged));
            };
            let wanted = self.delivered - skipped;
            let taken = wanted.min(chunk.len() as u64) as usize;
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
