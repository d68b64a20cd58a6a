//! What reaches a proposer, and what it wants done.

use bergamotshift_core::prelude::*;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;
use smol_str::SmolStr;

use crate::accept::record::Id;
use crate::accept::record::Revision;
use crate::accept::record::View;
use crate::digest::Digest;
use crate::manifest::Manifest;

/// An operator's change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Request {
    /// Identifies the change; drawn at random, never used twice.
    pub id: Id,
    /// Who makes it.
    pub author: SmolStr,
    /// When, in milliseconds since 1970.
    pub at: u64,
    /// The content that the operator started from; empty when there was none.
    pub base: Manifest,
    /// The content that the operator wants.
    pub ours: Manifest,
}

/// What reaches a proposer. Each action but `Publish` and `Finish` is answered by one event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The rows of a read, in the order of its keys.
    Rows(Vec<Option<Row>>),
    /// A read failed.
    ReadFailed,
    /// The content of a fetch.
    Fetched(Manifest),
    /// A fetch failed.
    FetchFailed,
    /// The content is durable.
    Stored,
    /// The content may not be durable.
    StoreFailed,
    /// A transaction ended.
    Ended(Ending),
}

/// What a proposer wants done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Reads rows, each at its latest.
    Read(Vec<Key>),
    /// Fetches the content with this digest.
    Fetch(Digest),
    /// Makes the content durable, under its digest.
    Store(Manifest),
    /// Runs a transaction.
    Write(Vec<Write>),
    /// Hands the entry's own member a newer view, so that it need not wait for its next read.
    Publish(View),
    /// Tells the operator; the proposer is done.
    Finish(Outcome),
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Outcome {
    /// It is accepted and never goes back.
    Accepted {
        /// The version and its content.
        revision: Revision,
        /// Zones that were cut off and had not staged it.
        passed_over: Vec<name::Zone>,
    },
    /// The accepted version holds it already.
    Unchanged(Revision),
    /// Another operator changed the same files.
    Conflict(Vec<SmolStr>),
    /// Together with what others changed it is not a valid configuration.
    Invalid(String),
    /// A zone's entries can't use it; it was withdrawn.
    Refused {
        /// The zone.
        zone: name::Zone,
        /// What its entry says.
        reason: SmolStr,
    },
    /// Live zones did not stage it in time; it was withdrawn.
    Late(Vec<name::Zone>),
    /// Another operator's change was under way all the time.
    Busy,
    /// The platform could not be reached; nothing was proposed.
    Unreachable,
    /// The platform could not be reached, and the change may have been accepted. The history tells.
    Unknown,
}
