//! The attempts of one request: choose, send, and on failure decide.

use core::time::Duration;
use std::borrow::Cow;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::answer::Answer;
use bergamotshift_endpoint::answer::Failure;
use bergamotshift_endpoint::call;
use bergamotshift_limit::quarantine;
use bergamotshift_limit::retry;
use bergamotshift_limit::retry::Decision;
use bergamotshift_route::Ask;
use bergamotshift_route::Choice;
use bergamotshift_route::Refusal;
use bergamotshift_route::flight;
use ntex::http::header::HeaderName;
use ntex::http::header::HeaderValue;
use tokio::sync::oneshot;

use super::Call;
use super::Error;
use super::Outgoing;
use crate::api;
use crate::control;
use crate::control::Verdict;
use crate::observe::Hop;
use crate::observe::Record;
use crate::observe::Span;
use crate::observe::Trace;
use crate::sharing::Taken;
use crate::sharing::Ticket;
use crate::snapshot::Endpoint;
use crate::snapshot::Service;
use crate::snapshot::Snapshot;
use crate::worker::Worker;

/// Bytes of prompt per block of prefix, and tokens that makes.
pub(crate) const BLOCK_BYTES: usize = 1024;
pub(crate) const BLOCK_TOKENS: u32 = 256;

/// How long a worker waits to hear what became of an endpoint before it goes on regardless.
const VERDICT_WAIT: Duration = Duration::from_millis(300);

/// How long a request that was accepted waits for an endpoint to turn up when all are gone.
const ENDPOINT_WAIT: Duration = Duration::from_secs(5);

/// How long a suspected request waits for an endpoint that runs no other suspect.
///
/// A guilty one kills its endpoint soon and is refused then, so what goes on together after this time is innocent.
const APART_WAIT: Duration = Duration::from_secs(2);

/// The time between two looks for an endpoint while none is there.
const ENDPOINT_LOOK: Duration = Duration::from_millis(20);

/// An answer whose head has arrived, and where it comes from.
#[derive(Debug)]
pub struct Open {
    /// The answer.
    pub answer: Answer,
    /// Where it runs.
    pub running: Running,
}

/// One attempt under way; dropping it counts the attempt as ended.
#[derive(Debug)]
pub struct Running {
    endpoint: Arc<Endpoint>,
    key: key::Endpoint,
    span: Span,
    _guard: flight::Guard,
    _seat: Option<Taken>,
}

/// Makes the attempts of one request.
#[derive(Debug)]
pub struct Attempts {
    worker: Rc<Worker>,
    call: Rc<Call>,
    tried: Vec<key::Endpoint>,
    made: u32,
    outcome: Outcome,
    lost: u32,
    crowded: u32,
    trace: Trace,
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
    /// Makes none yet, of a request that was let in.
    pub fn new(worker: Rc<Worker>, call: Rc<Call>, ticket: Ticket) -> Self {
        let snapshot = worker.snapshot();
        let metrics = snapshot.services.get(&call.service);
        let metrics = metrics.map(|service| Arc::clone(&service.metrics));
        Self {
            worker,
            call,
            tried: Vec::new(),
            made: 0,
            outcome: Outcome::NotRun,
            lost: 0,
            crowded: 0,
            trace: Trace::default(),
            record: Record::new(metrics),
            ticket: Some(ticket),
        }
    }

    /// Ends the request with what its caller is told of a failure.
    pub fn fail(&mut self, error: &Error) -> api::error::Error {
        self.record.failed();
        self.trace.failed(error);
        api::error::Error::from_exchange(error, self.outcome)
    }

    /// Returns what is counted of the request.
    pub const fn record(&mut self) -> &mut Record {
        &mut self.record
    }

    /// Makes them within a trace, and notes in it that the request is let in.
    #[must_use]
    pub fn traced(mut self, trace: &Trace) -> Self {
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

    /// Returns the thread's state.
    pub const fn worker(&self) -> &Rc<Worker> {
        &self.worker
    }

    /// Returns what is known about whether the request ran so far.
    pub const fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Notes that the request ran, whatever becomes of its answer.
    pub const fn ran(&mut self) {
        self.outcome = Outcome::Ran;
    }

    /// Counts tokens of the answer as they arrive.
    pub fn count(&mut self, tokens: u64) {
        let now = self.worker.shared.now();
        if let Some(ticket) = &mut self.ticket {
            ticket.count(now, tokens);
        }
    }

    /// Counts the tokens of a model's answer that came whole.
    pub fn count_whole(&mut self, body: &[u8]) {
        let now = self.worker.shared.now();
        if let Some(ticket) = &mut self.ticket {
            ticket.count_whole(now, body);
        }
    }

    /// Makes attempts until the head of an answer is there.
    ///
    /// # Errors
    ///
    /// Returns why no attempt brought one; [`Attempts::outcome`] then tells whether the request ran.
    pub async fn open(&mut self, mut body: Outgoing) -> Result<Open, Error> {
        let mut queue = None;
        loop {
            let snapshot = self.worker.snapshot();
            let service = snapshot.services.get(&self.call.service).ok_or(Error::NoService)?;
            self.admit(&snapshot)?;
            queue.get_or_insert_with(|| self.trace.span(Hop::Queue));
            let Some(mut running) = self.choose(&snapshot, service).await? else {
                continue;
            };
            let outgoing = match &mut body {
                Outgoing::Held(bytes) if bytes.is_empty() => call::Body::Empty,
                Outgoing::Held(bytes) => call::Body::Whole(bytes.clone()),
                Outgoing::Once(payload) => call::Body::Stream(payload.take()),
            };
            self.made += 1;
            queue = None;
            running.span = self.span(&running);
            service.metrics.attempts.inc();
            match self.send(service, &running, outgoing).await {
                Ok(answer) if self.refuses(service, &answer) && matches!(body, Outgoing::Held(_)) => {
                    drop(answer);
                    running.span.failed(&"refused");
                    service.metrics.refused.inc();
                    self.after(&snapshot, &running, retry::Failure::Refused, |reason| Error::Refused {
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
                    self.failed(running, failure).await?;
                    if matches!(body, Outgoing::Once(_)) {
                        return Err(Error::NoEndpoint);
                    }
                }
            }
        }
    }

    /// Decides what follows a failed attempt; returns once the next one may start.
    ///
    /// # Errors
    ///
    /// Returns why none may follow.
    pub async fn failed(&mut self, mut running: Running, failure: Failure) -> Result<(), Error> {
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
        let verdict = self.ask(&running, &failure).await;
        let kind = match (&failure, verdict) {
            (Failure::Connect(_), _) => retry::Failure::Refused,
            (_, Verdict { announced: true, .. }) => retry::Failure::Moved,
            (Failure::Timeout, _) => retry::Failure::Timeout,
            _ => retry::Failure::Broken,
        };
        let snapshot = self.worker.snapshot();
        self.after(&snapshot, &running, kind, |reason| Error::Failed { failure, reason })
            .await
    }

    /// Waits as the retry policy says, or gives up.
    async fn after(
        &mut self,
        snapshot: &Snapshot,
        running: &Running,
        kind: retry::Failure,
        error: impl FnOnce(retry::Reason) -> Error,
    ) -> Result<(), Error> {
        self.tried.push(running.key);
        let service = snapshot.services.get(&self.call.service).ok_or(Error::NoService)?;
        let request = retry::Request {
            repeatable: self.call.repeatable,
            attempts: self.made,
            deadline: self.call.times.deadline,
        };
        let now = self.worker.shared.now();
        let decision = self
            .worker
            .with_generator(|generator| service.retry.decide(now, request, kind, &service.budget, generator));
        match decision {
            Decision::Again(delay) => {
                service.metrics.retried(kind);
                if !delay.is_zero() {
                    tokio::time::sleep(delay).await;
                }
                Ok(())
            }
            Decision::Stop(reason) => Err(error(reason)),
        }
    }

    /// Turns away what must not start: too late, or under quarantine.
    fn admit(&self, snapshot: &Snapshot) -> Result<(), Error> {
        let now = self.worker.shared.now();
        if now >= self.call.times.deadline {
            return Err(Error::Deadline);
        }
        if snapshot.quarantine.is_empty() {
            return Ok(());
        }
        match snapshot.quarantine.verdict(now, self.call.fingerprint) {
            quarantine::Verdict::Refused { retry_after } => Err(Error::Quarantined { retry_after }),
            quarantine::Verdict::Clear | quarantine::Verdict::Alone => Ok(()),
        }
    }

    /// Chooses an endpoint and counts the attempt there, or waits a little when there is none.
    async fn choose(&mut self, snapshot: &Snapshot, service: &Service) -> Result<Option<Running>, Error> {
        let now = self.worker.shared.now();
        let apart = self.is_apart(snapshot, now);
        let mut exclude = Cow::Borrowed(self.tried.as_slice());
        if apart {
            let taken = snapshot
                .endpoints
                .iter()
                .filter(|(_, endpoint)| endpoint.seat.is_taken());
            exclude.to_mut().extend(taken.map(|(key, _)| key));
        }
        let crowded = exclude.len() > self.tried.len();
        match self.try_choose(snapshot, service, now, &exclude) {
            Ok((choice, guard)) => {
                let Some(endpoint) = snapshot.endpoints.get(choice.key) else {
                    return Ok(None);
                };
                let seat = if apart { endpoint.seat.take() } else { None };
                // Another suspect may have been quicker; the next look sees it there.
                Ok((seat.is_some() || !apart).then(|| Running {
                    endpoint: Arc::clone(endpoint),
                    key: choice.key,
                    span: Span::default(),
                    _guard: guard,
                    _seat: seat,
                }))
            }
            Err(Refusal::Nowhere) if crowded => {
                self.crowded += 1;
                tokio::time::sleep(ENDPOINT_LOOK).await;
                Ok(None)
            }
            Err(Refusal::Later { until }) => {
                let until = until.min(self.call.times.deadline);
                tokio::time::sleep(until.since(now).max(ENDPOINT_LOOK)).await;
                Ok(None)
            }
            Err(Refusal::Nowhere) if !self.tried.is_empty() => {
                // All were tried. One that failed may have come back, so it is better than none.
                self.tried.clear();
                Ok(None)
            }
            Err(Refusal::Nowhere) => {
                let waited = ENDPOINT_LOOK.saturating_mul(self.lost);
                if self.made == 0 || waited >= ENDPOINT_WAIT {
                    return Err(Error::NoEndpoint);
                }
                self.lost += 1;
                tokio::time::sleep(ENDPOINT_LOOK).await;
                Ok(None)
            }
        }
    }

    /// Returns whether the request is suspected, and has not yet waited too long for an endpoint without a suspect.
    fn is_apart(&self, snapshot: &Snapshot, now: Instant) -> bool {
        !snapshot.quarantine.is_empty()
            && snapshot.quarantine.verdict(now, self.call.fingerprint) == quarantine::Verdict::Alone
            && ENDPOINT_LOOK.saturating_mul(self.crowded) < APART_WAIT
    }

    fn try_choose(
        &self,
        snapshot: &Snapshot,
        service: &Service,
        now: Instant,
        exclude: &[key::Endpoint],
    ) -> Result<(Choice, flight::Guard), Refusal> {
        let call = &self.call;
        let ask = Ask {
            now,
            service: service.number,
            zones: snapshot.zones_for(service, &call.organisation),
            classes: service.classes,
            urgency: call.urgency,
            first_token: call.times.first,
            between_tokens: call.times.between,
            deadline: call.times.deadline,
            prompt_tokens: call.work.prompt_tokens,
            answer_tokens: call.work.answer_tokens,
            prefix: &call.work.prefix,
            block_tokens: BLOCK_TOKENS,
            exclude,
            ..Ask::default()
        };
        let policy = &self.worker.shared.policy;
        let choice = self
            .worker
            .with_generator(|generator| policy.choose(&snapshot.view, &ask, generator))?;
        let guard = snapshot.view.send(&choice, &ask);
        Ok((choice, guard))
    }

    fn span(&self, running: &Running) -> Span {
        let mut span = self.trace.span(Hop::Attempt);
        span.note("endpoint", &running.endpoint.vm);
        span.note("zone", &running.endpoint.zone);
        span.note("attempt", &self.made);
        span
    }

    async fn send(&self, service: &Service, running: &Running, body: call::Body) -> Result<Answer, Failure> {
        let call = &self.call;
        let Some(adapter) = self.worker.adapter(&service.adapter) else {
            return Err(Failure::Encode(format!("no adapter is called {}", service.adapter)));
        };
        let left = call.times.deadline.since(self.worker.shared.now());
        let mut headers = call.headers.clone();
        headers.insert(
            HeaderName::from_static(ORGANISATION),
            HeaderValue::from_str(call.organisation.as_str()).unwrap_or(HeaderValue::from_static("")),
        );
        running.span.pass_on(&mut headers);
        let attempt = call::Call {
            target: running.endpoint.target.clone(),
            attempt: self.worker.draw(),
            method: call.method.clone(),
            path: call.path.clone(),
            headers,
            body,
            timeout: call.times.head.min(left),
        };
        adapter.send(attempt).await
    }

    fn refuses(&self, service: &Service, answer: &Answer) -> bool {
        let adapter = self.worker.adapter(&service.adapter);
        adapter.is_some_and(|adapter| adapter.refuses(answer))
    }

    /// Asks the control thread what became of an endpoint.
    async fn ask(&self, running: &Running, failure: &Failure) -> Verdict {
        let (answer, verdict) = oneshot::channel();
        self.worker.shared.control.send(control::Request::Broken {
            endpoint: Arc::clone(&running.endpoint),
            connected: !matches!(failure, Failure::Connect(_)),
            fingerprint: self.call.fingerprint,
            answer,
        });
        match tokio::time::timeout(VERDICT_WAIT, verdict).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) | Err(_) => Verdict::default(),
        }
    }
}

/// Tells endpoints whose request it is.
const ORGANISATION: &str = "x-bergamotshift-organisation";
