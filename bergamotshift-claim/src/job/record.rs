//! Record and open row of a job.

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

/// Request and state of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Identifier of the job.
    pub id: Id,
    /// Organisation that the job belongs to; no other one may see it.
    pub organisation: name::Organisation,
    /// Service that executes the job.
    pub service: name::Service,
    /// Digest of the request.
    pub digest: Digest,
    /// Request to execute.
    pub request: Request,
    /// Idempotency key sent by the caller.
    pub key: Option<SmolStr>,
    /// Whether the request may be executed more than once without harm.
    pub repeatable: bool,
    /// Time at which the job was accepted, in milliseconds since the Unix epoch.
    pub accepted: u64,
    /// State of the job.
    pub state: State,
}

/// Request of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Request {
    /// HTTP method.
    pub method: SmolStr,
    /// Path, with the query.
    pub path: SmolStr,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Body, or the place where it is stored.
    pub body: Body,
}

/// State of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum State {
    /// The job is waiting or running.
    Open,
    /// The job was executed.
    Done {
        /// Run that received the answer.
        run: attempt::Id,
        /// Answer of the endpoint.
        answer: Answer,
    },
    /// The job was given up.
    Failed {
        /// Last run.
        run: attempt::Id,
        /// Whether the request may have been executed.
        outcome: Outcome,
    },
    /// The caller cancelled the job.
    Cancelled,
}

/// Row that exists while a job is open.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Open {
    /// Urgency of the result.
    pub urgency: Urgency,
    /// Time at which the result is needed, in milliseconds since the Unix epoch.
    pub deadline: u64,
    /// Number of runs that were started, without those that certainly did not execute the request.
    pub fence: u64,
    /// Lease of the entry that runs the job, if any.
    pub lease: Option<Lease>,
}

/// Lease of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Lease {
    /// Entry that runs the job.
    pub holder: name::Entry,
    /// Identifier of the run, generated at random; it distinguishes runs before and after a restart of the entry.
    pub run: attempt::Id,
    /// Time for which the row may stay unchanged before the lease expires, in milliseconds.
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
    /// Returns an error if the body is empty, has an unknown layout or cannot be decoded.
    pub fn decode(body: &[u8]) -> Result<Self, codec::Error> {
        codec::decode(body)
    }

    /// Returns the transaction that accepts the job, which is durable once the transaction is applied.
    pub fn accept(&self, open: &Open) -> Vec<Write> {
        vec![
            put(self.id, Condition::Absent, self),
            open.write(self.id, Condition::Absent),
        ]
    }

    /// Returns the transaction that closes the job with a final state if the open row has version `open_version`.
    pub fn close(&self, state: State, open_version: u64) -> Vec<Write> {
        /// Version of the record after the job was accepted; it is only written again when the job is closed.
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

/// Returns the write that stores a record.
fn put(id: Id, condition: Condition, record: &Record) -> Write {
    Write {
        key: id.record_row(),
        condition,
        change: Change::Put(record.encode()),
    }
}

impl Open {
    /// Encodes the open row's body.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes a row's body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is empty, has an unknown layout or cannot be decoded.
    pub fn decode(body: &[u8]) -> Result<Self, codec::Error> {
        codec::decode(body)
    }

    /// Returns the write that stores this row.
    pub fn write(&self, id: Id, condition: Condition) -> Write {
        Write {
            key: id.open_row(),
            condition,
            change: Change::Put(self.encode()),
        }
    }

    /// Returns whether `run` holds the lease.
    pub fn is_held_by(&self, run: attempt::Id) -> bool {
        self.lease.as_ref().is_some_and(|lease| lease.run == run)
    }
}

impl Lease {
    /// Returns the time for which the row may stay unchanged before the lease expires.
    pub const fn length(&self) -> Duration {
        Duration::from_millis(self.length as u64)
    }
}
