//! The claim's row in the platform's table.

use bergamotshift_core::attempt;
use bergamotshift_core::name;
use bergamotshift_core::table;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::answer::Answer;
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

/// A row's body is no claim record.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// The layout number is one that this version does not know.
    #[error("the claim row has layout {0}, which this version does not read")]
    Layout(u8),
    /// The body does not decode.
    #[error("the claim row does not decode: {0}")]
    Codec(#[from] postcard::Error),
    /// The body is empty.
    #[error("the claim row is empty")]
    Empty,
}

/// The layout that this version writes.
const LAYOUT: u8 = 1;

impl Record {
    /// Encodes the record as a row's body.
    ///
    /// # Panics
    ///
    /// Never: every part of a record has an encoding and the buffer grows as needed.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![LAYOUT]).expect("a record encodes into a growing buffer")
    }

    /// Decodes a row's body.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the body is empty, has an unknown layout or does not decode.
    pub fn decode(body: &[u8]) -> Result<Self, Error> {
        match body {
            [] => Err(Error::Empty),
            [LAYOUT, rest @ ..] => Ok(postcard::from_bytes(rest)?),
            [layout, ..] => Err(Error::Layout(*layout)),
        }
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
