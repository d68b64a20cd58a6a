//! Events and actions of a driver, and its reply to the caller.

use core::time::Duration;

use bergamotshift_core::clock::Instant;
use bergamotshift_core::outcome::Outcome;
use bergamotshift_core::table;
use smol_str::SmolStr;

use crate::answer::Answer;

/// Number of a driver's operation on the platform, which distinguishes a late result from the awaited one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Op(u32);

impl Op {
    pub(super) const FIRST: Self = Self(0);

    pub(super) const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Result of reading a row: the row, if it exists, or an error if it could not be read.
pub type Reading = Result<Option<table::Row>, Unreachable>;

/// Error for a read that the platform did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Unreachable;

/// Input of a driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The caller's request arrived.
    Ask,
    /// A write to the table ended.
    Written {
        /// Operation of the write.
        op: Op,
        /// Ending of the write.
        ending: table::Ending,
    },
    /// A read of the table ended.
    Rows {
        /// Operation of the read.
        op: Op,
        /// Result of the read.
        row: Reading,
    },
    /// Putting the answer's body into the object store ended.
    Stored {
        /// Operation of the put.
        op: Op,
        /// Whether the body is known to be stored.
        is_stored: bool,
    },
    /// The endpoint call started by [`Action::Send`] ended.
    Completed(Completion),
    /// The caller disconnected.
    Cancel,
    /// The time of the last [`Action::Wake`] was reached.
    Woke,
}

/// Result of an endpoint call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// A complete answer was received.
    Answered(Answer),
    /// No byte of the request was sent, or the endpoint provably refused it before it executed anything.
    Refused,
    /// The request may have been executed, and its answer is lost.
    Lost,
}

/// Action that the driver requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Writes to the table; [`Event::Written`] reports the ending.
    Write {
        /// Operation to pass back with the ending.
        op: Op,
        /// Write to perform.
        write: table::Write,
    },
    /// Reads a row with a consistent read; [`Event::Rows`] reports it.
    Read {
        /// Operation to pass back with the row.
        op: Op,
        /// Key of the row.
        key: table::Key,
    },
    /// Puts a body into the object store; [`Event::Stored`] reports the result.
    Store {
        /// Operation to pass back with the result.
        op: Op,
        /// Key of the object.
        key: SmolStr,
        /// Body to store.
        body: Vec<u8>,
    },
    /// Sends the request to one endpoint; [`Event::Completed`] reports the result.
    ///
    /// Another endpoint may be tried only as long as no byte of the request was sent.
    Send,
    /// Sends the caller its final reply.
    Reply(Reply),
    /// Sets the timer for [`Event::Woke`], replacing an earlier one.
    Wake(Instant),
}

/// Final reply to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// This request was executed, with this answer.
    Answer(Answer),
    /// An earlier request with the same key was executed, with this answer.
    Replay(Answer),
    /// This request was not executed and never will be.
    NotRun {
        /// Reason why it was not executed.
        reason: Reason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The request was sent and may have been executed. It is never sent again.
    Unknown,
    /// Another request with the same key holds the claim and may be running.
    InProgress {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The key was used for a different request.
    Mismatch,
}

/// Reason why a request was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The table service did not accept the claim in time.
    Table,
    /// The request's deadline passed before it could be sent.
    Deadline,
    /// No endpoint accepted the request.
    Endpoint,
    /// The caller disconnected first.
    Cancelled,
}

impl Reply {
    /// Returns whether the request was executed, as reported to the caller.
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::Answer(_) | Self::Replay(_) => Outcome::Ran,
            Self::NotRun { .. } | Self::Mismatch => Outcome::NotRun,
            Self::Unknown | Self::InProgress { .. } => Outcome::Unknown,
        }
    }

    /// Returns the HTTP status code for the caller.
    pub const fn status(&self) -> u16 {
        match self {
            Self::Answer(answer) | Self::Replay(answer) => answer.status,
            Self::NotRun { .. } => 503,
            Self::Unknown => 502,
            Self::InProgress { .. } => 409,
            Self::Mismatch => 422,
        }
    }

    /// Returns the time after which the caller may retry, if a retry is useful.
    pub const fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NotRun { retry_after, .. } | Self::InProgress { retry_after } => Some(*retry_after),
            _ => None,
        }
    }
}
