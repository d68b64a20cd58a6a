//! The control thread: processes events and publishes snapshots for the worker threads.
//!
//! Worker threads send it a message only if an attempt failed. Its whole state is one [`State`]; tasks that wait for
//! the network report their results over the same channel.

mod death;
mod faults;
mod fleet;
mod listing;
mod parts;
mod peers;
mod publish;
mod state;

use std::sync::Arc;
use std::time;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::quarantine::part;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

pub use self::state::State;
use crate::admin::status::Status;
use crate::snapshot::Endpoint;
use crate::watch;

/// State of an endpoint after a failed attempt, as determined by the control thread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Whether the endpoint had been announced as leaving.
    pub announced: bool,
    /// Whether nothing listens at the endpoint's address any more.
    pub dead: bool,
}

/// Request to the control thread from another thread.
#[derive(Debug)]
pub enum Request {
    /// An attempt ended without a complete answer; the endpoint's state is to be determined.
    AttemptFailed {
        /// Endpoint of the attempt.
        endpoint: Arc<Endpoint>,
        /// Whether the connection was established.
        connected: bool,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Parts of its prompt, if its answer had not begun.
        parts: Vec<part::Part>,
        /// Receiver of the verdict.
        answer: oneshot::Sender<Verdict>,
    },
    /// An operator asks for the entry's status.
    Status(oneshot::Sender<Status>),
    /// The control thread is to stop.
    Stop,
}

/// Message to the control thread.
#[derive(Debug)]
pub enum Message {
    /// Request from another thread.
    Request(Request),
    /// Event from a watch task.
    Watch(watch::Event),
    /// Event from another entry or from the fleet task.
    Peer(crate::peers::Event),
}

impl From<crate::peers::Event> for Message {
    fn from(event: crate::peers::Event) -> Self {
        Self::Peer(event)
    }
}

impl Message {
    /// Returns the message's label in the metrics.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::Request(Request::AttemptFailed { .. }) => "broken",
            Self::Request(Request::Status(_)) => "status",
            Self::Request(Request::Stop) => "stop",
            Self::Watch(watch::Event::Tick) => "tick",
            Self::Watch(watch::Event::Configured { .. }) => "configured",
            Self::Watch(watch::Event::Listed(_)) => "listed",
            Self::Watch(watch::Event::Noticed(_)) => "noticed",
            Self::Watch(watch::Event::Probed { .. }) => "probed",
            Self::Peer(_) => "told",
        }
    }
}

impl From<Request> for Message {
    fn from(request: Request) -> Self {
        Self::Request(request)
    }
}

impl From<watch::Event> for Message {
    fn from(event: watch::Event) -> Self {
        Self::Watch(event)
    }
}

/// Sender of messages to the control thread.
#[derive(Clone, Debug)]
pub struct Sender(mpsc::UnboundedSender<Message>);

impl Sender {
    /// Creates a channel to a control thread.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self(sender), receiver)
    }

    /// Sends a message; after the control thread has ended, the message is dropped and not answered.
    pub fn send(&self, message: impl Into<Message>) {
        drop(self.0.send(message.into()));
    }
}

/// Handles messages until [`Request::Stop`] arrives or all senders are dropped.
pub async fn run(mut state: State, mut messages: mpsc::UnboundedReceiver<Message>) {
    while let Some(message) = messages.recv().await {
        let started = time::Instant::now();
        if !state.handle(message) {
            return;
        }
        // All queued messages are handled before one snapshot is published for them.
        while let Ok(message) = messages.try_recv() {
            if !state.handle(message) {
                return;
            }
        }
        state.publish();
        state.record_turn(started.elapsed());
    }
}
