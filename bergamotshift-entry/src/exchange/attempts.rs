//! Makes the attempts of a request: chooses an endpoint, sends, and decides on a retry after a failure.

use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::answer::Answer;
use bergamotshift_endpoint::answer::Failure;
use bergamotshift_endpoint::call;
use bergamotshift_endpoint::engine::version::Version;
use bergamotshift_limit::retry;
use bergamotshift_limit::retry::Decision;
use bergamotshift_rollout::origin::Wanted;
use bergamotshift_route::flight;

use super::Call;
use super::Error;
use super::Outgoing;
use crate::api;
use crate::control::Verdict;
use crate::observe::Hop;
use crate::observe::Record;
use crate::observe::Span;
use crate::observe::Trace;
use crate::sharing::Guard;
use crate::sharing::Ticket;
use crate::snapshot::Endpoint;
use crate::snapshot::Snapshot;
use crate::worker::Worker;

/// Size of a prompt block for prefix hashes, in bytes.
pub(crate) const BLOCK_BYTES: usize = 1024;
/// Estimated number of tokens in a prompt block.
pub(crate) const BLOCK_TOKENS: u32 = 256;

/// Reason to leave an endpoint, as traces and callers see it.
const ANOTHER_VERSION: &str = "the endpoint's version is not the one that began the stream";

/// Answer whose head has arrived, with the attempt that brought it.
#[derive(Debug)]
pub struct Open {
    /// Head and unread body of the answer.
    pub answer: Answer,
    /// Attempt that brought the answer.
    pub running: Running,
}

/// Attempt in flight; it counts as ended when this is dropped.
#[derive(Debug)]
pub struct Running {
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) key: key::Endpoint,
    pub(super) span: Span,
    pub(super) _guard: flight::Guard,
    pub(super) _seat: Option<Guard>,
}

/// Attempts of a request.
#[derive(Debug)]
pub struct Attempts {
    pub(super) worker: Rc<Worker>,
    pub(super) call: Rc<Call>,
    pub(super) tried: Vec<key::Endpoint>,
    /// Version that began the stream, at which alone it may go on; `None` before the first event.
    version: Option<Version>,
    pub(super) started: u32,
    outcome: Outcome,
    /// Whether the answer showed that the prompt crashes no endpoint at its beginning.
    pub(super) is_settled: bool,
    /// Whether it runs to find out whether a refused part of its prompt crashes endpoints.
    pub(super) is_trial: bool,
    /// Whether the request body was streamed, so that it cannot be sent again.
    pub(super) is_streamed: bool,
    /// Number of polls without any endpoint.
    pub(super) endpoint_polls: u32,
    /// Number of polls for an endpoint that runs no other suspected request.
    pub(super) isolation_polls: u32,
    pub(super) trace: Trace,
    record: Record,
    ticket: Option<Ticket>,
}

impl Drop for Attempts {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            ticket.settle(self.worker.shared.now(), self.outcome);
        }
    }
}

impl Attempts {
    /// Creates the attempts of an admitted request, with none started yet.
    pub fn new(worker: Rc<Worker>, call: Rc<Call>, ticket: Ticket) -> Self {
        let snapshot = worker.snapshot();
        let metrics = snapshot.services.get(&call.service);
        let metrics = metrics.map(|service| Arc::clone(&service.metrics));
        Self {
            worker,
            call,
            tried: Vec::new(),
            version: None,
            started: 0,
            outcome: Outcome::NotRun,
            is_settled: false,
            is_trial: false,
            is_streamed: false,
            endpoint_polls: 0,
            isolation_polls: 0,
            trace: Trace::default(),
            record: Record::new(metrics),
            ticket: Some(ticket),
        }
    }

    /// Records the request as failed and returns the error for its caller.
    pub fn fail(&mut self, error: &Error) -> api::error::Error {
        self.record.failed();
        self.trace.failed(error);
        api::error::Error::from_exchange(error, self.outcome)
    }

    /// Returns the metrics record of the request.
    pub const fn record(&mut self) -> &mut Record {
        &mut self.record
    }

    /// Sets the trace and records in it that the request was admitted.
    #[must_use]
    pub fn with_trace(mut self, trace: &Trace) -> Self {
        trace.admitted();
        trace.note("service", &self.call.service);
        trace.note("organisation", &self.call.organisation);
        self.trace = trace.clone();
        self
    }

    /// Returns the request's trace.
    pub const fn trace(&self) -> &Trace {
        &self.trace
    }

    /// Returns the request.
    pub const fn call(&self) -> &Rc<Call> {
        &self.call
    }

    /// Returns the worker thread's state.
    pub const fn worker(&self) -> &Rc<Worker> {
        &self.worker
    }

    /// Returns what is known so far about whether the request ran.
    pub const fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Returns the versions that the request may go to.
    pub(super) fn wanted(&self) -> Wanted<&Version> {
        Wanted::new(self.version.as_ref(), false)
    }

    /// Returns whether the answer of an attempt, which states `version`, may go on what began, and records the statement.
    pub(super) fn may_go_on(&self, running: &Running, version: &Version) -> bool {
        let now = self.worker.shared.now();
        running.endpoint.statement.record(now, version.clone());
        self.wanted().admits(version, false)
    }

    /// Binds the stream to the version that began it.
    pub(super) fn bind(&mut self, version: Version) {
        self.version.get_or_insert(version);
    }

    /// Forgets the stream that began, as nothing of it has reached the caller.
    pub fn start_over(&mut self) {
        self.version = None;
    }

    /// Records that the request ran, regardless of what happens to its answer.
    pub const fn mark_ran(&mut self) {
        self.outcome = Outcome::Ran;
    }

    /// Counts tokens of the answer as they arrive.
    pub fn count_tokens(&mut self, tokens: u64) {
        let now = self.worker.shared.now();
        if let Some(ticket) = &mut self.ticket {
            ticket.count(now, tokens);
        }
    }

    /// Counts the tokens of a model's complete answer.
    pub fn count_whole(&mut self, body: &[u8]) {
        let now = self.worker.shared.now();
        if let Some(ticket) = &mut self.ticket {
            ticket.count_whole(now, body);
        }
    }

    /// Makes attempts until the head of an answer arrives.
    ///
    /// # Errors
    ///
    /// Returns an error if no attempt brought an answer; [`Attempts::outcome`] then tells whether the request ran.
    pub async fn open(&mut self, mut body: Outgoing) -> Result<Open, Error> {
        let mut queue = None;
        loop {
            let snapshot = self.worker.snapshot();
            let service = snapshot.services.get(&self.call.service).ok_or(Error::NoService)?;
            self.admit(&snapshot)?;
            self.admit_parts(&snapshot)?;
            queue.get_or_insert_with(|| self.trace.span(Hop::Queue));
            let Some(mut running) = self.choose(&snapshot, service).await? else {
                continue;
            };
            let outgoing = match &mut body {
                Outgoing::Buffered(bytes) if bytes.is_empty() => call::Body::Empty,
                Outgoing::Buffered(bytes) => call::Body::Buffered(bytes.clone()),
                Outgoing::Streamed(payload) => call::Body::Streamed(payload.take()),
            };
            self.is_streamed |= matches!(body, Outgoing::Streamed(_));
            self.started += 1;
            self.is_settled = false;
            queue = None;
            running.span = self.span(&running);
            service.metrics.attempts.inc();
            match self.send(service, &running, outgoing).await {
                Ok(answer) if self.is_refusal(service, &answer) && matches!(body, Outgoing::Buffered(_)) => {
                    drop(answer);
                    running.span.failed(&"refused");
                    service.metrics.refused.inc();
                    self.retry_or_stop(&snapshot, &running, retry::Failure::Refused, |reason| Error::Refused {
                        reason,
                    })
                    .await?;
                }
                Ok(answer) => {
                    running.span.note("status", &answer.status.as_u16());
                    self.outcome = Outcome::Unknown;
                    return Ok(Open { answer, running });
                }
                Err(failure) => {
                    self.handle_failure(running, failure).await?;
                    if matches!(body, Outgoing::Streamed(_)) {
                        return Err(Error::NoEndpoint);
                    }
                }
            }
        }
    }

    /// Handles a failed attempt; returns once the next attempt may start.
    ///
    /// # Errors
    ///
    /// Returns an error if no further attempt is allowed.
    pub async fn handle_failure(&mut self, mut running: Running, failure: Failure) -> Result<(), Error> {
        if failure.outcome() != Outcome::NotRun && self.outcome == Outcome::NotRun {
            self.outcome = Outcome::Unknown;
        }
        running.span.failed(&failure);
        match failure {
            Failure::Caller(text) => return Err(Error::Body(text)),
            Failure::Encode(text) => return Err(Error::Encode(text)),
            _ => {}
        }
        let snapshot = self.worker.snapshot();
        if let Some(service) = snapshot.services.get(&self.call.service) {
            service.metrics.broken.inc();
        }
        let verdict = if self.is_common(&failure) {
            Verdict::default()
        } else {
            self.request_verdict(&running, &failure).await
        };
        let kind = match (&failure, verdict) {
            (Failure::Connect(_), _) => retry::Failure::Refused,
            (_, Verdict { announced: true, .. }) => retry::Failure::Moved,
            (Failure::Timeout, _) => retry::Failure::Timeout,
            _ => retry::Failure::Broken,
        };
        let snapshot = self.worker.snapshot();
        self.retry_or_stop(&snapshot, &running, kind, |reason| Error::Failed { failure, reason })
            .await
    }

    /// Records that an endpoint's version did not begin the stream, which is no failure and takes from the retry budget only.
    pub(super) fn leave(&mut self, running: &mut Running) {
        running.span.failed(&ANOTHER_VERSION);
        self.started -= 1;
    }

    /// Leaves an endpoint whose version did not begin the stream; returns once the next attempt may start.
    ///
    /// # Errors
    ///
    /// Returns an error if no further attempt is allowed.
    pub(super) async fn pass_over(&mut self, mut running: Running) -> Result<(), Error> {
        self.leave(&mut running);
        let failure = Failure::Malformed(ANOTHER_VERSION.to_owned());
        let snapshot = self.worker.snapshot();
        let error = |reason| Error::Failed { failure, reason };
        self.retry_or_stop(&snapshot, &running, retry::Failure::Broken, error)
            .await
    }

    /// Waits for the delay of the retry policy, or returns the error if no further attempt is allowed.
    async fn retry_or_stop(
        &mut self,
        snapshot: &Snapshot,
        running: &Running,
        kind: retry::Failure,
        error: impl FnOnce(retry::Reason) -> Error,
    ) -> Result<(), Error> {
        self.tried.push(running.key);
        let service = snapshot.services.get(&self.call.service).ok_or(Error::NoService)?;
        let request = self.retry_request();
        let now = self.worker.shared.now();
        let decision = self
            .worker
            .with_generator(|generator| service.retry.decide(now, request, kind, &service.budget, generator));
        match decision {
            Decision::Retry(delay) => {
                service.metrics.retried(kind);
                if !delay.is_zero() {
                    tokio::time::sleep(delay).await;
                }
                Ok(())
            }
            Decision::Stop(reason) => Err(error(reason)),
        }
    }

    /// Returns the state of the request for the retry policy.
    pub(super) fn retry_request(&self) -> retry::Request {
        retry::Request {
            repeatable: self.call.repeatable && !self.is_streamed,
            attempts: self.started,
            deadline: self.call.times.deadline,
        }
    }
}
