//! A job's two rows.

use core::time::Duration;

use bergamotshift_core::attempt;
use bergamotshift_core::name;
use bergamotshift_core::outcome::Outcome;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Write;
use bergamotshift_core::urgency::Urgency;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::Id;
use crate::answer::Answer;
use crate::answer::Body;
use crate::answer::Header;
use crate::codec;
use crate::digest::Digest;

/// What a job asks for, and what became of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// The job.
    pub id: Id,
    /// Whose job it is; nobody else may see it.
    pub organisation: name::Organisation,
    /// The service that runs it.
    pub service: name::Service,
    /// The digest of what is asked for.
    pub digest: Digest,
    /// The request.
    pub request: Request,
    /// The caller's idempotency key.
    pub key: Option<SmolStr>,
    /// Whether running it twice does no harm.
    pub repeatable: bool,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted: u64,
    /// What became of it.
    pub state: State,
}

/// The request that a job sends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Request {
    /// The HTTP method.
    pub method: SmolStr,
    /// The path with its query.
    pub path: SmolStr,
    /// The end-to-end headers.
    pub headers: Vec<Header>,
    /// The body or where it is kept.
    pub body: Body,
}

/// What became of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum State {
    /// It waits or runs.
    Open,
    /// It ran, and this was its answer.
    Done {
        /// The run that brought the answer.
        run: attempt::Id,
        /// The answer.
        answer: Answer,
    },
    /// It was given up.
    Failed {
        /// The run that was the last.
        run: attempt::Id,
        /// Whether it may have run.
        outcome: Outcome,
    },
    /// The caller cancelled it.
    Cancelled,
}

/// The row that exists while a job is open.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Open {
    /// How soon the result is needed.
    pub urgency: Urgency,
    /// When it is needed, in milliseconds since the Unix epoch.
    pub deadline: u64,
    /// How many runs were started, but for those that certainly did not run.
    pub fence: u64,
    /// Who runs it, if anybody does.
    pub lease: Option<Lease>,
}

/// Who runs a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Lease {
    /// The entry.
    pub holder: name::Entry,
    /// The run, drawn at random: another life of the same entry has others.
    pub run: attempt::Id,
    /// How long the row may stand unchanged before the holder counts as gone, in milliseconds.
    pub length: u32,
}

impl Record {
    /// Encodes the record as a row's body.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes a row's body.
    ///
    /// # Errors
    ///
    /// Returns an error when the body is empty, has an unknown layout or does not decode.
    pub fn decode(body: &[u8]) -> Result<Self, codec::Error> {
        codec::decode(body)
    }

    /// Returns the transaction that accepts the job; it is durable once this took effect.
    pub fn accept(&self, open: &Open) -> Vec<Write> {
        vec![
            put(self.id, Condition::Absent, self),
            open.write(self.id, Condition::Absent),
        ]
    }

    /// Returns the transaction that closes the job with a state, if its open row still has this version.
    pub fn close(&self, state: State, open_version: u64) -> Vec<Write> {
        /// The record is written twice in its life.
        const ACCEPTED: Condition = Condition::Version(1);
        let closed = Self { state, ..self.clone() };
        let remove = Write {
            key: self.id.open_row(),
            condition: Condition::Version(open_version),
            change: Change::Delete,
        };
        vec![remove, put(self.id, ACCEPTED, &closed)]
    }
}

fn put(id: Id, condition: Condition, record: &Record) -> Write {
    Write {
        key: id.record_row(),
        condition,
        change: Change::Put(record.encode()),
    }
}

impl Open {
    /// Encodes the row's body.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes a row's body.
    ///
    /// # Errors
    ///
    /// Returns an error when the body is empty, has an unknown layout or does not decode.
    pub fn decode(body: &[u8]) -> Result<Self, codec::Error> {
        codec::decode(body)
    }

    /// Returns the write that puts this row.
    pub fn write(&self, id: Id, condition: Condition) -> Write {
        Write {
            key: id.open_row(),
            condition,
            change: Change::Put(self.encode()),
        }
    }

    /// Returns whether this run holds the lease.
    pub fn is_held_by(&self, run: attempt::Id) -> bool {
        self.lease.as_ref().is_some_and(|lease| lease.run == run)
    }
}

impl Lease {
    /// Returns how long the row may stand unchanged.
    pub const fn length(&self) -> Duration {
        Duration::from_millis(self.length as u64)
    }
}
