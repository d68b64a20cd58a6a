//! Sends a request to endpoints until one responds or no further attempt is allowed.

use core::time::Duration;
use std::sync::Arc;

use bergamotshift_rollout::evidence::Group;
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
use crate::choice::Choice;
use crate::dialect::Envelope;
use crate::dialect::Notice;
use crate::document::Kind;
use crate::endpoint::Guard;
use crate::endpoint::Unanswered;
use crate::exchange;
use crate::exchange::Connection;
use crate::exchange::Failure;
use crate::exchange::Head;
use crate::observe::Topic;
use crate::rollouts::Observer;

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

/// Outcome of one attempt.
enum Outcome {
    /// The response can be returned to the caller.
    Accepted(Box<Exchange>),
    /// Another attempt may follow; a server error is kept in case no other endpoint responds.
    Retry(Option<Box<Exchange>>),
    /// No further attempt is allowed.
    Refused(Refusal),
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
                Outcome::Accepted(exchange) => return Ok(*exchange),
                Outcome::Retry(response) => fallback = response.or(fallback),
                Outcome::Refused(refusal) => return fallback.map(|exchange| *exchange).ok_or(refusal),
            }
        }
    }

    /// Sends a request to one endpoint.
    async fn attempt(&self, job: &Job, history: &mut History, last_event: Option<u64>) -> Outcome {
        if job.deadline.since(self.shared.clock.now()) < MIN_TIME_LEFT {
            return self.stop(job, history, Stop::Late, history.refusal(true));
        }
        let view = self.shared.view.load_full();
        let Some(service) = view.services.get(&job.service) else {
            return self.stop(job, history, Stop::NoService, history.refusal(false));
        };
        if let Some(refusal) = self.refuse_suspect(&view, job, history) {
            return self.stop(job, history, Stop::Suspect, refusal);
        }
        let choice = match self.choose(service, job, history).await {
            Ok(choice) => choice,
            Err(refusal) => return self.stop(job, history, Stop::NoEndpoint, refusal),
        };
        // A retry loads the service even if the request has not run yet, so it draws from the retry budget.
        let is_retry = history.sends > 0;
        if is_retry && !service.budget.try_withdraw() {
            return self.stop(job, history, Stop::Budget, history.refusal(false));
        }
        let sends = history.sends;
        let error = match self.send(job, &choice, history, last_event).await {
            Ok(exchange) => return Outcome::Accepted(Box::new(exchange)),
            Err(error) => error,
        };
        if is_retry && history.sends == sends {
            service.budget.refund();
        }
        let fallback = self.handle_error(job, &choice, history, error);
        if history.can_retry(job) {
            return Outcome::Retry(fallback);
        }
        let timed_out = job.deadline.since(self.shared.clock.now()) < MIN_TIME_LEFT;
        match fallback {
            Some(exchange) => Outcome::Accepted(exchange),
            None => self.stop(job, history, Stop::Attempts, history.refusal(timed_out)),
        }
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

    /// Sends a request to the chosen endpoint and checks the head of its response.
    async fn send(
        &self,
        job: &Job,
        choice: &Choice,
        history: &mut History,
        last_event: Option<u64>,
    ) -> Result<Exchange, Error> {
        let endpoint = &choice.endpoint;
        let estimate = Estimate::new(choice);
        let mut guard = Guard::take(Arc::clone(endpoint), choice.unread);
        history.tried.push(endpoint.hash);
        let mut connection = self.connect(job, endpoint).await?;
        let now = self.shared.clock.now();
        let time_left = job.deadline.since(now);
        if time_left < MIN_TIME_LEFT {
            return Err(Error::Unreachable);
        }
        let is_closed = endpoint.signals.paused_until(now).is_some()
            || endpoint.signals.tolerance.closed_until(now, endpoint.room()).is_some();
        if endpoint.is_leaving() || is_closed {
            return Err(Error::Unavailable);
        }
        let mut unanswered = Unanswered::begin(endpoint, self.shared.clock, now);
        history.sends += 1;
        history.estimate = Some(Estimate { sent: now, ..estimate });
        self.shared.metrics.sends.inc();
        self.shared
            .cache_index()
            .record_choice(now, endpoint.hash, &job.metadata.parts);
        guard = guard.with_observer(self.observer(job, choice));
        let envelope = Envelope {
            expected: &endpoint.registration.id,
            organisation: job.organisation.as_ref(),
            time_left: job.time_left_ms(now + RETURN_MARGIN),
            source: choice.source,
            urgency: self.is_engine(job).then_some(job.urgency.min(9)),
            last_event,
        };
        let headers = self.shared.dialect.towards_endpoint(&job.headers, &envelope);
        let request = exchange::encode(&job.method, &job.path, &headers, &job.body);
        let dialect = &self.shared.dialect;
        let is_expected = |head: &Head| dialect.echoes(&head.headers, &job.metadata.id);
        let can_repeat = job.route.attempts > history.sends;
        let response_timeout = job
            .response_timeout()
            .filter(|_| can_repeat)
            .map_or(time_left, |limit| limit.min(time_left));
        let is_new_path = !connection.is_tunnel() && connection.bytes_received() == 0;
        let exchange = connection.send(&request, &job.method, is_expected);
        let exchanged = timeout(response_timeout, exchange)
            .await
            .unwrap_or(Err(Failure::Silent));
        if is_new_path {
            self.record_path(endpoint, &connection, exchanged.as_ref().err());
        }
        let head = match exchanged {
            Ok(head) => head,
            Err(failure) => {
                guard.record_version_failure();
                return Err(Error::Failed(failure));
            }
        };
        let notice = self.apply_notice(job, choice, now, &head);
        if let Some(estimate) = &mut history.estimate {
            estimate.pace = self.apply_load(job, endpoint, &head);
        }
        if head.status == StatusCode::SERVICE_UNAVAILABLE && self.shared.dialect.says_not_run(&head.headers) {
            unanswered.reject();
        }
        drop(unanswered);
        let exchange = Exchange {
            head,
            connection,
            guard,
        };
        self.check_response(job, exchange, notice)
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
                endpoint.health.record_failure();
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
