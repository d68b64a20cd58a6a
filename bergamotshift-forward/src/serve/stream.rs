//! Event streams, forwarded event by event; a stream that breaks off is resumed elsewhere if its route allows it.

use core::error::Error as StdError;
use core::time::Duration;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::quarantine::part;
use bergamotshift_limit::silence::Action;
use bergamotshift_limit::silence::Watch;
use bytes::Bytes;
use futures_util::Stream;
use futures_util::future::Either;
use futures_util::future::select;
use futures_util::stream;
use ntex::http::HeaderMap;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::body::Body;
use ntex::http::body::BoxedBodyStream;
use ntex::http::header;
use ntex::io::IoRef;
use slog::info;
use thiserror::Error;
use tokio::time::timeout;

use super::Forwarder;
use super::active::Active;
use super::attempt::Exchange;
use super::attempt::History;
use super::cut::flush_and_terminate;
use super::job::Job;
use super::refusal::Reason;
use super::refusal::Refusal;
use super::replace::Overlap;
use super::replacement::Replacement;
use super::replacement::read_events;
use super::unframed;
use super::witness::Witness;
use crate::endpoint::Guard;
use crate::exchange;
use crate::exchange::Connection;
use crate::exchange::Events;
use crate::exchange::Failure;
use crate::observe::Topic;

/// Error of a stream that its caller does not get completely.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("the stream was cut off: {0}")]
pub(super) struct Truncation(String);

/// Relay of a stream from an endpoint to a caller.
#[derive(Debug)]
pub(super) struct Relay {
    forwarder: Rc<Forwarder>,
    job: Rc<Job>,
    history: History,
    connection: Option<Connection>,
    framing: exchange::Framing,
    /// Witness of the endpoint's process, if nothing but the end of the connection marks the end of the answer.
    witness: Option<Rc<Witness>>,
    headers: HeaderMap,
    guard: Guard,
    events: Events,
    /// Time of the first event from the current endpoint.
    begun_at: Option<Instant>,
    /// Whether its answer showed that the request does not crash it at the beginning.
    is_settled: bool,
    /// Counts the request as in flight until the relay is dropped.
    active: Active,
    status: StatusCode,
}

impl Relay {
    /// Waits for the first complete events of a stream, before the caller is told that it began.
    ///
    /// # Errors
    ///
    /// Returns the refusal when no endpoint's stream began.
    pub(super) async fn start(
        forwarder: Rc<Forwarder>,
        job: Rc<Job>,
        history: History,
        exchange: Exchange,
        active: Active,
    ) -> Result<(Self, Option<Bytes>), Refusal> {
        let witness = forwarder.witness_of(&job, &exchange);
        let Exchange {
            head,
            connection,
            guard,
            ..
        } = exchange;
        let events = Events::after(job.metadata.last_event);
        let mut relay = Self {
            forwarder,
            job,
            history,
            connection: Some(connection),
            framing: head.framing,
            witness,
            headers: head.headers,
            guard,
            events,
            begun_at: None,
            is_settled: false,
            active,
            status: head.status,
        };
        match relay.next().await {
            Ok(first) => {
                relay.active.measure(&relay.job);
                Ok((relay, first))
            }
            Err(Failure::Silent) => Err(Reason::TimedOut.into()),
            Err(_) => Err(Reason::Broken.into()),
        }
    }

    /// Returns the response to the caller, with a body that relays the events.
    pub(super) fn response(self, first: Option<Bytes>, caller: Option<IoRef>) -> Response {
        let mut response = Response::new(self.status);
        let mut headers = bergamotshift_endpoint::header::towards_caller(&self.headers);
        headers.remove(header::CONTENT_LENGTH);
        *response.headers_mut() = headers;
        response.set_body(Body::from_message(BoxedBodyStream::new(Box::pin(relay_events(
            self, first, caller,
        )))))
    }

    /// Returns the next complete events, or `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let failure = match self.read().await {
                Ok(Some(events)) => {
                    if self.guard.mark_prompt_read() {
                        self.forwarder.shared.in_flight_changed.notify_one();
                    }
                    self.record_events();
                    self.bind_version();
                    return Ok(Some(events));
                }
                Ok(None) => match self.check_end().await {
                    Ok(()) => {
                        self.finish();
                        return Ok(None);
                    }
                    Err(failure) => failure,
                },
                Err(failure) => failure,
            };
            self.record_broken(&failure);
            self.resume(failure).await?;
        }
    }

    /// Checks that the stream is complete at its end.
    async fn check_end(&self) -> Result<(), Failure> {
        if !self.events.is_at_boundary() {
            return Err(Failure::Broken("it ended within an event".to_owned()));
        }
        match (&self.connection, &self.witness) {
            (Some(connection), Some(witness)) => {
                let endpoint = self.guard.endpoint();
                let answer = unframed::Kind::Stream(self.events.last_id());
                self.forwarder
                    .check_end(&self.job, endpoint, connection, witness, answer)
                    .await
            }
            _ => Ok(()),
        }
    }

    /// Records that events arrived.
    fn record_events(&mut self) {
        let now = self.forwarder.shared.clock.now();
        self.history.pace.record(now);
        self.guard.record_events(now);
        if self.begun_at.is_none() {
            let endpoint = self.guard.endpoint();
            self.forwarder
                .record_first_event(&self.job, &self.history, endpoint, now);
        }
        let begun_at = *self.begun_at.get_or_insert(now);
        if !self.is_settled && now.since(begun_at) >= part::SETTLED_AFTER {
            self.is_settled = true;
            self.forwarder.record_answered(&self.job);
        }
    }

    /// Binds the stream to the version that sent its first event.
    fn bind_version(&mut self) {
        if self.history.version.is_some() {
            return;
        }
        let version = self.guard.endpoint().registration.version.clone();
        self.forwarder.record_origin(&self.job, &version);
        self.history.version = Some(version);
    }

    /// Reads until at least one event is complete; returns `None` at the end of the stream. If the endpoint is silent,
    /// another one is looked for meanwhile.
    async fn read(&mut self) -> Result<Option<Bytes>, Failure> {
        let Some(limit) = self.job.stall_timeout() else {
            return self.read_events().await;
        };
        let mut watch = self.forwarder.watch(limit);
        loop {
            let may_move = self.history.sends < self.job.route.attempts && self.events.last_id().is_some();
            let action = if may_move {
                let endpoint = self.guard.endpoint();
                self.forwarder.watch_attempt(&self.job, &watch, endpoint, true)
            } else {
                Action::Wait(Instant::MAX)
            };
            match action {
                Action::Wait(until) => {
                    let wait = until.since(self.forwarder.shared.clock.now());
                    if let Ok(read) = timeout(wait, self.read_events()).await {
                        return read;
                    }
                }
                Action::GiveUp => return Err(Failure::Silent),
                Action::Replace { overlap } => {
                    if let Some(read) = self.replace(&mut watch, overlap).await {
                        return read;
                    }
                }
            }
        }
    }

    /// Reads until at least one event is complete or the request's time is over.
    async fn read_events(&mut self) -> Result<Option<Bytes>, Failure> {
        let Some(connection) = &mut self.connection else {
            return Err(Failure::Broken("its connection was given up".to_owned()));
        };
        read_events(
            &self.forwarder,
            &self.job,
            connection,
            &mut self.framing,
            &mut self.events,
        )
        .await
    }

    /// Looks for another endpoint while the silent one is still read, and returns the next events of whichever has them
    /// first; `None` if the silent one has to be read on.
    async fn replace(
        &mut self,
        watch: &mut Watch,
        overlap: Option<Duration>,
    ) -> Option<Result<Option<Bytes>, Failure>> {
        let forwarder = Rc::clone(&self.forwarder);
        let job = Rc::clone(&self.job);
        let sends = self.history.sends;
        let tried = self.history.tried.len();
        let last_event = self.events.last_id();
        let bound = Overlap::new(overlap, watch, Arc::clone(self.guard.endpoint()));
        let connection = self.connection.as_mut()?;
        let reading = Box::pin(read_events(
            &forwarder,
            &job,
            connection,
            &mut self.framing,
            &mut self.events,
        ));
        let replacing = Box::pin(forwarder.replace_stream(&job, &mut self.history, last_event, &bound));
        let (read, replaced) = match select(reading, replacing).await {
            Either::Left((Err(failure), replacing)) => {
                bound.lift();
                (Some(Err(failure)), replacing.await)
            }
            Either::Left((read, _)) => (Some(read), Err("overtaken")),
            Either::Right((replaced, _)) => (None, replaced),
        };
        let outcome = replaced.as_ref().err().copied().unwrap_or("answered");
        forwarder.shared.metrics.count_replacement(outcome);
        self.log_replacement(outcome, watch.heard(), overlap);
        let Ok(replacement) = replaced else {
            if matches!(outcome, "late" | "overtaken") {
                // An endpoint that was only too late for this silence may go on with the stream later.
                self.history.tried.truncate(tried);
            }
            watch.postpone(forwarder.shared.clock.now(), self.history.sends > sends);
            return read;
        };
        match &read {
            Some(Err(failure)) => self.record_broken(failure),
            _ => forwarder.give_up(&job, &mut self.guard),
        }
        Some(Ok(Some(self.adopt(replacement))))
    }

    /// Records that the endpoint's answer failed.
    fn record_broken(&mut self, failure: &Failure) {
        if self.forwarder.is_endpoints_failure(&self.job, failure) {
            self.guard.record_failure();
        }
        self.forwarder.shared.metrics.count_given_up(failure.name());
        self.forwarder
            .report_broken(&self.job, self.guard.endpoint(), failure, self.is_settled);
    }

    /// Goes on with the stream of a replacement, and returns its first events.
    fn adopt(&mut self, replacement: Replacement) -> Bytes {
        let Replacement {
            exchange,
            events,
            first,
        } = replacement;
        self.forwarder.shared.metrics.resumed.inc();
        self.history.estimate = Some(exchange.estimate.clone());
        self.read_from(exchange);
        self.events = events;
        first
    }

    /// Resumes the stream at another endpoint after the last complete event.
    ///
    /// The broken connection is closed first: an endpoint stops its work when its connection closes, and two of them
    /// must not work on one stream.
    async fn resume(&mut self, failure: Failure) -> Result<(), Failure> {
        self.connection = None;
        let now = self.forwarder.shared.clock.now();
        self.log_break(now, &failure);
        let timed_out = now >= self.job.deadline;
        if timed_out || !self.job.route.resumable || self.history.sends >= self.job.route.attempts {
            return Err(failure);
        }
        self.events.drop_partial();
        self.history.unsent = 0;
        let forwarder = Rc::clone(&self.forwarder);
        let job = Rc::clone(&self.job);
        let exchange = forwarder
            .send_with_retries(&job, &mut self.history, self.events.last_id())
            .await;
        let exchange = exchange.map_err(|refusal| Failure::Broken(refusal.reason.to_string()))?;
        if !exchange.head.status.is_success() || !exchange.head.is_event_stream() {
            return Err(failure);
        }
        forwarder.shared.metrics.resumed.inc();
        self.read_from(exchange);
        Ok(())
    }

    /// Reads on from another endpoint.
    fn read_from(&mut self, exchange: Exchange) {
        self.witness = self.forwarder.witness_of(&self.job, &exchange);
        let Exchange {
            head,
            connection,
            guard,
            ..
        } = exchange;
        self.framing = head.framing;
        self.connection = Some(connection);
        self.guard = guard;
        self.begun_at = None;
        self.is_settled = false;
    }

    /// Records a complete stream and returns the connection to the pool.
    fn finish(&mut self) {
        self.guard.record_success();
        if self.history.sends == 1 && !self.job.is_resumed() {
            self.forwarder.record_whole(&self.job, self.guard.endpoint());
        }
        if let Some(connection) = self.connection.take() {
            let endpoint = self.guard.endpoint();
            self.forwarder.keep_connection(endpoint, connection, &self.headers);
        }
    }

    /// Logs what became of the search for a replacement of a silent stream.
    fn log_replacement(&self, outcome: &'static str, heard: Instant, overlap: Option<Duration>) {
        let shared = &self.forwarder.shared;
        let now = shared.clock.now();
        if let Some((logger, left_out)) = shared.log.rate_limited(now, Topic::Attempt) {
            info!(logger, "replacement of a silent stream"; "request" => self.job.metadata.id.as_str(),
                "route" => self.job.route.name.as_str(), "outcome" => outcome,
                "silent" => self.guard.endpoint().registration.id.as_str(),
                "path" => self.guard.endpoint().pulse.path(heard).as_str(),
                "silence_ms" => now.since(heard).as_millis() as u64,
                "overlap_ms" => overlap.map(|overlap| overlap.as_millis() as u64),
                "sends" => self.history.sends, "left_out" => left_out);
        }
    }

    /// Logs that a stream broke off.
    fn log_break(&self, now: Instant, failure: &Failure) {
        let shared = &self.forwarder.shared;
        if let Some((logger, left_out)) = shared.log.rate_limited(now, Topic::Attempt) {
            info!(logger, "stream broke"; "request" => self.job.metadata.id.as_str(),
                "route" => self.job.route.name.as_str(),
                "endpoint" => self.guard.endpoint().registration.id.as_str(),
                "version" => self.history.version(), "cause" => %failure,
                "silence_ms" => self.history.pace.silence_ms(now),
                "limit_ms" => self.job.stall_timeout().map(|limit| limit.as_millis() as u64),
                "endpoint_silence_ms" => self.guard.endpoint().pulse.silence(now).map(|silence| silence.as_millis() as u64),
                "last_event" => self.events.last_id(), "sends" => self.history.sends,
                "attempts" => self.job.route.attempts, "resumable" => self.job.route.resumable,
                "document" => self.forwarder.document_version(), "left_out" => left_out);
        }
    }
}

/// Returns a body that relays the events of a stream to its caller.
fn relay_events(relay: Relay, first: Option<Bytes>, caller: Option<IoRef>) -> impl Stream<Item = Item> {
    let ended = first.is_none();
    let state = State {
        relay,
        first,
        caller,
        ended,
    };
    stream::unfold(state, async |mut state| {
        if let Some(first) = state.first.take() {
            return Some((Ok(ntex::util::Bytes::copy_from_slice(&first)), state));
        }
        if state.ended {
            return None;
        }
        let shared = Arc::clone(&state.relay.forwarder.shared);
        let next = shared.drain.until_over(state.relay.next()).await;
        let next = next.unwrap_or_else(|| {
            shared.drain.record_cut();
            Err(Failure::Broken(Reason::Ended.to_string()))
        });
        match next {
            Ok(Some(events)) => Some((Ok(ntex::util::Bytes::copy_from_slice(&events)), state)),
            Ok(None) => {
                state
                    .relay
                    .forwarder
                    .record_served(&state.relay.job, &state.relay.history, StatusCode::OK);
                None
            }
            Err(failure) => {
                state
                    .relay
                    .forwarder
                    .record_cut(&state.relay.job, &state.relay.history, &failure);
                if let Some(caller) = state.caller.take() {
                    flush_and_terminate(caller).await;
                }
                state.ended = true;
                let error: Rc<dyn StdError> = Rc::new(Truncation(failure.to_string()));
                Some((Err(error), state))
            }
        }
    })
}

/// Item of the body: complete events, or the error that ends it.
type Item = Result<ntex::util::Bytes, Rc<dyn StdError>>;

/// State of the body between two items.
struct State {
    relay: Relay,
    first: Option<Bytes>,
    caller: Option<IoRef>,
    ended: bool,
}
