//! Record of a claim in the platform's table.

use bergamotshift_core::attempt;
use bergamotshift_core::name;
use bergamotshift_core::table;
use serde::Deserialize;
use serde::Serialize;

use crate::answer::Answer;
use crate::codec;
use crate::digest::Digest;
use crate::scope::Scope;

/// Record of a non-repeatable request in the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Idempotency key of the request, with its organisation and service.
    pub scope: Scope,
    /// Digest of the request.
    pub digest: Digest,
    /// Identifier of the only attempt that may send the request.
    pub attempt: attempt::Id,
    /// Entry that generated the attempt id.
    pub holder: name::Entry,
    /// Deadline of the holder's request, in milliseconds since the Unix epoch. A claim that is still [`State::Sent`]
    /// after it has an unknown outcome.
    pub until: u64,
    /// State of the attempt.
    pub state: State,
}

/// State of a claim's attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum State {
    /// The driver with the attempt id may send the request once, and may have sent it already.
    Sent,
    /// The request was executed, with this answer.
    Done(Answer),
    /// The request was sent, and its answer was lost.
    Unknown,
    /// The request was not executed, as the holder gave up before it sent a byte or the endpoint provably refused it.
    /// The key may be claimed again.
    Withdrawn,
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

    /// Returns the write that stores this record if the row has version `base`; 0 requires that the row does not exist.
    pub fn write_over(&self, base: u64) -> table::Write {
        let condition = match base {
            0 => table::Condition::Absent,
            version => table::Condition::Version(version),
        };
        table::Write {
            key: self.scope.row(),
            condition,
            change: table::Change::Put(self.encode()),
        }
    }
}
