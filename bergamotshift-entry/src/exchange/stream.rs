//! Forwards a model's event stream event by event.

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

/// Terminal event of a stream.
const DONE: &[u8] = b"data: [DONE]";

/// Maximum length that the number and line ends add to an event, in bytes.
const MAX_OVERHEAD: usize = 32;

/// Relay of a completion's events to the caller, numbered consecutively over all attempts.
#[derive(Debug)]
pub struct Relay {
    source: Events,
    events: Vec<Event>,
    number: u64,
    state: State,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Events are forwarded.
    Open,
    /// The terminal event was forwarded.
    Done,
    /// The caller was sent the failure; the connection is cut next.
    Failed(Error),
}

impl Relay {
    /// Creates a relay of the events of `source`.
    pub const fn new(source: Events) -> Self {
        Self {
            source,
            events: Vec::new(),
            number: 0,
            state: State::Open,
        }
    }

    /// Returns the stream of bytes for the caller.
    ///
    /// A stream that cannot be finished ends with an event that reports the failure, and then breaks the connection, so
    /// that it is not taken for complete.
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

    /// Encodes the events that were read, and the terminal event at the end.
    fn write(&mut self) -> Bytes {
        let mut bytes = BytesMut::new();
        for event in self.events.drain(..) {
            self.number += 1;
            write_event(self.number, event.lines(), &mut bytes);
        }
        if self.source.is_done() {
            self.number += 1;
            write_event(self.number, DONE, &mut bytes);
            self.state = State::Done;
        }
        bytes.freeze()
    }

    /// Records a failure and returns the event that reports it to the caller.
    fn fail(&mut self, error: Error) -> Bytes {
        let has_started = self.source.has_started();
        let attempts = self.source.attempts();
        if has_started {
            attempts.mark_ran();
        }
        let response = attempts.fail(&error);
        attempts
            .worker()
            .shared
            .metrics
            .failed(response.code(), response.outcome);
        let event = format!("data: {}\n\n", response.body(attempts.call().id));
        self.state = State::Failed(error);
        Bytes::from(event)
    }
}

/// Writes an event with its number, from which a caller can resume the stream.
fn write_event(number: u64, lines: &[u8], bytes: &mut BytesMut) {
    bytes.reserve(lines.len() + MAX_OVERHEAD);
    // Writing into a buffer cannot fail.
    let _ = writeln!(bytes, "id: {number}");
    bytes.extend_from_slice(lines);
    bytes.extend_from_slice(b"\n\n");
}
