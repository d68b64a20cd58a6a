//! The control thread: folds what is reported and publishes snapshots.
//!
//! Worker threads talk to it over a channel, and only when an attempt failed. Everything it knows lives in one
//! [`State`]; tasks that wait for the network report back over the same channel.

mod death;
mod faults;
mod fleet;
mod listing;
mod peers;
mod publish;
mod state;

use std::sync::Arc;
use std::time;

use bergamotshift_core::prelude::*;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

pub use self::state::State;
use crate::admin::status::Status;
use crate::snapshot::Endpoint;
use crate::watch;

/// What the control thread found out about an endpoint whose attempt failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Whether the endpoint's end had been announced.
    pub announced: bool,
    /// Whether nothing listens there any more.
    pub dead: bool,
}

/// What a worker thread asks of the control thread.
#[derive(Debug)]
pub enum Request {
    /// An attempt brought no whole answer.
    AttemptFailed {
        /// Where it ran.
        endpoint: Arc<Endpoint>,
        /// Whether it ran at all, or no connection came about.
        connected: bool,
        /// What ran.
        fingerprint: Fingerprint,
        /// Gets the verdict.
        answer: oneshot::Sender<Verdict>,
    },
    /// An operator wants to know how things stand.
    Status(oneshot::Sender<Status>),
    /// The entry ends.
    Stop,
}

/// Everything that reaches the control thread.
#[derive(Debug)]
pub enum Message {
    /// A request of another thread.
    Request(Request),
    /// Something that a watching task saw.
    Seen(watch::Event),
    /// Something that another entry said.
    Told(crate::peers::Event),
}

impl From<crate::peers::Event> for Message {
    fn from(event: crate::peers::Event) -> Self {
        Self::Told(event)
    }
}

impl Message {
    /// Returns what kind of message it is, for the metrics.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::Request(Request::AttemptFailed { .. }) => "broken",
            Self::Request(Request::Status(_)) => "status",
            Self::Request(Request::Stop) => "stop",
            Self::Seen(watch::Event::Tick) => "tick",
            Self::Seen(watch::Event::Configured { .. }) => "configured",
            Self::Seen(watch::Event::Listed(_)) => "listed",
            Self::Seen(watch::Event::Noticed(_)) => "noticed",
            Self::Seen(watch::Event::Probed { .. }) => "probed",
            Self::Told(_) => "told",
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
        Self::Seen(event)
    }
}

/// Sends messages to the control thread.
#[derive(Clone, Debug)]
pub struct Sender(mpsc::UnboundedSender<Message>);

impl Sender {
    /// Makes a channel to a control thread.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self(sender), receiver)
    }

    /// Sends a message; when the control thread has ended it goes nowhere, and answers are never sent.
    pub fn send(&self, message: impl Into<Message>) {
        drop(self.0.send(message.into()));
    }
}

/// Serves messages until the entry ends.
pub async fn run(mut state: State, mut messages: mpsc::UnboundedReceiver<Message>) {
    while let Some(message) = messages.recv().await {
        let started = time::Instant::now();
        if !state.take(message) {
            return;
        }
        // Messages that wait already are folded into the same snapshot.
        while let Ok(message) = messages.try_recv() {
            if !state.take(message) {
                return;
            }
        }
        state.publish();
        state.turned(started.elapsed());
    }
}
