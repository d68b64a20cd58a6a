//! The claim's row in the platform's table.

use bergamotshift_core::attempt;
use bergamotshift_core::name;
use bergamotshift_core::table;
use serde::Deserialize;
use serde::Serialize;

use crate::answer::Answer;
use crate::codec;
use crate::digest::Digest;
use crate::scope::Scope;

/// What the table holds about one non-repeatable request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// The request's idempotency key and what it belongs to.
    pub scope: Scope,
    /// The digest of what the request asks for.
    pub digest: Digest,
    /// The only attempt that may send the request.
    pub attempt: attempt::Id,
    /// The entry that drew the attempt id.
    pub holder: name::Entry,
    /// When the holder stops waiting for the endpoint, in milliseconds since the Unix epoch.
    pub until: u64,
    /// How far the attempt got.
    pub state: State,
}

/// How far a claim's attempt got.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum State {
    /// The holder of the attempt id may send, once. It may have sent already.
    Sent,
    /// The request ran, and this was its answer.
    Done(Answer),
    /// The request was sent, and its answer was lost.
    Unknown,
    /// The holder gave up before a byte left, or the endpoint proved that it refused: the key may be claimed again.
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
    /// Returns an error when the body is empty, has an unknown layout or does not decode.
    pub fn decode(body: &[u8]) -> Result<Self, codec::Error> {
        codec::decode(body)
    }

    /// Returns the write that puts this record over the row's version `base`, where 0 means that no row exists.
    pub fn over(&self, base: u64) -> table::Write {
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
