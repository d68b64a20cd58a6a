//! Sends a request to a chosen endpoint.

use core::time::Duration;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_limit::retry::Withdrawal;
use bergamotshift_rollout::evidence::Group;
use bytes::Bytes;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use super::Forwarder;
use super::attempt::Error;
use super::attempt::History;
use super::attempt::MIN_TIME_LEFT;
use super::attempt::Outcome;
use super::attempt::Stop;
use super::job::Job;
use super::pace::Estimate;
use super::witness::Witness;
use crate::choice::Choice;
use crate::dialect::Envelope;
use crate::endpoint::Endpoint;
use crate::endpoint::Guard;
use crate::endpoint::Unanswered;
use crate::exchange;
use crate::exchange::Connection;
use crate::exchange::Failure;
use crate::exchange::Head;
use crate::rollouts::Observer;
use crate::view::View;

/// Part of the caller's time that is reserved for returning the response.
const RETURN_MARGIN: Duration = Duration::from_millis(5);

/// Maximum size of a body that is copied behind its head, to be sent with it at once; in bytes.
const MAX_JOINED_BODY: usize = 64 << 10;

/// Attempt with an open connection, whose request is not sent yet.
pub(super) struct Prepared<'a> {
    pub(super) choice: Choice,
    pub(super) estimate: Estimate,
    pub(super) guard: Guard,
    pub(super) connection: Connection,
    /// Retry that it takes from the budget; `None` for the first send.
    pub(super) withdrawal: Option<Withdrawal<'a>>,
}

/// Request that was sent to an endpoint, without a response yet.
pub(super) struct Sent {
    pub(super) choice: Choice,
    pub(super) estimate: Estimate,
    pub(super) connection: Connection,
    pub(super) guard: Guard,
    pub(super) unanswered: Unanswered,
    /// Its head, followed by the body if that is small.
    pub(super) request: Bytes,
    /// Its body, if that is large.
    pub(super) body: Bytes,
    /// Whether the connection was opened for it, directly.
    pub(super) is_new_path: bool,
    /// Witness of the endpoint's process, if the answer is expected to have no framing.
    pub(super) witness: Option<Rc<Witness>>,
}

impl Forwarder {
    /// Takes a retry from the budget, chooses an endpoint, and opens a connection. An endpoint that is expected to take longer
    /// than `max_cost` to respond is not used.
    pub(super) async fn prepare<'a>(
        &self,
        view: &'a View,
        job: &Job,
        history: &mut History,
        max_cost: Option<Duration>,
    ) -> Result<Prepared<'a>, Outcome> {
        if job.deadline.since(self.shared.clock.now()) < MIN_TIME_LEFT {
            return Err(self.stop(job, history, Stop::Late, history.refusal(true)));
        }
        if let Some(refusal) = self.refuse_while_stopping(job, history) {
            return Err(self.stop(job, history, Stop::Ending, refusal));
        }
        let Some(service) = view.services.get(&job.service) else {
            return Err(self.stop(job, history, Stop::NoService, history.refusal(false)));
        };
        if let Some(refusal) = self.refuse_suspect(view, job, history) {
            return Err(self.stop(job, history, Stop::Suspect, refusal));
        }
        // A retry loads the service even if the request has not run yet, so it draws from the retry budget.
        let is_retry = history.sends > 0;
        let withdrawal = if is_retry { service.budget.withdraw() } else { None };
        if is_retry && withdrawal.is_none() {
            return Err(self.stop(job, history, Stop::Budget, history.refusal(false)));
        }
        let choice = match self.choose(service, job, history).await {
            Ok(choice) if max_cost.is_some_and(|most| choice.cost > most.as_secs_f64() * 1e3) => {
                return Err(self.stop(job, history, Stop::Slow, history.refusal(false)));
            }
            Ok(choice) => choice,
            Err(refusal) => return Err(self.stop(job, history, Stop::NoEndpoint, refusal)),
        };
        let estimate = Estimate::new(&choice);
        let guard = Guard::take(Arc::clone(&choice.endpoint), choice.unread);
        match self.open(job, &choice.endpoint).await {
            Ok(connection) => match self.refuse_while_stopping(job, history) {
                None => Ok(Prepared {
                    choice,
                    estimate,
                    guard,
                    connection,
                    withdrawal,
                }),
                Some(refusal) => Err(self.stop(job, history, Stop::Ending, refusal)),
            },
            Err(error) => {
                history.tried.push(choice.endpoint.hash);
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

    /// Counts a request as sent, and returns what its endpoint is to receive.
    pub(super) fn send(
        self: &Rc<Self>,
        job: &Job,
        prepared: Prepared<'_>,
        history: &mut History,
        last_event: Option<u64>,
    ) -> Sent {
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
        history.tried.push(endpoint.hash);
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
        let mut request = exchange::encode_head(&job.method, &job.path, &headers, job.body.bytes.len());
        let body = if job.body.bytes.len() <= MAX_JOINED_BODY {
            request.extend_from_slice(&job.body.bytes);
            Bytes::new()
        } else {
            job.body.bytes.clone()
        };
        Sent {
            request: request.into(),
            body,
            witness: self.early_witness(endpoint, &job.metadata.id, &connection),
            is_new_path: !connection.is_tunnel() && connection.bytes_received() == 0,
            choice,
            estimate: Estimate { sent: now, ..estimate },
            connection,
            guard,
            unanswered,
        }
    }

    /// Sends the bytes of a request, and returns the head of the response.
    pub(super) async fn receive(&self, job: &Job, sent: &mut Sent) -> Result<Head, Failure> {
        let dialect = &self.shared.dialect;
        let is_expected = |head: &Head| dialect.echoes(&head.headers, &job.metadata.id);
        let time_left = job.deadline.since(sent.estimate.sent);
        let request = [&sent.request, &sent.body].map(Bytes::clone);
        let exchange = sent.connection.send(request, &job.method, is_expected);
        let received = timeout(time_left, exchange).await.unwrap_or(Err(Failure::Silent));
        if sent.is_new_path {
            self.record_path(sent, received.as_ref().err());
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
}
