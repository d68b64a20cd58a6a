//! Takes one non-repeatable request from its claim to its recorded answer.
//!
//! One conditional insert in state [`State::Sent`] comes before the first byte of the request, and only the driver
//! that drew the record's attempt id may send. The driver sends once or never, so no lease is needed: a holder that
//! pauses between claim and send and wakes up later is still the only one that could send.
//!
//! `not-run` is true for a simple reason: the driver says it only in phases from which no path leads to
//! [`Action::Send`], and no other process knows the attempt id before it is in the table, nor ever sends under it.

mod claiming;
mod event;
mod recording;

use core::time::Duration;

use bergamotshift_core::attempt;
use bergamotshift_core::clock::Instant;
use bergamotshift_core::name;
use bergamotshift_core::table::Ending;

pub use self::event::Action;
pub use self::event::Completion;
pub use self::event::Event;
pub use self::event::Op;
pub use self::event::Reading;
pub use self::event::Reason;
pub use self::event::Reply;
pub use self::event::Unreachable;
use self::recording::Recording;
use crate::digest::Digest;
use crate::record::Record;
use crate::record::State;
use crate::scope::Scope;
use crate::wall::WallClock;

/// What one caller's sending of a non-repeatable request is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// The idempotency key and what it belongs to.
    pub scope: Scope,
    /// The digest of what is asked for.
    pub digest: Digest,
    /// A fresh attempt id, drawn at random for this sending alone.
    pub attempt: attempt::Id,
    /// This entry.
    pub holder: name::Entry,
    /// No byte leaves at or after this time.
    pub deadline: Instant,
    /// The wall clock.
    pub wall_clock: WallClock,
}

/// How patient a driver is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// How long the claim may take before the request is refused.
    pub claim_timeout: Duration,
    /// How many times the claim's row is written or read before the request is refused.
    pub claim_tries: u8,
    /// How many times the final state is written before it is left as it is.
    pub record_tries: u8,
    /// The wait after the first failed write of the final state; it doubles each time.
    pub backoff: Duration,
    /// The longest wait between two writes of the final state.
    pub backoff_limit: Duration,
    /// What a refused caller is told to wait.
    pub retry_after: Duration,
    /// The longest body that is kept in the row, in bytes; longer ones go to the object store.
    pub max_inline_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            claim_timeout: Duration::from_millis(1_500),
            claim_tries: 6,
            record_tries: 12,
            backoff: Duration::from_millis(100),
            backoff_limit: Duration::from_secs(15),
            retry_after: Duration::from_secs(1),
            max_inline_bytes: 4 << 10,
        }
    }
}

/// Where a driver stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// Not asked yet.
    Idle,
    /// The claim is being written over the row's version `base`.
    Claiming { base: u64 },
    /// The row is being read to learn who holds it.
    Settling,
    /// The request was given out for sending; the row stands at `version`.
    Sending { version: u64 },
    /// The answer's body is on its way to the object store.
    Storing {
        version: u64,
        answer: crate::answer::Answer,
    },
    /// The final state is being written.
    Recording(Recording),
    /// The driver gave up before sending, and its claim may still land in the table.
    Clearing,
    /// Nothing is left to do.
    Closed,
}

/// Drives one sending of a non-repeatable request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Driver {
    request: Request,
    settings: Settings,
    phase: Phase,
    /// The operation whose result is awaited; results of others are stale.
    op: Op,
    /// When [`Event::Woke`] counts.
    due: Option<Instant>,
    tries: u8,
    /// Some write of the claim had an unknown ending, so it may land later.
    doubt: bool,
    /// Another sending's row was in the way.
    contested: bool,
}

impl Driver {
    /// Makes a driver that waits for [`Event::Ask`].
    pub const fn new(request: Request, settings: Settings) -> Self {
        Self {
            request,
            settings,
            phase: Phase::Idle,
            op: Op::FIRST,
            due: None,
            tries: 0,
            doubt: false,
            contested: false,
        }
    }

    /// Returns the request.
    pub const fn request(&self) -> &Request {
        &self.request
    }

    /// Returns whether nothing is left to do.
    pub const fn is_closed(&self) -> bool {
        matches!(self.phase, Phase::Closed)
    }

    /// Returns whether the result of this operation still matters.
    pub fn awaits(&self, op: Op) -> bool {
        self.op == op && !self.is_closed()
    }

    /// Returns when the driver wants [`Event::Woke`], if it waits for that.
    pub const fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Takes an event in and returns what is to be done about it, in order.
    pub fn on(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Ask => self.asked(now),
            Event::Written { op, ending } if op == self.op => self.written(now, &ending),
            Event::Rows { op, row } if op == self.op => self.rows(now, row),
            Event::Stored { op, is_stored } if op == self.op => self.stored(is_stored),
            Event::Completed(verdict) => self.endpoint(verdict),
            Event::Cancel => self.cancelled(now),
            Event::Woke if self.due.is_some_and(|due| now >= due) => self.woke(now),
            // A stale result, or a timer that was replaced.
            Event::Written { .. } | Event::Rows { .. } | Event::Stored { .. } | Event::Woke => Vec::new(),
        }
    }

    fn woke(&mut self, now: Instant) -> Vec<Action> {
        self.due = None;
        match &self.phase {
            Phase::Claiming { .. } | Phase::Settling => self.give_up(now, Reason::Table),
            Phase::Recording(_) => self.write_final(),
            Phase::Clearing => self.read(),
            Phase::Idle | Phase::Sending { .. } | Phase::Storing { .. } | Phase::Closed => Vec::new(),
        }
    }

    fn written(&mut self, now: Instant, ending: &Ending) -> Vec<Action> {
        match self.phase {
            Phase::Claiming { base } => self.claim_written(now, base, ending),
            Phase::Recording(_) => self.final_written(now, ending),
            _ => Vec::new(),
        }
    }

    fn rows(&mut self, now: Instant, row: Reading) -> Vec<Action> {
        match self.phase {
            Phase::Settling => self.settled(now, row),
            Phase::Clearing => self.cleared(now, row),
            _ => Vec::new(),
        }
    }

    /// Starts the next operation; results of earlier ones become stale.
    fn next_op(&mut self) -> Op {
        self.op = self.op.next();
        self.op
    }

    fn read(&mut self) -> Vec<Action> {
        let op = self.next_op();
        vec![Action::Read {
            op,
            key: self.request.scope.row(),
        }]
    }

    fn record(&self, state: State) -> Record {
        Record {
            scope: self.request.scope.clone(),
            digest: self.request.digest,
            attempt: self.request.attempt,
            holder: self.request.holder.clone(),
            until: self.request.wall_clock.millis(self.request.deadline),
            state,
        }
    }

    fn reply_and_close(&mut self, reply: Reply) -> Vec<Action> {
        self.phase = Phase::Closed;
        self.due = None;
        vec![Action::Reply(reply)]
    }
}
