//! Event streams, passed on event by event; one that breaks off goes on elsewhere where its route allows it.

use core::error::Error as StdError;
use std::rc::Rc;

use bergamotshift_core::prelude::*;
use bytes::Bytes;
use futures_util::Stream;
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
use super::attempt::History;
use super::attempt::Open;
use super::cut::flush_and_terminate;
use super::job::Job;
use super::refusal::Reason;
use super::refusal::Refusal;
use crate::endpoint::RequestGuard;
use crate::exchange;
use crate::exchange::Connection;
use crate::exchange::Events;
use crate::exchange::Failure;
use crate::observe::Topic;

/// A stream that its caller does not get whole.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("the stream broke off: {0}")]
pub(super) struct Cut(String);

/// A stream on its way from an endpoint to a caller.
#[derive(Debug)]
pub(super) struct Flow {
    forwarder: Rc<Forwarder>,
    job: Rc<Job>,
    history: History,
    connection: Option<Connection>,
    framing: exchange::Body,
    answer: HeaderMap,
    seat: RequestGuard,
    events: Events,
    /// Counts the request as under way until the flow ends.
    _active: Active,
    status: StatusCode,
}

impl Flow {
    /// Waits for a stream's first whole events; only then is the caller told that it began.
    ///
    /// # Errors
    ///
    /// Returns the refusal when no endpoint's stream began.
    pub(super) async fn begin(
        forwarder: Rc<Forwarder>,
        job: Rc<Job>,
        history: History,
        open: Open,
        active: Active,
    ) -> Result<(Self, Option<Bytes>), Refusal> {
        let Open {
            answer,
            connection,
            seat,
        } = open;
        let events = Events::after(job.ask.last_event);
        let mut flow = Self {
            forwarder,
            job,
            history,
            connection: Some(connection),
            framing: answer.body,
            answer: answer.headers,
            seat,
            events,
            _active: active,
            status: answer.status,
        };
        match flow.next().await {
            Ok(first) => Ok((flow, first)),
            Err(Failure::Silent) => Err(Reason::TimedOut.into()),
            Err(_) => Err(Reason::Broken.into()),
        }
    }

    /// Returns the answer that the caller gets, with a body that passes the events on.
    pub(super) fn response(self, first: Option<Bytes>, caller: Option<IoRef>) -> Response {
        let mut response = Response::new(self.status);
        let mut headers = bergamotshift_endpoint::header::towards_caller(&self.answer);
        headers.remove(header::CONTENT_LENGTH);
        *response.headers_mut() = headers;
        response.set_body(Body::from_message(BoxedBodyStream::new(Box::pin(pass(
            self, first, caller,
        )))))
    }

    /// Returns the next whole events, or `None` at the stream's end.
    async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let failure = match self.receive().await {
                Ok(Some(events)) => {
                    if self.seat.mark_prompt_read() {
                        self.forwarder.shared.in_flight_changed.notify_one();
                    }
                    self.history.pace.note(self.forwarder.shared.clock.now());
                    return Ok(Some(events));
                }
                Ok(None) if self.events.is_between() => {
                    self.ended();
                    return Ok(None);
                }
                Ok(None) => Failure::Broken("it ended within an event".to_owned()),
                Err(failure) => failure,
            };
            self.seat.record_failure();
            self.resume(failure).await?;
        }
    }

    /// Reads until whole events are there.
    async fn receive(&mut self) -> Result<Option<Bytes>, Failure> {
        let Some(connection) = &mut self.connection else {
            return Ok(None);
        };
        loop {
            let left = self.job.deadline.since(self.forwarder.shared.clock.now());
            let repeats = self.history.sends < self.job.route.attempts;
            let stall = self.job.stall().filter(|_| repeats && self.events.last().is_some());
            let patience = stall.map_or(left, |stall| stall.min(left));
            let piece = match timeout(patience, connection.body(&mut self.framing)).await {
                Ok(piece) => piece?,
                Err(_) => return Err(Failure::Silent),
            };
            let Some(piece) = piece else {
                return Ok(None);
            };
            if let Some(events) = self.events.take(&piece) {
                return Ok(Some(events));
            }
            if self.events.is_overfull() {
                return Err(Failure::Malformed("an event is larger than any that is meant"));
            }
        }
    }

    /// Goes on at another endpoint behind the last whole event.
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
        let forwarder = Rc::clone(&self.forwarder);
        let job = Rc::clone(&self.job);
        let open = forwarder.open(&job, &mut self.history, self.events.last()).await;
        let open = open.map_err(|refusal| Failure::Broken(refusal.reason.to_string()))?;
        if !open.answer.status.is_success() || !open.answer.is_event_stream() {
            return Err(failure);
        }
        forwarder.shared.metrics.resumed.inc();
        self.framing = open.answer.body;
        self.connection = Some(open.connection);
        self.seat = open.seat;
        Ok(())
    }

    /// Gives the connection back after a whole stream.
    fn ended(&mut self) {
        self.seat.record_success();
        let endpoint = self.seat.endpoint();
        if let Some(connection) = self.connection.take() {
            let address = endpoint.registration.address;
            let now = self.forwarder.shared.clock.now();
            self.forwarder
                .pool
                .borrow_mut()
                .put(now, address, connection, &self.answer);
        }
    }

    fn log_break(&self, now: Instant, failure: &Failure) {
        let shared = &self.forwarder.shared;
        if let Some((logger, left_out)) = shared.log.rate_limited(now, Topic::Attempt) {
            info!(logger, "stream broke"; "request" => self.job.ask.id.as_str(),
                "route" => self.job.route.name.as_str(),
                "endpoint" => self.seat.endpoint().registration.id.as_str(), "cause" => %failure,
                "last_event" => self.events.last(), "sends" => self.history.sends,
                "resumable" => self.job.route.resumable, "document" => self.forwarder.version(),
                "left_out" => left_out);
        }
    }
}

/// Passes a stream's events on to its caller.
fn pass(flow: Flow, first: Option<Bytes>, caller: Option<IoRef>) -> impl Stream<Item = Item> {
    let ended = first.is_none();
    let state = State {
        flow,
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
        match state.flow.next().await {
            Ok(Some(events)) => Some((Ok(ntex::util::Bytes::copy_from_slice(&events)), state)),
            Ok(None) => {
                state
                    .flow
                    .forwarder
                    .served(&state.flow.job, &state.flow.history, StatusCode::OK);
                None
            }
            Err(failure) => {
                state
                    .flow
                    .forwarder
                    .broken(&state.flow.job, &state.flow.history, &failure);
                if let Some(caller) = state.caller.take() {
                    flush_and_terminate(caller).await;
                }
                state.ended = true;
                let error: Rc<dyn StdError> = Rc::new(Cut(failure.to_string()));
                Some((Err(error), state))
            }
        }
    })
}

type Item = Result<ntex::util::Bytes, Rc<dyn StdError>>;

struct State {
    flow: Flow,
    first: Option<Bytes>,
    caller: Option<IoRef>,
    ended: bool,
}
