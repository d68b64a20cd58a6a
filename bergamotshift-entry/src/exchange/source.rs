//! Reads an answer, and sends another attempt beside it while its endpoint is silent.
//!
//! Silence ends no answer: it is read on until its endpoint is known to be dead, the request's deadline passes, or another
//! attempt has begun to answer. [`bergamotshift_limit::silence`] decides which of these applies.

use core::pin::pin;
use core::task::Poll;
use core::time::Duration;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::answer::Failure;
use bergamotshift_limit::silence::Action;
use bergamotshift_limit::silence::Extent;
use bergamotshift_limit::silence::Path;
use bergamotshift_limit::silence::Pulse;
use bergamotshift_limit::silence::Settings;
use bergamotshift_limit::silence::Watch;
use futures_util::future::Either;
use futures_util::future::select;
use futures_util::poll;
use ntex::http::Payload;
use ntex::http::error::PayloadError;
use ntex::time::Millis;
use ntex::util::Bytes;
use tokio::net::TcpStream;

use super::Attempts;
use super::attempts::Running;
use crate::snapshot::Endpoint;
use crate::worker::Worker;

/// Next part of an answer.
#[derive(Debug)]
pub enum Part {
    /// Bytes, or `None` at the end.
    Chunk(Option<Bytes>),
    /// Failure that ends the attempt.
    Failed(Failure),
    /// Silence in which another attempt may be sent, with [`Source::replace`].
    Silent {
        /// Time after sending within which the other attempt has to begin to answer, if that is bounded.
        overlap: Option<Duration>,
    },
}

/// Result of [`Source::replace`].
#[derive(Debug)]
pub enum Replacement<T> {
    /// The other attempt has begun to answer.
    Begun(T),
    /// The silent attempt went on or failed first.
    Overtaken(Part),
    /// No other attempt could be sent, or it failed.
    Missed,
}

/// Body of an answer that is read, and the attempt that brings it.
#[derive(Debug)]
pub struct Source {
    body: Payload,
    running: Running,
    watch: Watch,
    /// Whether silence of this answer is a sign that its endpoint is silent.
    is_sign: bool,
    wait: Option<Wait>,
}

/// Guard of a wait for the next part of an answer.
#[derive(Debug)]
struct Wait(Option<Arc<Pulse>>);

impl Wait {
    fn begin(pulse: Option<&Arc<Pulse>>, now: Instant) -> Self {
        pulse.inspect(|pulse| pulse.begin(now));
        Self(pulse.cloned())
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        if let Some(pulse) = &self.0 {
            pulse.end();
        }
    }
}

impl Source {
    /// Creates a source from an answer whose head has arrived and whose silences are normal up to `limit`.
    pub fn new(attempts: &Attempts, body: Payload, running: Running, limit: Duration) -> Self {
        let now = attempts.worker().shared.now();
        Self {
            body,
            running,
            watch: Watch::new(Settings::default(), limit, now),
            is_sign: limit <= attempts.call().times.stall_timeout,
            wait: None,
        }
    }

    /// Changes the limit of normal silences.
    pub fn set_limit(&mut self, attempts: &Attempts, limit: Duration) {
        self.watch = Watch::new(Settings::default(), limit, attempts.worker().shared.now());
        self.is_sign = limit <= attempts.call().times.stall_timeout;
    }

    /// Returns the attempt.
    pub const fn running(&self) -> &Running {
        &self.running
    }

    /// Ends the reading and returns the attempt.
    pub fn into_running(self) -> Running {
        self.running
    }

    /// Waits for the next part of the answer.
    pub async fn next(&mut self, attempts: &Attempts) -> Part {
        // A chunk that has already arrived needs no timer; this is the common case for small answers.
        let ready = poll!(pin!(self.body.recv()));
        if let Poll::Ready(item) = ready {
            return self.hear(attempts, item);
        }
        let deadline = attempts.call().times.deadline;
        loop {
            let now = attempts.worker().shared.now();
            if self.wait.is_none() {
                self.watch.record(now);
                let pulse = self.is_sign.then_some(&self.running.endpoint.pulse);
                self.wait = Some(Wait::begin(pulse, now));
            }
            if now >= deadline {
                return Part::Failed(Failure::Timeout);
            }
            let until = match self.decide(attempts, now) {
                Action::Wait(until) => until.min(deadline),
                Action::Replace { overlap } => return Part::Silent { overlap },
                Action::GiveUp => return Part::Failed(Failure::Broken("the endpoint is no longer listed".to_owned())),
            };
            let bound = millis(until.since(now));
            if let Ok(item) = ntex::time::timeout(bound, self.body.recv()).await {
                return self.hear(attempts, item);
            }
        }
    }

    /// Reads on while `open` sends another attempt and waits for the beginning of its answer.
    pub async fn replace<T>(
        &mut self,
        attempts: &mut Attempts,
        open: impl AsyncFnOnce(&mut Attempts, key::Endpoint) -> Option<T>,
    ) -> Replacement<T> {
        let (started, is_settled) = (attempts.started, attempts.is_settled);
        let raced = {
            let replacement = pin!(open(attempts, self.running.key));
            match select(pin!(self.body.recv()), replacement).await {
                Either::Left((Some(Err(error)), replacement)) => replacement.await.ok_or(Some(Some(Err(error)))),
                Either::Left((item, _)) => Err(Some(item)),
                Either::Right((Some(begun), _)) => Ok(begun),
                Either::Right((None, _)) => Err(None),
            }
        };
        // What is reported of the silent attempt depends on its own answer.
        attempts.is_settled = is_settled;
        match raced {
            Ok(begun) => {
                self.running.span.failed(&Failure::Timeout);
                attempts.report_replaced(&self.running, &Failure::Timeout);
                attempts.is_settled = false;
                Replacement::Begun(begun)
            }
            Err(item) => {
                let now = attempts.worker().shared.now();
                self.watch.postpone(now, attempts.started > started);
                item.map_or(Replacement::Missed, |item| {
                    Replacement::Overtaken(self.hear(attempts, item))
                })
            }
        }
    }

    /// Records that no other attempt can continue this answer for now.
    pub fn postpone(&mut self, attempts: &Attempts) {
        self.watch.postpone(attempts.worker().shared.now(), true);
    }

    fn hear(&mut self, attempts: &Attempts, item: Option<Result<Bytes, PayloadError>>) -> Part {
        if self.wait.take().is_some() {
            self.running.endpoint.pulse.record(attempts.worker().shared.now());
        }
        match item.transpose() {
            Ok(chunk) => Part::Chunk(chunk),
            Err(error) => Part::Failed(Failure::Broken(error.to_string())),
        }
    }

    fn decide(&self, attempts: &Attempts, now: Instant) -> Action {
        if now < self.watch.check_at() {
            return self.watch.decide(now, Path::Unknown, Extent::Single);
        }
        let (heard, settings) = (self.watch.heard(), self.watch.settings());
        let endpoint = &self.running.endpoint;
        if endpoint.pulse.claim_check(now, heard, settings.check_ttl) {
            let worker = Rc::clone(attempts.worker());
            ntex::rt::spawn(check(worker, Arc::clone(endpoint), now, settings.check_lead)).detach();
        }
        self.watch
            .decide(now, endpoint.pulse.path(heard), attempts.silence_extent(now))
    }
}

/// Opens a connection to a silent endpoint and records whether it was accepted.
async fn check(worker: Rc<Worker>, endpoint: Arc<Endpoint>, began: Instant, timeout: Duration) {
    let connecting = TcpStream::connect(endpoint.target.authority().as_str());
    let path = match tokio::time::timeout(timeout, connecting).await {
        Ok(Ok(_)) => Path::Reached,
        Ok(Err(_)) | Err(_) if worker.snapshot().is_replaced(&endpoint) => Path::Gone,
        Ok(Err(_)) | Err(_) => Path::Unreached,
    };
    endpoint.pulse.record_path(began, path);
}

/// Reads the next bytes of an answer, which has to go on before `deadline`.
///
/// # Errors
///
/// Returns a failure if the answer breaks off, ends, or is silent until `deadline`.
pub(super) async fn read_until(attempts: &Attempts, body: &mut Payload, deadline: Instant) -> Result<Bytes, Failure> {
    let bound = millis(deadline.since(attempts.worker().shared.now()));
    match ntex::time::timeout(bound, body.recv()).await {
        Ok(Some(item)) => item.map_err(|error| Failure::Broken(error.to_string())),
        Ok(None) => Err(Failure::Broken("the answer ended".to_owned())),
        Err(()) => Err(Failure::Timeout),
    }
}

/// Returns a timeout of the client library, which takes zero for none.
fn millis(time: Duration) -> Millis {
    Millis(u32::try_from(time.as_millis()).unwrap_or(u32::MAX).max(1))
}
