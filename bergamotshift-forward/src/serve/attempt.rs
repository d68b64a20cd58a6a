//! Sends a request to endpoints until one answers, or no more may be tried.

use core::time::Duration;
use std::sync::Arc;

use bergamotshift_rollout::evidence::Group;
use ntex::http::StatusCode;
use ntex::http::header;
use slog::info;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use super::Forwarder;
use super::job::Job;
use super::pace::Pace;
use super::pace::Sent;
use super::refusal::Reason;
use super::refusal::Refusal;
use crate::choice::Choice;
use crate::dialect::Envelope;
use crate::dialect::Notice;
use crate::document::Kind;
use crate::endpoint::RequestGuard;
use crate::exchange;
use crate::exchange::Answer;
use crate::exchange::Connection;
use crate::exchange::Failure;
use crate::observe::Topic;
use crate::peers::Note;
use crate::rollouts::Observer;

/// How long a connection may take to come about: ten times the way there and back between zones.
const CONNECT: Duration = Duration::from_millis(250);

/// The most connections tried for one request; unreachable endpoints are passed over after the first failure.
const CONNECTS: usize = 4;

/// What is kept back of the caller's time for the answer's way back.
const WAY_BACK: Duration = Duration::from_millis(5);

/// Less time than this is not worth a send: the endpoint could not answer.
const SHORTEST: Duration = Duration::from_millis(10);

/// What happened to a request so far.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    /// Endpoints that had it or could not be reached, by their hashes.
    pub(super) tried: Vec<u64>,
    /// How often it was sent.
    pub(super) sends: u32,
    /// How often it was sent and surely not run.
    unrun: u32,
    /// Connections that did not come about.
    unreachable: usize,
    /// Its last send.
    pub(super) sent: Option<Sent>,
    /// When the events of its answer came.
    pub(super) pace: Pace,
}

impl History {
    /// Returns whether an endpoint may have run the request.
    pub(super) const fn may_have_run(&self) -> bool {
        self.sends > self.unrun
    }

    /// Returns whether another endpoint may be tried.
    ///
    /// Of the endpoints that may have run a request only as many may be tried as its route allows; a proof that one
    /// did not run it gives one more try.
    fn may_go_on(&self, job: &Job) -> bool {
        let ran = self.sends - self.unrun;
        let repeatable = ran == 0 || job.route.is_repeatable();
        let left = ran < job.route.attempts && self.sends <= job.route.attempts;
        repeatable && left && self.unreachable < CONNECTS
    }

    /// Returns the refusal of a request that has no more time or no more tries.
    ///
    /// Failure: a request that an endpoint may have run is refused as not run. Symptom: its caller sends it again, and
    /// it runs twice. Only a request that never left, or whose endpoints all proved that they did not run it, is.
    pub(super) fn refusal(&self, timed_out: bool) -> Refusal {
        let reason = match (self.may_have_run(), timed_out) {
            (true, true) => Reason::TimedOut,
            (true, false) => Reason::Broken,
            (false, true) => Reason::Unsent,
            (false, false) if self.sends > 0 => Reason::Unrun,
            (false, false) => Reason::NoEndpoint,
        };
        reason.into()
    }
}

/// An endpoint's answer whose head is there and whose body is still to be read.
#[derive(Debug)]
pub(super) struct Open {
    pub(super) answer: Answer,
    pub(super) connection: Connection,
    pub(super) seat: RequestGuard,
}

/// How one send ended, as long as no answer was taken.
enum Missed {
    /// The endpoint proved that it did not run the request.
    Unrun,
    /// The same, and it named a time for which it wants nothing.
    TurnedAway,
    /// The endpoint wants no more, as an answer said while the request waited for a connection.
    Withdrawn,
    /// The endpoint failed in a way that its answer tells; the answer stands if no other comes.
    Failed(Box<Open>),
    /// There was no connection.
    Unreachable,
    /// The exchange broke.
    Lost(Failure),
}

/// What one try came to.
enum Step {
    /// There is an answer to take.
    Taken(Open),
    /// Another try may follow; an answer that tells a failure is kept in case none does better.
    Again(Option<Box<Open>>),
    /// No more tries.
    End(Refusal),
}

impl Forwarder {
    /// Sends a request until an endpoint's answer is there.
    pub(super) async fn open(
        &self,
        job: &Job,
        history: &mut History,
        last_event: Option<u64>,
    ) -> Result<Open, Refusal> {
        let mut fallback = None;
        loop {
            match self.step(job, history, last_event).await {
                Step::Taken(open) => return Ok(open),
                Step::Again(failed) => fallback = failed.or(fallback),
                Step::End(refusal) => return fallback.map(|open| *open).ok_or(refusal),
            }
        }
    }

    async fn step(&self, job: &Job, history: &mut History, last_event: Option<u64>) -> Step {
        if job.deadline.since(self.shared.clock.now()) < SHORTEST {
            return Step::End(history.refusal(true));
        }
        let view = self.shared.view.load_full();
        let Some(service) = view.services.get(&job.service) else {
            return Step::End(history.refusal(false));
        };
        let choice = match self.choose(service, job, history).await {
            Ok(choice) => choice,
            Err(refusal) => return Step::End(refusal),
        };
        // A repeat after a proof that nothing ran is no further run, but it loads the service like one.
        let repeats = history.sends > 0;
        if repeats && !service.budget.try_withdraw() {
            return Step::End(history.refusal(false));
        }
        let sends = history.sends;
        let missed = match self.send(job, &choice, history, last_event).await {
            Ok(open) => return Step::Taken(open),
            Err(missed) => missed,
        };
        if repeats && history.sends == sends {
            service.budget.refund();
        }
        let failed = self.judge(job, &choice, history, missed);
        if history.may_go_on(job) {
            return Step::Again(failed);
        }
        let timed_out = job.deadline.since(self.shared.clock.now()) < SHORTEST;
        match failed {
            Some(open) => Step::Taken(*open),
            None => Step::End(history.refusal(timed_out)),
        }
    }

    async fn send(
        &self,
        job: &Job,
        choice: &Choice,
        history: &mut History,
        last_event: Option<u64>,
    ) -> Result<Open, Missed> {
        let endpoint = &choice.endpoint;
        let address = endpoint.registration.address;
        let expected = Sent::new(choice);
        let mut seat = RequestGuard::take(Arc::clone(endpoint), choice.unread);
        history.tried.push(endpoint.hash);
        let now = self.shared.clock.now();
        let idle = self.pool.borrow_mut().take(now, address);
        let mut connection = if let Some(connection) = idle {
            connection
        } else {
            self.shared.metrics.connections.inc();
            let patience = CONNECT.min(job.deadline.since(now));
            let opened = Connection::open(address, patience).await;
            opened.map_err(|_unreachable| Missed::Unreachable)?
        };
        let now = self.shared.clock.now();
        let left = job.deadline.since(now);
        if left < SHORTEST {
            return Err(Missed::Unreachable);
        }
        if endpoint.is_leaving() || endpoint.signals.paused_until(now).is_some() {
            return Err(Missed::Withdrawn);
        }
        history.sends += 1;
        history.sent = Some(expected);
        self.shared.metrics.sends.inc();
        self.shared
            .cache_index()
            .record_choice(now, endpoint.hash, &job.ask.parts);
        seat = seat.with_observer(self.witness(job, choice));
        let envelope = Envelope {
            expected: &endpoint.registration.id,
            organisation: job.organisation.as_ref(),
            time_left: job.time_left(now + WAY_BACK),
            source: choice.source,
            urgency: self.is_engine(job).then_some(job.urgency.min(9)),
            last_event,
        };
        let headers = self.shared.dialect.towards_endpoint(&job.headers, &envelope);
        let request = exchange::encode(&job.method, &job.path, &headers, &job.body);
        let dialect = &self.shared.dialect;
        let belongs = |answer: &Answer| dialect.echoes(&answer.headers, &job.ask.id);
        let repeats = job.route.attempts > history.sends;
        let patience = job
            .patience()
            .filter(|_| repeats)
            .map_or(left, |patience| patience.min(left));
        let exchange = connection.send(&request, &job.method, belongs);
        let exchanged = timeout(patience, exchange).await.unwrap_or(Err(Failure::Silent));
        let answer = match exchanged {
            Ok(answer) => answer,
            Err(failure) => {
                seat.record_version_failure();
                return Err(Missed::Lost(failure));
            }
        };
        let notice = self.hear(job, choice, now, &answer);
        let open = Open {
            answer,
            connection,
            seat,
        };
        self.accept(job, open, notice)
    }

    /// Returns who sees what comes of a send while two versions of the service are compared.
    fn witness(&self, job: &Job, choice: &Choice) -> Option<Observer> {
        /// What the way there and back and the endpoint's turns add to the expected time, in milliseconds.
        const BESIDE: f64 = 40.0;
        /// The part of its objective that a plain answer is expected to take.
        const PLAIN: f64 = 0.25;
        let view = self.shared.view.load();
        let service = view.services.get(&job.service)?;
        let canary = service.canary.as_ref()?;
        let endpoint = choice.endpoint.hash;
        let group = if service.endpoints.iter().any(|stable| stable.hash == endpoint) {
            Group::Stable
        } else {
            Group::canary(endpoint)
        };
        let expected = if service.engine.is_some() {
            choice.cost + BESIDE
        } else {
            job.route.objective.as_secs_f64() * 1e3 * PLAIN
        };
        let route = xxh3_64(job.route.name.as_bytes()) as u32;
        let witness = Observer::new(
            &self.shared.rollout_evidence,
            self.shared.clock,
            &job.service,
            canary.order,
            route,
        );
        Some(witness.expecting(group, expected))
    }

    /// Tells an answer that the caller may get from one that calls for another try.
    ///
    /// Being turned away with a time is no failure: neither the endpoint's health nor its version's evidence suffers.
    fn accept(&self, job: &Job, mut open: Open, notice: Notice) -> Result<Open, Missed> {
        let turned_away = notice.retry_after.is_some();
        let Answer { status, headers, .. } = &open.answer;
        if *status == StatusCode::MISDIRECTED_REQUEST {
            // Another incarnation has the address, so this one is gone.
            open.seat.endpoint().mark_leaving();
            return Err(Missed::Unrun);
        }
        if self.shared.dialect.says_not_run(headers) {
            if turned_away {
                return Err(Missed::TurnedAway);
            }
            open.seat.record_version_failure();
            return Err(Missed::Unrun);
        }
        let sealed = self.shared.dialect.is_sealed(headers);
        if status.is_success() && (!sealed || headers.contains_key(header::CONTENT_ENCODING)) {
            open.seat.record_version_failure();
            return Err(Missed::Lost(Failure::Malformed("a success bears no seal")));
        }
        if status.is_server_error() {
            if !turned_away {
                open.seat.record_failure();
            }
            if job.route.kind == Kind::Idempotent {
                return Err(Missed::Failed(Box::new(open)));
            }
        }
        Ok(open)
    }

    /// Draws the conclusions from a send that brought no answer to take; returns one that tells a failure.
    fn judge(&self, job: &Job, choice: &Choice, history: &mut History, missed: Missed) -> Option<Box<Open>> {
        let now = self.shared.clock.now();
        let endpoint = &choice.endpoint;
        let mut failed = None;
        let cause = match missed {
            Missed::Unrun => {
                history.unrun += 1;
                endpoint.health.record_failure();
                "the endpoint refused it unrun".to_owned()
            }
            Missed::TurnedAway => {
                history.unrun += 1;
                "the endpoint turned it away unrun for a time".to_owned()
            }
            Missed::Withdrawn => {
                history.unreachable += 1;
                "the endpoint wants no more".to_owned()
            }
            Missed::Unreachable => {
                history.unreachable += 1;
                endpoint.health.record_unreachable(now);
                "the endpoint cannot be reached".to_owned()
            }
            Missed::Failed(open) => {
                let cause = format!("the endpoint answered {}", open.answer.status.as_u16());
                failed = Some(open);
                cause
            }
            Missed::Lost(failure) => {
                endpoint.health.record_failure();
                if matches!(failure, Failure::Broken(_)) {
                    let _ = self.shared.notes.send(Note::ConnectionLost {
                        endpoint: endpoint.hash,
                        fingerprint: job.fingerprint,
                    });
                }
                failure.to_string()
            }
        };
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Attempt) {
            info!(logger, "attempt failed"; "request" => job.ask.id.as_str(), "route" => job.route.name.as_str(),
                "endpoint" => endpoint.registration.id.as_str(), "cause" => cause, "sends" => history.sends,
                "expected_ms" => choice.cost as u64, "running" => endpoint.running(),
                "document" => self.version(), "left_out" => left_out);
        }
        failed
    }

    /// Returns the version of the document in force.
    pub(super) fn version(&self) -> u64 {
        let view = self.shared.view.load();
        view.table.as_ref().map_or(0, |table| table.document().version)
    }
}
