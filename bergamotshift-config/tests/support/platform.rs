//! Calls to the platform and their replies.

use bergamotshift_config::accept::member;
use bergamotshift_config::accept::proposer;
use bergamotshift_config::digest::Digest;
use bergamotshift_config::manifest::Manifest;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;

/// Call to the platform.
#[derive(Clone, Debug)]
pub enum Call {
    Read(Vec<Key>),
    Write(Vec<Write>),
    Fetch(Digest),
    Store(Manifest),
}

/// State machine that made a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caller {
    Member,
    Proposer,
}

impl Call {
    /// Returns the reply to report if the call or its reply was lost.
    pub fn failure(&self) -> Reply {
        match self {
            Self::Read(_) => Reply::ReadFailed,
            Self::Write(_) => Reply::Ended(Ending::Unknown),
            Self::Fetch(_) => Reply::FetchFailed,
            Self::Store(_) => Reply::StoreFailed,
        }
    }
}

/// Reply of the platform.
#[derive(Debug)]
pub enum Reply {
    Rows(Vec<Option<Row>>),
    ReadFailed,
    Ended(Ending),
    Content(Manifest),
    FetchFailed,
    Stored,
    StoreFailed,
}

impl Reply {
    pub fn into_member(self) -> member::Event {
        match self {
            Self::Rows(rows) => member::Event::Rows(rows),
            Self::ReadFailed => member::Event::ReadFailed,
            Self::Ended(ending) => member::Event::Ended(ending),
            Self::Content(content) => member::Event::Fetched(content),
            Self::FetchFailed | Self::Stored | Self::StoreFailed => member::Event::FetchFailed,
        }
    }

    pub fn into_proposer(self) -> proposer::Event {
        match self {
            Self::Rows(rows) => proposer::Event::Rows(rows),
            Self::ReadFailed => proposer::Event::ReadFailed,
            Self::Ended(ending) => proposer::Event::Ended(ending),
            Self::Content(content) => proposer::Event::Fetched(content),
            Self::FetchFailed => proposer::Event::FetchFailed,
            Self::Stored => proposer::Event::Stored,
            Self::StoreFailed => proposer::Event::StoreFailed,
        }
    }
}
