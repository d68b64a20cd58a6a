//! Calls to the platform and their answers.

use bergamotshift_config::accept::member;
use bergamotshift_config::accept::proposer;
use bergamotshift_config::digest::Digest;
use bergamotshift_config::manifest::Manifest;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;

/// A call to the platform.
#[derive(Clone, Debug)]
pub enum Call {
    Read(Vec<Key>),
    Write(Vec<Write>),
    Fetch(Digest),
    Store(Manifest),
}

/// Who asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asker {
    Member,
    Proposer,
}

impl Call {
    /// Returns the answer when the call's own was lost.
    pub fn failure(&self) -> Reply {
        match self {
            Self::Read(_) => Reply::Unread,
            Self::Write(_) => Reply::Ended(Ending::Unknown),
            Self::Fetch(_) => Reply::Failed,
            Self::Store(_) => Reply::NotStored,
        }
    }
}

/// The platform's answer.
#[derive(Debug)]
pub enum Reply {
    Rows(Vec<Option<Row>>),
    Unread,
    Ended(Ending),
    Content(Manifest),
    Failed,
    Stored,
    NotStored,
}

impl Reply {
    pub fn into_member(self) -> member::Event {
        match self {
            Self::Rows(rows) => member::Event::Rows(rows),
            Self::Unread => member::Event::ReadFailed,
            Self::Ended(ending) => member::Event::Ended(ending),
            Self::Content(content) => member::Event::Fetched(content),
            Self::Failed | Self::Stored | Self::NotStored => member::Event::FetchFailed,
        }
    }

    pub fn into_proposer(self) -> proposer::Event {
        match self {
            Self::Rows(rows) => proposer::Event::Rows(rows),
            Self::Unread => proposer::Event::ReadFailed,
            Self::Ended(ending) => proposer::Event::Ended(ending),
            Self::Content(content) => proposer::Event::Fetched(content),
            Self::Failed => proposer::Event::FetchFailed,
            Self::Stored => proposer::Event::Stored,
            Self::NotStored => proposer::Event::StoreFailed,
        }
    }
}
