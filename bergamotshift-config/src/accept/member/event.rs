//! What reaches a member, and what it wants done.

use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;
use serde::Deserialize;
use serde::Serialize;

use crate::accept::record::Revision;
use crate::accept::record::View;
use crate::config::Config;
use crate::digest::Digest;
use crate::manifest::Manifest;

/// What entries tell each other: the highest head they know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Announcement {
    /// The head and the version of its row.
    pub view: View,
    /// Whether the sender holds all content that the head names, and can be asked for it.
    pub holds: bool,
}

/// Where content can be had.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The platform's object store.
    Platform,
    /// Another entry.
    Peer(name::Entry),
}

/// What reaches a member. Each `Read`, `Fetch` and `Write` is answered by one event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The entry's place among the live entries of its zone, from 0; the same order at all of them, as far as they
    /// agree on who lives.
    Ranked(u16),
    /// The rows of a read, in the order of its keys.
    Rows(Vec<Option<Row>>),
    /// A read failed.
    ReadFailed,
    /// The entry's own proposer wrote a newer head.
    Published(View),
    /// Another entry's announcement came.
    Announced {
        /// The other entry.
        from: name::Entry,
        /// What it says.
        announcement: Announcement,
    },
    /// The content of a fetch.
    Fetched(Manifest),
    /// A fetch failed.
    FetchFailed,
    /// A transaction ended.
    Ended(Ending),
}

/// What a member wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Reads rows, each at its latest.
    Read(Vec<Key>),
    /// Fetches the content with this digest; only files that are not held need to travel.
    Fetch {
        /// The digest.
        digest: Digest,
        /// Whom to ask.
        from: Source,
    },
    /// Runs a transaction.
    Write(Vec<Write>),
    /// Sends the announcement to the entry's neighbours.
    Announce(Announcement),
    /// Sends the announcement to an entry that knows less.
    Reply {
        /// The entry.
        to: name::Entry,
        /// What to tell it.
        announcement: Announcement,
    },
    /// Puts a version in force; it is higher than any before.
    Switch {
        /// The version.
        revision: Revision,
        /// The configuration.
        config: Arc<Config>,
    },
    /// Tells the operators that this release can't use an accepted version; the last one stays in force.
    Reject {
        /// The version.
        revision: Revision,
        /// Why.
        reason: String,
    },
}
