//! A model's event stream, passed on event by event.

use core::error;
use core::fmt::Write;
use core::mem;
use std::rc::Rc;

use bergamotshift_endpoint::engine::event::Event;
use futures_util::Stream;
use futures_util::stream;
use ntex::util::Bytes;
use ntex::util::BytesMut;

use super::Error;
use super::events::Events;

/// The event that ends a stream.
const DONE: &[u8] = b"data: [DONE]";

/// What an event's number and line ends add to it, at most.
const FRAME: usize = 32;

/// Passes a completion's events on to its caller, numbered through.
#[derive(Debug)]
pub struct Relay {
    source: Events,
    events: Vec<Event>,
    number: u64,
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
    /// Passes on the events of `source`.
    pub const fn new(source: Events) -> Self {
        Self {
            source,
            events: Vec::new(),
            number: 0,
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
        match self.source.read(&mut self.events).await {
            Ok(()) => Ok(Some(self.write())),
            Err(error) => Ok(Some(self.fail(error))),
        }
    }

    /// Writes the events that were read, and the end when it is reached.
    fn write(&mut self) -> Bytes {
        let mut bytes = BytesMut::new();
        for event in self.events.drain(..) {
            self.number += 1;
            number(self.number, event.lines(), &mut bytes);
        }
        if self.source.is_done() {
            self.number += 1;
            number(self.number, DONE, &mut bytes);
            self.state = State::Done;
        }
        bytes.freeze()
    }

    /// Returns the event that tells the caller of a failure.
    fn fail(&mut self, error: Error) -> Bytes {
        let begun = self.source.has_started();
        let attempts = self.source.attempts();
        if begun {
            attempts.mark_ran();
        }
        let told = attempts.fail(&error);
        attempts.worker().shared.metrics.failed(told.code(), told.outcome);
        let event = format!("data: {}\n\n", told.body(attempts.call().id));
        self.state = State::Failed(error);
        Bytes::from(event)
    }
}

/// Writes an event with its number, from which a caller can take the stream up again.
fn number(number: u64, lines: &[u8], bytes: &mut BytesMut) {
    bytes.reserve(lines.len() + FRAME);
    // Writing into a buffer cannot fail.
    let _ = writeln!(bytes, "id: {number}");
    bytes.extend_from_slice(lines);
    bytes.extend_from_slice(b"\n\n");
}
