//! State machine for one non-repeatable request, from writing its claim to recording its answer.
//!
//! Before the first byte of the request is sent, a conditional insert records the claim in state [`State::Sent`]. Only
//! the driver that generated the record's attempt id may send the request. It sends at most once, so no lease is
//! needed: a holder that is paused between the claim and the send is still the only one that can send.
//!
//! The outcome `not-run` is reliable: the driver reports it only in phases from which [`Action::Send`] cannot be
//! reached, and no other process knows the attempt id before it is in the table or ever sends under it.

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
use crate::wall::Clock;

/// Non-repeatable request, as sent once by a caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// Idempotency key, with its organisation and service.
    pub scope: Scope,
    /// Digest of the request.
    pub digest: Digest,
    /// Attempt id, generated at random for this request only.
    pub attempt: attempt::Id,
    /// Name of this entry.
    pub holder: name::Entry,
    /// Time from which no byte of the request may be sent any more.
    pub deadline: Instant,
    /// Wall clock that converts the deadline for the record.
    pub wall_clock: Clock,
}

/// Settings of a [`Driver`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Timeout for the claim, after which the request is refused.
    pub claim_timeout: Duration,
    /// Maximum number of reads of the claim's row before the request is refused.
    pub claim_tries: u8,
    /// Maximum number of retries of the final state's write, or of clearing a claim, before the row is left as it is.
    pub record_tries: u8,
    /// Backoff after the first failed write of the final state; it doubles with each failure.
    pub backoff: Duration,
    /// Maximum backoff between two writes of the final state.
    pub backoff_limit: Duration,
    /// Time after which a caller may retry, if its request did not run or is in progress.
    pub retry_after: Duration,
    /// Maximum length of a body that is stored in the row, in bytes; longer ones are put into the object store.
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

/// Phase of a driver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// [`Event::Ask`] has not arrived yet.
    Idle,
    /// The claim is being written over version `base` of the row.
    Claiming { base: u64 },
    /// The row is being read to determine which attempt holds the claim.
    Resolving,
    /// The request is being sent; the row has version `version`.
    Sending { version: u64 },
    /// The answer's body is being put into the object store.
    Storing {
        version: u64,
        answer: crate::answer::Answer,
    },
    /// The final state is being written.
    Recording(Recording),
    /// The driver gave up before sending, and a write of its claim may still take effect.
    Clearing,
    /// The driver has finished.
    Closed,
}

/// State machine for one non-repeatable request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Driver {
    request: Request,
    settings: Settings,
    phase: Phase,
    /// Operation whose result is awaited; the results of others are stale.
    op: Op,
    /// Time from which [`Event::Woke`] is handled.
    due: Option<Instant>,
    tries: u8,
    /// Whether a write of the claim had an unknown ending, so that it may still take effect.
    has_unknown_write: bool,
    /// Whether the last write of the claim conflicted, so that a row with the key exists.
    is_contested: bool,
}

impl Driver {
    /// Creates a driver that waits for [`Event::Ask`].
    pub const fn new(request: Request, settings: Settings) -> Self {
        Self {
            request,
            settings,
            phase: Phase::Idle,
            op: Op::FIRST,
            due: None,
            tries: 0,
            has_unknown_write: false,
            is_contested: false,
        }
    }

    /// Returns the request.
    pub const fn request(&self) -> &Request {
        &self.request
    }

    /// Returns whether the driver has finished.
    pub const fn is_closed(&self) -> bool {
        matches!(self.phase, Phase::Closed)
    }

    /// Returns whether the driver awaits the result of `op`; other results are ignored.
    pub fn awaits(&self, op: Op) -> bool {
        self.op == op && !self.is_closed()
    }

    /// Returns the time at which the driver expects [`Event::Woke`], if it has set a timer.
    pub const fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Handles an event and returns the actions to perform, in order.
    pub fn on(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Ask => self.start(now),
            Event::Written { op, ending } if op == self.op => self.written(now, &ending),
            Event::Rows { op, row } if op == self.op => self.row_read(now, row),
            Event::Stored { op, is_stored } if op == self.op => self.stored(is_stored),
            Event::Completed(completion) => self.completed(completion),
            Event::Cancel => self.cancelled(now),
            Event::Woke if self.due.is_some_and(|due| now >= due) => self.woke(now),
            // Stale results, and timers that were replaced.
            Event::Written { .. } | Event::Rows { .. } | Event::Stored { .. } | Event::Woke => Vec::new(),
        }
    }

    fn woke(&mut self, now: Instant) -> Vec<Action> {
        self.due = None;
        match &self.phase {
            Phase::Claiming { .. } | Phase::Resolving => self.give_up(now, Reason::Table),
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

    fn row_read(&mut self, now: Instant, row: Reading) -> Vec<Action> {
        match self.phase {
            Phase::Resolving => self.claim_read(now, row),
            Phase::Clearing => self.clearing_read(now, row),
            _ => Vec::new(),
        }
    }

    /// Returns the number of a new operation; the results of earlier ones become stale.
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
