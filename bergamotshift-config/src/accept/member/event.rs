//! Events and actions of a member.

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

/// Message between entries with the highest head that the sender knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Announcement {
    /// Head and the version of its row.
    pub view: View,
    /// Whether the sender holds all content that the head refers to, so that it can be fetched from the sender.
    pub holds: bool,
}

/// Place from which content is fetched.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// Object store of the platform.
    Platform,
    /// Another entry.
    Peer(name::Entry),
}

/// Input of a member. Each [`Action::Read`], [`Action::Fetch`] and [`Action::Write`] is answered by one event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The time of the next wake-up was reached.
    Tick,
    /// The entry's rank among the live entries of its zone changed. Ranks count from 0; entries that agree on which
    /// entries are live agree on the ranks.
    Ranked(u16),
    /// A read returned these rows, in the order of its keys.
    Rows(Vec<Option<Row>>),
    /// A read failed.
    ReadFailed,
    /// The proposer in this entry's process wrote a newer head.
    Published(View),
    /// An announcement was received from another entry.
    Announced {
        /// Sender of the announcement.
        from: name::Entry,
        /// Announcement that was received.
        announcement: Announcement,
    },
    /// A fetch returned this content.
    Fetched(Manifest),
    /// A fetch failed.
    FetchFailed,
    /// A transaction ended with this result.
    Ended(Ending),
}

/// Action that a member requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Reads the latest version of each row.
    Read(Vec<Key>),
    /// Fetches the content with this digest. Files that the entry already holds need not be transferred.
    Fetch {
        /// Digest of the content.
        digest: Digest,
        /// Place to fetch from.
        from: Source,
    },
    /// Runs a transaction.
    Write(Vec<Write>),
    /// Sends the announcement to the entry's neighbours.
    Announce(Announcement),
    /// Sends the announcement to an entry that announced an older head.
    Reply {
        /// Receiver of the announcement.
        to: name::Entry,
        /// Announcement to send.
        announcement: Announcement,
    },
    /// Puts a version in force. It is higher than every version that was in force before.
    Switch {
        /// Version to put in force.
        revision: Revision,
        /// Configuration of the version.
        config: Arc<Config>,
    },
    /// Reports that this release cannot use an accepted version. The previous version stays in force.
    Reject {
        /// Version that cannot be used.
        revision: Revision,
        /// Reason for the rejection.
        reason: String,
    },
}
