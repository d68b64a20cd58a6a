//! What goes into a driver and what comes out of it.

use core::time::Duration;

use bergamotshift_core::clock::Instant;
use bergamotshift_core::outcome::Outcome;
use bergamotshift_core::table;
use smol_str::SmolStr;

use crate::answer::Answer;

/// Numbers a driver's operations on the platform, so that a late result is not taken for the awaited one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Op(u32);

impl Op {
    pub(super) const FIRST: Self = Self(0);

    pub(super) const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The result of reading a row: the row if there is one, or that it could not be read.
pub type Reading = Result<Option<table::Row>, Unreachable>;

/// The platform did not answer a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Unreachable;

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The caller asked.
    Ask,
    /// A write ended.
    Written {
        /// Which write.
        op: Op,
        /// How it ended.
        ending: table::Ending,
    },
    /// A read ended.
    Rows {
        /// Which read.
        op: Op,
        /// The row.
        row: Reading,
    },
    /// The object store took the answer's body, or did not.
    Stored {
        /// Which put.
        op: Op,
        /// Whether it is known to be kept.
        is_stored: bool,
    },
    /// The endpoint call that [`Action::Send`] started came to its end.
    Completed(Completion),
    /// The caller went away.
    Cancel,
    /// The time of the last [`Action::Wake`] has come.
    Woke,
}

/// How an endpoint call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// A whole answer arrived.
    Answered(Answer),
    /// No byte of the request left, or the endpoint proved that it refused it before any work.
    Refused,
    /// The request may have run, and its answer is lost.
    Lost,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write to the table; [`Event::Written`] tells how it ended.
    Write {
        /// Comes back with the ending.
        op: Op,
        /// The write.
        write: table::Write,
    },
    /// Read a row consistently; [`Event::Rows`] brings it.
    Read {
        /// Comes back with the row.
        op: Op,
        /// The row.
        key: table::Key,
    },
    /// Put a body into the object store; [`Event::Stored`] tells how it ended.
    Store {
        /// Comes back with the result.
        op: Op,
        /// The object's key.
        key: SmolStr,
        /// The body.
        body: Vec<u8>,
    },
    /// Send the request to one endpoint; [`Event::Completed`] tells how it ended.
    ///
    /// The shell may go on to another endpoint only as long as no byte of the request has left.
    Send,
    /// Give the caller its final answer.
    Reply(Reply),
    /// Wake the driver at this time; replaces the earlier time.
    Wake(Instant),
}

/// What the caller is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The request ran just now, and this is its answer.
    Answer(Answer),
    /// The request ran earlier, and this was its answer.
    Replay(Answer),
    /// This sending did not run and never will.
    NotRun {
        /// Why.
        reason: Reason,
        /// When to ask again.
        retry_after: Duration,
    },
    /// The request was sent and may have run. It is never sent again.
    Unknown,
    /// Another sending of the same key holds the claim and may be running.
    InProgress {
        /// When to ask again.
        retry_after: Duration,
    },
    /// The key belongs to a request with another body.
    Mismatch,
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The table service did not take the claim in time.
    Table,
    /// The request's deadline came before it could be sent.
    Deadline,
    /// No endpoint took the request.
    Endpoint,
    /// The caller went away first.
    Cancelled,
}

impl Reply {
    /// Returns what the caller is told about whether the request ran.
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::Answer(_) | Self::Replay(_) => Outcome::Ran,
            Self::NotRun { .. } | Self::Mismatch => Outcome::NotRun,
            Self::Unknown | Self::InProgress { .. } => Outcome::Unknown,
        }
    }

    /// Returns the HTTP status for the caller.
    pub const fn status(&self) -> u16 {
        match self {
            Self::Answer(answer) | Self::Replay(answer) => answer.status,
            Self::NotRun { .. } => 503,
            Self::Unknown => 502,
            Self::InProgress { .. } => 409,
            Self::Mismatch => 422,
        }
    }

    /// Returns when the caller should ask again, where that helps.
    pub const fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NotRun { retry_after, .. } | Self::InProgress { retry_after } => Some(*retry_after),
            _ => None,
        }
    }
}
