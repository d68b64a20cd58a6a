//! Sends a request to endpoints until one responds or no further attempt is allowed.

use core::time::Duration;
use std::rc::Rc;

use bergamotshift_core::outcome;
use bergamotshift_limit::guarantee;
use ntex::http::StatusCode;
use ntex::http::header;
use slog::info;
use smol_str::SmolStr;
use thiserror::Error as ThisError;

use super::Forwarder;
use super::job::Job;
use super::pace::Estimate;
use super::pace::Pace;
use super::refusal::Reason;
use super::refusal::Refusal;
use super::send::Sent;
use super::witness::Witness;
use crate::choice::Choice;
use crate::dialect::Notice;
use crate::document::Kind;
use crate::endpoint::Guard;
use crate::endpoint::Wanted;
use crate::exchange::Connection;
use crate::exchange::Failure;
use crate::exchange::Head;
use crate::observe::Topic;

/// Maximum number of attempts that end before a request is sent. Unreachable endpoints are skipped after their first
/// failure.
const MAX_UNSENT_ATTEMPTS: usize = 4;

/// Minimum time left for sending a request; an endpoint could not respond in less.
pub(super) const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

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
    pub(super) unsent: usize,
    /// Whether no entry passes requests on to endpoints that this one does not reach.
    lacks_path: bool,
    /// Estimate for the last send.
    pub(super) estimate: Option<Estimate>,
    /// Timing of the events of its response.
    pub(super) pace: Pace,
    /// Version that began its stream, at which alone it may go on; `None` before the first event.
    pub(super) version: Option<SmolStr>,
    /// Whether it begins a stream, which only declared versions may.
    pub(super) begins_stream: bool,
}

impl History {
    /// Returns the version at which alone the request may go on.
    pub(super) fn version(&self) -> Option<&str> {
        self.version.as_deref()
    }

    /// Returns the versions that the request may go to.
    pub(super) fn wanted(&self) -> Wanted<&str> {
        Wanted::new(self.version(), self.begins_stream)
    }

    /// Returns whether an endpoint may have run the request.
    pub(super) const fn may_have_run(&self) -> bool {
        self.sends > self.not_run
    }

    /// Returns whether the caller may get a status, which may guarantee that its request has not run.
    pub(super) fn may_state(&self, job: &Job, status: StatusCode) -> bool {
        let outcome = if self.may_have_run() {
            outcome::Outcome::Unknown
        } else {
            outcome::Outcome::NotRun
        };
        guarantee::may_state(status.as_u16(), outcome, job.route.is_repeatable())
    }

    /// Returns whether another endpoint may be tried.
    ///
    /// A route limits the number of endpoints that may have run a request. An endpoint that proves that it did not run
    /// the request allows one more send.
    pub(super) fn can_retry(&self, job: &Job) -> bool {
        let ran = self.sends - self.not_run;
        let repeatable = ran == 0 || job.route.is_repeatable();
        let attempts_left = ran < job.route.attempts && self.sends <= job.route.attempts;
        repeatable && attempts_left && self.unsent < MAX_UNSENT_ATTEMPTS
    }

    /// Returns the refusal of a request that is under way when the entry's stop ends.
    pub(super) fn refusal_at_end(&self) -> Refusal {
        if self.may_have_run() {
            Reason::Ended
        } else {
            Reason::Stopping
        }
        .into()
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
    /// Witness of the endpoint's process that was opened when the request was sent.
    pub(super) witness: Option<Rc<Witness>>,
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
pub(super) enum Stop {
    /// The time left is too short for a response.
    #[error("the time is over")]
    Late,
    /// The entry would stop before the answer is complete.
    #[error("the entry stops too soon")]
    Ending,
    /// The document has no such service any more.
    #[error("the service is gone")]
    NoService,
    /// The request is suspected of crashing endpoints.
    #[error("the request is suspected of crashing endpoints")]
    Suspect,
    /// No endpoint accepts the request, or none is expected to respond in time.
    #[error("no endpoint accepts it in time")]
    NoEndpoint,
    /// The endpoint with the earliest response would respond too late beside the one that is silent.
    #[error("no endpoint responds soon enough")]
    Slow,
    /// The retry budget of the service is empty.
    #[error("the retry budget is empty")]
    Budget,
    /// The route allows no further attempt, or the request may have run and must not be repeated.
    #[error("no further attempt is allowed")]
    Attempts,
}

/// Outcome of one attempt.
pub(super) enum Outcome {
    /// The response can be returned to the caller.
    Accepted(Box<Exchange>),
    /// Another attempt may follow; a server error is kept in case no other endpoint responds.
    Retry(Option<Box<Exchange>>),
    /// No further attempt is allowed.
    Refused(Refusal),
}

impl Outcome {
    /// Keeps the server error of an earlier attempt in case no other endpoint responds.
    pub(super) fn or(self, fallback: Option<Box<Exchange>>) -> Self {
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
        self: &Rc<Self>,
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
    pub(super) async fn attempt(self: &Rc<Self>, job: &Job, history: &mut History, last_event: Option<u64>) -> Outcome {
        let view = self.shared.view.load_full();
        let prepared = match self.prepare(&view, job, history, None).await {
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

    /// Checks the response to a request, and returns what follows from it or from its failure.
    pub(super) fn conclude(
        &self,
        job: &Job,
        history: &mut History,
        sent: Sent,
        received: Result<Head, Failure>,
    ) -> Outcome {
        let Sent {
            choice,
            estimate,
            connection,
            mut guard,
            mut unanswered,
            witness,
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
            witness,
        };
        match self.check_response(job, exchange, notice) {
            Ok(exchange) => Outcome::Accepted(Box::new(exchange)),
            Err(error) => self.retry_or_stop(job, &choice, history, error),
        }
    }

    /// Returns what follows from the failure of an attempt.
    pub(super) fn retry_or_stop(&self, job: &Job, choice: &Choice, history: &mut History, error: Error) -> Outcome {
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

    /// Returns the refusal of a request that is not sent again, and logs the cause if it was sent before.
    pub(super) fn stop(&self, job: &Job, history: &History, cause: Stop, refusal: Refusal) -> Outcome {
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
