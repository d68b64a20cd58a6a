//! Events, actions and outcomes of a proposer.

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

/// Change that an operator requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Request {
    /// Identifier of the change, drawn at random and never reused.
    pub id: Id,
    /// Author of the change.
    pub author: SmolStr,
    /// Time of the change in milliseconds since 1970.
    pub at: u64,
    /// Content that the operator started from; empty if there was none.
    pub base: Manifest,
    /// Content after the operator's edits.
    pub ours: Manifest,
}

/// Input of a proposer. Each action except [`Action::Publish`] and [`Action::Finish`] is answered by one event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The time of the next wake-up was reached.
    Tick,
    /// A read returned these rows, in the order of its keys.
    Rows(Vec<Option<Row>>),
    /// A read failed.
    ReadFailed,
    /// A fetch returned this content.
    Fetched(Manifest),
    /// A fetch failed.
    FetchFailed,
    /// The content was stored durably.
    Stored,
    /// The store failed; the content may not be durable.
    StoreFailed,
    /// A transaction ended with this result.
    Ended(Ending),
}

/// Action that a proposer requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Reads the latest version of each row.
    Read(Vec<Key>),
    /// Fetches the content with this digest.
    Fetch(Digest),
    /// Stores the content durably under its digest.
    Store(Manifest),
    /// Runs a transaction.
    Write(Vec<Write>),
    /// Passes a newer view to the member in the same process, so that it need not wait for its next read.
    Publish(View),
    /// Reports the outcome to the operator and ends the proposer.
    Finish(Outcome),
}

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Outcome {
    /// The change was accepted and is never reverted.
    Accepted {
        /// Version number and digest of the content.
        revision: Revision,
        /// Zones that were cut off and had not staged the version.
        passed_over: Vec<name::Zone>,
    },
    /// The accepted version already contains the change.
    Unchanged(Revision),
    /// Another operator changed these files too.
    Conflict(Vec<SmolStr>),
    /// The change, merged with the accepted version, is not a valid configuration.
    Invalid(String),
    /// The entries of a zone cannot use the content; the proposal was withdrawn.
    Refused {
        /// Zone that refused the proposal.
        zone: name::Zone,
        /// Reason that the zone's entry gave.
        reason: SmolStr,
    },
    /// These live zones did not stage the proposal in time; it was withdrawn.
    Late(Vec<name::Zone>),
    /// The head held another operator's proposal until the deadline.
    Busy,
    /// The platform cannot be reached; nothing was proposed.
    Unreachable,
    /// The platform cannot be reached, and the change may have been accepted. The history shows whether it was.
    Unknown,
}
