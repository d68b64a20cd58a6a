//! Sends a request to endpoints until one responds or no further attempt is allowed.

use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::retry::Withdrawal;
use bergamotshift_limit::silence::Action;
use bergamotshift_rollout::evidence::Group;
use futures_util::future::Either;
use futures_util::future::select;
use ntex::http::StatusCode;
use ntex::http::header;
use slog::info;
use smol_str::SmolStr;
use thiserror::Error as ThisError;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use super::Forwarder;
use super::job::Job;
use super::pace::Estimate;
use super::pace::Pace;
use super::refusal::Reason;
use super::refusal::Refusal;
use super::stream::Replacement;
use crate::choice::Choice;
use crate::dialect::Envelope;
use crate::dialect::Notice;
use crate::document::Kind;
use crate::endpoint::Endpoint;
use crate::endpoint::Guard;
use crate::endpoint::Unanswered;
use crate::exchange;
use crate::exchange::Connection;
use crate::exchange::Failure;
use crate::exchange::Head;
use crate::observe::Topic;
use crate::rollouts::Observer;
use crate::view::View;

/// Maximum number of attempts that end before a request is sent. Unreachable endpoints are skipped after their first
/// failure.
const MAX_UNSENT_ATTEMPTS: usize = 4;

/// Part of the caller's time that is reserved for returning the response.
const RETURN_MARGIN: Duration = Duration::from_millis(5);

/// Minimum time left for sending a request; an endpoint could not respond in less.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// Attempts of a request so far.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    /// Hashes of the endpoints that received it or could not be reached.
    pub(super) tried: Vec<u64>,
    /// Number of times that it was sent.
    pub(super) sends: u32,
    /// Number of sends that provably did not run.
    not_run: u32,
    /// Number of attempts that ended before it was sent.
    unsent: usize,
    /// Whether no entry passes requests on to endpoints that this one does not reach.
    lacks_path: bool,
    /// Estimate for the last send.
    pub(super) estimate: Option<Estimate>,
    /// Timing of the events of its response.
    pub(super) pace: Pace,
    /// Version that began its stream, at which alone it may go on; `None` before the first event.
    pub(super) version: Option<SmolStr>,
}

impl History {
    /// Returns the version at which alone the request may go on.
    pub(super) fn version(&self) -> Option<&str> {
        self.version.as_deref()
    }

    /// Returns whether an endpoint may have run the request.
    pub(super) const fn may_have_run(&self) -> bool {
        self.sends > self.not_run
    }

    /// Returns whether another endpoint may be tried.
    ///
    /// A route limits the number of endpoints that may have run a request. An endpoint that proves that it did not run
    /// the request allows one more send.
    fn can_retry(&self, job: &Job) -> bool {
        let ran = self.sends - self.not_run;
        let repeatable = ran == 0 || job.route.is_repeatable();
        let attempts_left = ran < job.route.attempts && self.sends <= job.route.attempts;
        repeatable && attempts_left && self.unsent < MAX_UNSENT_ATTEMPTS
    }

    /// Returns the refusal of a request that has no time or no attempts left.
    ///
    /// The refusal states that the request did not run only if it was never sent, or if all endpoints that received it
    /// proved that they did not run it. Otherwise its caller would send it again, and it would run twice.
    pub(super) fn refusal(&self, timed_out: bool) -> Refusal {
        let reason = match (self.may_have_run(), timed_out) {
            (true, true) => Reason::TimedOut,
            (true, false) => Reason::Broken,
            (false, true) => Reason::Unsent,
            (false, false) if self.sends > 0 => Reason::Unrun,
            (false, false) if self.lacks_path => Reason::Stranded,
            (false, false) => Reason::NoEndpoint,
        };
        reason.into()
    }
}

/// Exchange with an endpoint whose response head has arrived and whose body is still to be read.
#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) head: Head,
    pub(super) connection: Connection,
    pub(super) guard: Guard,
    pub(super) estimate: Estimate,
}

/// Attempt with an open connection, whose request is not sent yet.
struct Prepared<'a> {
    choice: Choice,
    estimate: Estimate,
    guard: Guard,
    connection: Connection,
    /// Retry that it takes from the budget; `None` for the first send.
    withdrawal: Option<Withdrawal<'a>>,
}

/// Request that was sent to an endpoint, without a response yet.
struct Sent {
    choice: Choice,
    estimate: Estimate,
    connection: Connection,
    guard: Guard,
    unanswered: Unanswered,
    /// Its bytes.
    request: Vec<u8>,
    /// Whether the connection was opened for it, directly.
    is_new_path: bool,
}

/// Error of an attempt without an acceptable response.
pub(super) enum Error {
    /// The endpoint proved that it did not run the request.
    NotRun,
    /// The endpoint proved that it did not run the request, and named a time for which it accepts none.
    RetryLater,
    /// The endpoint stopped accepting requests, according to another response, while this request waited for a
    /// connection.
    Unavailable,
    /// The endpoint responded with a server error, which is returned if no other endpoint responds.
    Status(Box<Exchange>),
    /// No connection was opened in time.
    Unreachable,
    /// This entry does not reach the endpoint, and no other one passes requests on.
    NoPath,
    /// The exchange failed.
    Failed(Failure),
}

/// Cause for which a request is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(ThisError)]
enum Stop {
    /// The time left is too short for a response.
    #[error("the time is over")]
    Late,
    /// The document has no such service any more.
    #[error("the service is gone")]
    NoService,
    /// The request is suspected of crashing endpoints.
    #[error("the request is suspected of crashing endpoints")]
    Suspect,
    /// No endpoint accepts the request, or none is expected to respond in time.
    #[error("no endpoint accepts it in time")]
    NoEndpoint,
    /// The retry budget of the service is empty.
    #[error("the retry budget is empty")]
    Budget,
    /// The route allows no further attempt, or the request may have run and must not be repeated.
    #[error("no further attempt is allowed")]
    Attempts,
}

/// First response of an endpoint and its replacements.
enum Winner {
    /// Response of the endpoint, or its failure.
    First(Result<Head, Failure>),
    /// Response of a replacement.
    Replacement(Box<Exchange>),
}

/// Outcome of one attempt.
enum Outcome {
    /// The response can be returned to the caller.
    Accepted(Box<Exchange>),
    /// Another attempt may follow; a server error is kept in case no other endpoint responds.
    Retry(Option<Box<Exchange>>),
    /// No further attempt is allowed.
    Refused(Refusal),
}

impl Outcome {
    /// Keeps the server error of an earlier attempt in case no other endpoint responds.
    fn or(self, fallback: Option<Box<Exchange>>) -> Self {
        match (self, fallback) {
            (Self::Retry(response), fallback) => Self::Retry(response.or(fallback)),
            (Self::Refused(_), Some(exchange)) => Self::Accepted(exchange),
            (outcome, _) => outcome,
        }
    }
}

impl Forwarder {
    /// Sends a request until an endpoint responds.
    ///
    /// # Errors
    ///
    /// Returns the refusal when no further attempt is allowed and no endpoint responded.
    pub(super) async fn send_with_retries(
        &self,
        job: &Job,
        history: &mut History,
        last_event: Option<u64>,
    ) -> Result<Exchange, Refusal> {
        let mut fallback = None;
        loop {
            match self.attempt(job, history, last_event).await {
                Outcome::Accepted(exchange) => {
                    history.estimate = Some(exchange.estimate.clone());
                    return Ok(*exchange);
                }
                Outcome::Retry(response) => fallback = response.or(fallback),
                Outcome::Refused(refusal) => return fallback.map(|exchange| *exchange).ok_or(refusal),
            }
        }
    }

    /// Sends a request to one endpoint.
    async fn attempt(&self, job: &Job, history: &mut History, last_event: Option<u64>) -> Outcome {
        let view = self.shared.view.load_full();
        let prepared = match self.prepare(&view, job, history).await {
            Ok(prepared) => prepared,
            Err(outcome) => return outcome,
        };
        let mut sent = self.send(job, prepared, history, last_event);
        if let Some(limit) = job.response_timeout() {
            return self.receive_or_replace(job, sent, history, limit).await;
        }
        let received = self.receive(job, &mut sent).await;
        self.conclude(job, history, sent, received)
    }

    /// Waits for the response to a request that may run twice. If its endpoint is silent for longer than `limit`, other
    /// endpoints are tried meanwhile, and the first response is taken.
    async fn receive_or_replace(&self, job: &Job, mut sent: Sent, history: &mut History, limit: Duration) -> Outcome {
        let mut fallback = None;
        match self.race(job, &mut sent, history, limit, &mut fallback).await {
            Winner::First(received) => self.conclude(job, history, sent, received).or(fallback),
            Winner::Replacement(exchange) => {
                self.give_up(job, &mut sent.guard);
                Outcome::Accepted(exchange)
            }
        }
    }

    /// Waits for the response to a request and, while its endpoint is silent, for those of replacements.
    async fn race(
        &self,
        job: &Job,
        sent: &mut Sent,
        history: &mut History,
        limit: Duration,
        fallback: &mut Option<Box<Exchange>>,
    ) -> Winner {
        let endpoint = Arc::clone(&sent.choice.endpoint);
        let mut receiving = Box::pin(self.receive(job, sent));
        let mut watch = self.watch(limit);
        loop {
            let may_repeat = history.can_retry(job) && history.sends < job.route.attempts;
            let action = if may_repeat {
                self.watch_attempt(job, &watch, &endpoint)
            } else {
                Action::Wait(Instant::MAX)
            };
            match action {
                Action::Wait(until) => {
                    let wait = until.since(self.shared.clock.now());
                    if let Ok(received) = timeout(wait, &mut receiving).await {
                        return Winner::First(received);
                    }
                }
                Action::GiveUp => return Winner::First(Err(Failure::Silent)),
                Action::Replace { .. } => {
                    let sends = history.sends;
                    let replacing = Box::pin(self.attempt(job, history, None));
                    let failed = match select(receiving, replacing).await {
                        Either::Left((received, _)) => {
                            self.shared.metrics.count_replacement("overtaken");
                            return Winner::First(received);
                        }
                        Either::Right((Outcome::Accepted(exchange), _)) => {
                            self.shared.metrics.count_replacement("answered");
                            return Winner::Replacement(exchange);
                        }
                        Either::Right((failed, first)) => {
                            receiving = first;
                            failed
                        }
                    };
                    self.shared.metrics.count_replacement("failed");
                    if let Outcome::Retry(response) = failed {
                        *fallback = response.or(fallback.take());
                    }
                    watch.postpone(self.shared.clock.now(), history.sends > sends);
                }
            }
        }
    }

    /// Sends a request that goes on after `last_event` to another endpoint than those tried, and waits until its stream has
    /// begun. It has at most the time `overlap` after it is sent.
    ///
    /// # Errors
    ///
    /// Returns the outcome when no endpoint's stream began. An attempt that was not sent costs no retry.
    pub(super) async fn replace_stream(
        &self,
        job: &Job,
        history: &mut History,
        last_event: Option<u64>,
        overlap: Option<Duration>,
    ) -> Result<Replacement, &'static str> {
        let view = self.shared.view.load_full();
        history.unsent = 0;
        let prepared = loop {
            match self.prepare(&view, job, history).await {
                Ok(prepared) => break prepared,
                Err(Outcome::Retry(_)) => {}
                Err(_) => return Err("refused"),
            }
        };
        if overlap.is_some_and(|overlap| prepared.choice.cost > overlap.as_secs_f64() * 1e3) {
            return Err("slow");
        }
        let mut sent = self.send(job, prepared, history, last_event);
        let beginning = async {
            let received = self.receive(job, &mut sent).await;
            match self.conclude(job, history, sent, received) {
                Outcome::Accepted(exchange) => Replacement::begin(self, job, *exchange, last_event).await,
                Outcome::Retry(_) | Outcome::Refused(_) => Err("failed"),
            }
        };
        match overlap {
            None => beginning.await,
            Some(overlap) => timeout(overlap, beginning).await.unwrap_or(Err("late")),
        }
    }

    /// Checks the response to a request, and returns what follows from it or from its failure.
    fn conclude(&self, job: &Job, history: &mut History, sent: Sent, received: Result<Head, Failure>) -> Outcome {
        let Sent {
            choice,
            estimate,
            connection,
            mut guard,
            mut unanswered,
            ..
        } = sent;
        let head = match received {
            Ok(head) => head,
            Err(failure) => {
                if self.is_endpoints_failure(job, &failure) {
                    guard.record_version_failure();
                }
                return self.retry_or_stop(job, &choice, history, Error::Failed(failure));
            }
        };
        let notice = self.apply_notice(job, &choice, estimate.sent, &head);
        let pace = self.apply_load(job, &choice.endpoint, &head);
        if head.status == StatusCode::SERVICE_UNAVAILABLE && self.shared.dialect.says_not_run(&head.headers) {
            unanswered.reject();
        }
        drop(unanswered);
        let exchange = Exchange {
            head,
            connection,
            guard,
            estimate: Estimate { pace, ..estimate },
        };
        match self.check_response(job, exchange, notice) {
            Ok(exchange) => Outcome::Accepted(Box::new(exchange)),
            Err(error) => self.retry_or_stop(job, &choice, history, error),
        }
    }

    /// Returns what follows from the failure of an attempt.
    fn retry_or_stop(&self, job: &Job, choice: &Choice, history: &mut History, error: Error) -> Outcome {
        let fallback = self.handle_error(job, choice, history, error);
        if history.can_retry(job) {
            return Outcome::Retry(fallback);
        }
        let timed_out = job.deadline.since(self.shared.clock.now()) < MIN_TIME_LEFT;
        match fallback {
            Some(exchange) => Outcome::Accepted(exchange),
            None => self.stop(job, history, Stop::Attempts, history.refusal(timed_out)),
        }
    }

    /// Chooses an endpoint, takes a retry from the budget, and opens a connection.
    async fn prepare<'a>(&self, view: &'a View, job: &Job, history: &mut History) -> Result<Prepared<'a>, Outcome> {
        if job.deadline.since(self.shared.clock.now()) < MIN_TIME_LEFT {
            return Err(self.stop(job, history, Stop::Late, history.refusal(true)));
        }
        let Some(service) = view.services.get(&job.service) else {
            return Err(self.stop(job, history, Stop::NoService, history.refusal(false)));
        };
        if let Some(refusal) = self.refuse_suspect(view, job, history) {
            return Err(self.stop(job, history, Stop::Suspect, refusal));
        }
        let choice = match self.choose(service, job, history).await {
            Ok(choice) => choice,
            Err(refusal) => return Err(self.stop(job, history, Stop::NoEndpoint, refusal)),
        };
        // A retry loads the service even if the request has not run yet, so it draws from the retry budget.
        let withdrawal = if history.sends == 0 {
            None
        } else {
            let withdrawal = service.budget.withdraw();
            if withdrawal.is_none() {
                return Err(self.stop(job, history, Stop::Budget, history.refusal(false)));
            }
            withdrawal
        };
        let estimate = Estimate::new(&choice);
        let guard = Guard::take(Arc::clone(&choice.endpoint), choice.unread);
        history.tried.push(choice.endpoint.hash);
        match self.open(job, &choice.endpoint).await {
            Ok(connection) => Ok(Prepared {
                choice,
                estimate,
                guard,
                connection,
                withdrawal,
            }),
            Err(error) => {
                drop(withdrawal);
                Err(self.retry_or_stop(job, &choice, history, error))
            }
        }
    }

    /// Opens a connection on which a request may be sent to an endpoint.
    async fn open(&self, job: &Job, endpoint: &Endpoint) -> Result<Connection, Error> {
        let connection = self.connect(job, endpoint).await?;
        let now = self.shared.clock.now();
        if job.deadline.since(now) < MIN_TIME_LEFT {
            return Err(Error::Unreachable);
        }
        let is_closed = endpoint.signals.paused_until(now).is_some()
            || endpoint.signals.tolerance.closed_until(now, endpoint.room()).is_some();
        if endpoint.is_leaving() || is_closed {
            return Err(Error::Unavailable);
        }
        Ok(connection)
    }

    /// Returns the refusal of a request that is not sent again, and logs the cause if it was sent before.
    fn stop(&self, job: &Job, history: &History, cause: Stop, refusal: Refusal) -> Outcome {
        let now = self.shared.clock.now();
        if history.sends > 0
            && let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Attempt)
        {
            let view = self.shared.view.load();
            let service = view.services.get(&job.service);
            info!(logger, "request not sent again"; "request" => job.metadata.id.as_str(),
                "route" => job.route.name.as_str(), "cause" => %cause, "sends" => history.sends,
                "attempts" => job.route.attempts, "version" => history.version(),
                "retries_left" => service.map(|service| service.budget.available()),
                "left_ms" => job.time_left_ms(now), "document" => self.document_version(), "left_out" => left_out);
        }
        Outcome::Refused(refusal)
    }

    /// Counts a request as sent, and returns what its endpoint is to receive.
    fn send(&self, job: &Job, prepared: Prepared<'_>, history: &mut History, last_event: Option<u64>) -> Sent {
        let Prepared {
            choice,
            estimate,
            guard,
            connection,
            withdrawal,
        } = prepared;
        let endpoint = &choice.endpoint;
        let now = self.shared.clock.now();
        let unanswered = Unanswered::begin(endpoint, self.shared.clock, now);
        history.sends += 1;
        if let Some(withdrawal) = withdrawal {
            withdrawal.spend();
        }
        self.shared.metrics.sends.inc();
        self.shared
            .cache_index()
            .record_choice(now, endpoint.hash, &job.metadata.parts);
        let guard = guard.with_observer(self.observer(job, &choice));
        let envelope = Envelope {
            expected: &endpoint.registration.id,
            organisation: job.organisation.as_ref(),
            time_left: job.time_left_ms(now + RETURN_MARGIN),
            source: choice.source,
            urgency: self.is_engine(job).then_some(job.urgency.min(9)),
            last_event,
        };
        let headers = self.shared.dialect.towards_endpoint(&job.headers, &envelope);
        Sent {
            request: exchange::encode(&job.method, &job.path, &headers, &job.body),
            is_new_path: !connection.is_tunnel() && connection.bytes_received() == 0,
            choice,
            estimate: Estimate { sent: now, ..estimate },
            connection,
            guard,
            unanswered,
        }
    }

    /// Sends the bytes of a request, and returns the head of the response.
    async fn receive(&self, job: &Job, sent: &mut Sent) -> Result<Head, Failure> {
        let dialect = &self.shared.dialect;
        let is_expected = |head: &Head| dialect.echoes(&head.headers, &job.metadata.id);
        let time_left = job.deadline.since(sent.estimate.sent);
        let exchange = sent.connection.send(&sent.request, &job.method, is_expected);
        let received = timeout(time_left, exchange).await.unwrap_or(Err(Failure::Silent));
        if sent.is_new_path {
            self.record_path(&sent.choice.endpoint, &sent.connection, received.as_ref().err());
        }
        received
    }

    /// Returns an observer of the response while two versions of the service are compared.
    fn observer(&self, job: &Job, choice: &Choice) -> Option<Observer> {
        /// Time that the network round trip and the endpoint's scheduling add to the expected time, in milliseconds.
        const OVERHEAD_MS: f64 = 40.0;
        /// Share of its objective that a plain request is expected to take.
        const PLAIN_SHARE: f64 = 0.25;
        let view = self.shared.view.load();
        let service = view.services.get(&job.service)?;
        let canary = service.canary.as_ref()?;
        let endpoint = choice.endpoint.hash;
        let group = if service.endpoints.iter().any(|stable| stable.hash == endpoint) {
            Group::Stable
        } else {
            Group::canary(endpoint)
        };
        let expected = if choice.is_learned {
            choice.cost
        } else if service.engine.is_some() {
            choice.cost + OVERHEAD_MS
        } else {
            job.route.objective.as_secs_f64() * 1e3 * PLAIN_SHARE
        };
        let route = xxh3_64(job.route.name.as_bytes()) as u32;
        let observer = Observer::new(
            &self.shared.rollout_evidence,
            self.shared.clock,
            &job.service,
            canary.order,
            route,
        );
        Some(observer.expecting(group, expected))
    }

    /// Distinguishes a response that the caller may get from one that calls for another attempt.
    ///
    /// A refusal that names a retry time is not a failure: it counts neither against the endpoint's health nor as
    /// evidence against its version.
    fn check_response(&self, job: &Job, mut exchange: Exchange, notice: Notice) -> Result<Exchange, Error> {
        let has_retry_after = notice.retry_after.is_some();
        let Head { status, headers, .. } = &exchange.head;
        if *status == StatusCode::MISDIRECTED_REQUEST {
            // Another incarnation has the address, so the expected one is gone.
            exchange.guard.endpoint().mark_leaving();
            return Err(Error::NotRun);
        }
        if self.shared.dialect.says_not_run(headers) {
            if has_retry_after {
                return Err(Error::RetryLater);
            }
            exchange.guard.record_version_failure();
            return Err(Error::NotRun);
        }
        let is_sealed = self.shared.dialect.is_sealed(headers);
        if status.is_success() && (!is_sealed || headers.contains_key(header::CONTENT_ENCODING)) {
            exchange.guard.record_version_failure();
            return Err(Error::Failed(Failure::Malformed(
                "a success has no seal or has a content encoding",
            )));
        }
        if status.is_server_error() {
            if !has_retry_after {
                exchange.guard.record_failure();
            }
            if job.route.kind == Kind::Idempotent {
                return Err(Error::Status(Box::new(exchange)));
            }
        }
        Ok(exchange)
    }

    /// Records the consequences of an attempt without an acceptable response; returns the server error, if it was one.
    fn handle_error(&self, job: &Job, choice: &Choice, history: &mut History, error: Error) -> Option<Box<Exchange>> {
        let now = self.shared.clock.now();
        let endpoint = &choice.endpoint;
        let mut fallback = None;
        let cause = match error {
            Error::NotRun => {
                history.not_run += 1;
                endpoint.health.record_failure();
                "the endpoint refused the request without running it".to_owned()
            }
            Error::RetryLater => {
                history.not_run += 1;
                "the endpoint refused the request without running it and named a retry time".to_owned()
            }
            Error::Unavailable => {
                history.unsent += 1;
                "the endpoint accepts no requests".to_owned()
            }
            Error::Unreachable => {
                history.unsent += 1;
                endpoint.health.record_unreachable(now);
                "the endpoint cannot be reached".to_owned()
            }
            Error::NoPath => {
                history.unsent = MAX_UNSENT_ATTEMPTS;
                history.lacks_path = true;
                "no entry reaches the endpoint".to_owned()
            }
            Error::Status(exchange) => {
                let cause = format!("the endpoint answered {}", exchange.head.status.as_u16());
                fallback = Some(exchange);
                cause
            }
            Error::Failed(failure) => {
                if self.is_endpoints_failure(job, &failure) {
                    endpoint.health.record_failure();
                }
                self.shared.metrics.count_given_up(failure.name());
                self.report_broken(job, endpoint, &failure, false);
                failure.to_string()
            }
        };
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Attempt) {
            info!(logger, "attempt failed"; "request" => job.metadata.id.as_str(), "route" => job.route.name.as_str(),
                "endpoint" => endpoint.registration.id.as_str(), "cause" => cause, "sends" => history.sends,
                "expected_ms" => choice.cost as u64, "running" => endpoint.running(),
                "document" => self.document_version(), "left_out" => left_out);
        }
        fallback
    }

    /// Returns the version of the document in force; 0 without a document.
    pub(super) fn document_version(&self) -> u64 {
        let view = self.shared.view.load();
        view.table.as_ref().map_or(0, |table| table.document().version)
    }
}
