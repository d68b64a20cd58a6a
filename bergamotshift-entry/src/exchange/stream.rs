//! A model's event stream, passed on event by event and taken up elsewhere when it breaks.

use core::error;
use core::mem;
use std::rc::Rc;

use bergamotshift_endpoint::adapter::Adapter;
use bergamotshift_endpoint::answer::Failure;
use bergamotshift_endpoint::engine::event::Event;
use bergamotshift_endpoint::engine::event::Splitter;
use bergamotshift_endpoint::engine::progress::Progress;
use bergamotshift_endpoint::engine::resume;
use bergamotshift_endpoint::engine::resume::Resumption;
use futures_util::Stream;
use futures_util::stream;
use ntex::http::Payload;
use ntex::util::Bytes;
use ntex::util::BytesMut;

use super::Attempts;
use super::Error;
use super::Open;
use super::Outgoing;
use super::attempts::Running;
use super::whole;
use crate::observe::Hop;

/// The event that ends a stream.
const DONE: &[u8] = b"data: [DONE]";

/// What an event's number and line ends add to it, at most.
const FRAME: usize = 32;

/// Passes a model's stream on.
///
/// Failure: an endpoint dies in the middle of a stream, or ends it without its terminal event. Symptom: a draft that
/// stops in the middle, or tokens that come twice when it is started over. What was delivered is kept, and another
/// endpoint is asked to go on exactly there; the caller sees one completion, whose events are numbered through.
#[derive(Debug)]
pub struct Relay {
    attempts: Attempts,
    adapter: Rc<dyn Adapter>,
    body: Payload,
    running: Option<Running>,
    splitter: Splitter,
    progress: Progress,
    resumed: bool,
    state: State,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Events are passed on.
    Open,
    /// The terminal event was passed on.
    Done,
    /// The caller was told of a failure; the connection is cut next.
    Failed(Error),
}

impl Relay {
    /// Takes up a stream whose head has arrived.
    pub fn new(attempts: Attempts, adapter: Rc<dyn Adapter>, open: Open) -> Self {
        Self {
            attempts,
            adapter,
            body: open.answer.body,
            running: Some(open.running),
            splitter: Splitter::default(),
            progress: Progress::default(),
            resumed: false,
            state: State::Open,
        }
    }

    /// Returns the stream's bytes as the caller gets them.
    ///
    /// A stream that cannot be brought to its end closes with an event that tells the failure and then breaks the
    /// connection, so that nobody takes it for whole.
    pub fn into_stream(self) -> impl Stream<Item = Result<Bytes, Rc<dyn error::Error>>> {
        stream::try_unfold(Box::new(self), |mut relay| async move {
            match relay.next().await {
                Ok(Some(bytes)) => Ok(Some((bytes, relay))),
                Ok(None) => Ok(None),
                Err(error) => Err(Rc::new(error) as Rc<dyn error::Error>),
            }
        })
    }

    async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        match mem::replace(&mut self.state, State::Open) {
            State::Open => {}
            State::Done => return Ok(None),
            State::Failed(error) => return Err(error),
        }
        loop {
            let ended = match whole::next(&self.attempts, &mut self.body).await {
                Ok(Some(chunk)) => match self.splitter.push(&chunk) {
                    Ok(()) => match self.take() {
                        Some(bytes) => return Ok(Some(bytes)),
                        None => continue,
                    },
                    Err(error) => Failure::Malformed(error.to_string()),
                },
                Ok(None) => Failure::Broken("the stream ended without its terminal event".to_owned()),
                Err(failure) => failure,
            };
            match self.resume(ended).await {
                Ok(Some(bytes)) => return Ok(Some(bytes)),
                Ok(None) => {}
                Err(error) => return Ok(Some(self.fail(error))),
            }
        }
    }

    /// Returns the complete events that have arrived, as the caller gets them.
    fn take(&mut self) -> Option<Bytes> {
        let mut bytes = BytesMut::new();
        while let Some(event) = self.splitter.next() {
            if event.is_done() {
                self.finish(&mut bytes);
                break;
            }
            let event = if self.resumed {
                resume::rewrite(event, self.progress.id())
            } else {
                Some(event)
            };
            if let Some(event) = event {
                self.write(&event, &mut bytes);
            }
        }
        if bytes.is_empty() {
            return None;
        }
        self.attempts.record().first();
        Some(bytes.freeze())
    }

    fn write(&mut self, event: &Event, bytes: &mut BytesMut) {
        self.progress.note(event);
        // Engines send a token per event, but for the first and the last.
        self.attempts.count(1);
        number(self.progress.events(), event.lines(), bytes);
    }

    fn finish(&mut self, bytes: &mut BytesMut) {
        number(self.progress.events() + 1, DONE, bytes);
        self.state = State::Done;
        self.attempts.ran();
        self.attempts.record().answered();
        self.running = None;
        self.body = Payload::None;
    }

    /// Finds an endpoint that goes on; returns what is left to say when none is needed.
    async fn resume(&mut self, mut failure: Failure) -> Result<Option<Bytes>, Error> {
        self.body = Payload::None;
        self.splitter = Splitter::default();
        let _handover = self.attempts.trace().span(Hop::Handover);
        loop {
            let Some(running) = self.running.take() else {
                return Err(Error::NoEndpoint);
            };
            let started = self.progress.events() > 0;
            self.attempts.failed(running, failure).await?;
            let body = if started {
                self.progress.fold();
                let call = self.attempts.call();
                match self.adapter.resume(call.path.path(), &call.body, &self.progress) {
                    Resumption::Body(body) => body,
                    Resumption::Whole(events) => {
                        let mut bytes = BytesMut::new();
                        for event in &events {
                            self.write(event, &mut bytes);
                        }
                        self.finish(&mut bytes);
                        return Ok(Some(bytes.freeze()));
                    }
                    Resumption::Impossible => return Err(Error::Diverged),
                }
            } else {
                self.attempts.call().body.clone()
            };
            let open = self.attempts.open(Outgoing::Held(body)).await?;
            self.running = Some(open.running);
            if !open.answer.status.is_success() {
                failure = Failure::Malformed(format!("status {}", open.answer.status.as_u16()));
                continue;
            }
            self.body = open.answer.body;
            if started {
                self.resumed = true;
                self.count_resumed();
            }
            return Ok(None);
        }
    }

    fn count_resumed(&self) {
        let snapshot = self.attempts.worker().snapshot();
        if let Some(service) = snapshot.services.get(&self.attempts.call().service) {
            service.metrics.resumed.inc();
        }
    }

    /// Returns the event that tells the caller of a failure.
    fn fail(&mut self, error: Error) -> Bytes {
        if self.progress.events() > 0 {
            self.attempts.ran();
        }
        let told = self.attempts.fail(&error);
        let call = self.attempts.call();
        self.attempts.worker().shared.metrics.failed(told.code(), told.outcome);
        let event = format!("data: {}\n\n", told.body(call.id));
        self.state = State::Failed(error);
        Bytes::from(event)
    }
}

/// Writes an event with its number, from which a caller can take the stream up again.
fn number(number: u64, lines: &[u8], bytes: &mut BytesMut) {
    use core::fmt::Write;

    bytes.reserve(lines.len() + FRAME);
    // Writing into a buffer cannot fail.
    let _ = writeln!(bytes, "id: {number}");
    bytes.extend_from_slice(lines);
    bytes.extend_from_slice(b"\n\n");
}
