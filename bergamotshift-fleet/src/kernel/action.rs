//! What comes out of the kernel.

use core::net::SocketAddr;
use core::time::Duration;

use bergamotshift_core::load::Report;
use bergamotshift_core::name;

use crate::endpoint;
use crate::mark;
use crate::member;
use crate::note;

/// How a frame travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// As one unreliable datagram.
    Datagram,
    /// On a reliable stream of its own.
    Stream,
}

/// Something that the shell has to do or may want to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a frame.
    Send {
        /// The receiver's link.
        to: SocketAddr,
        /// How it travels.
        transport: Transport,
        /// The frame.
        bytes: Vec<u8>,
    },
    /// This entry was paused: it drops its leases and its duties as a keeper before it does anything else.
    Paused {
        /// How long it was away.
        gap: Duration,
    },
    /// A later life of this entry's own name exists: this process stops.
    Superseded,
    /// Starts to read an endpoint's load.
    Watch(endpoint::Id),
    /// Stops reading an endpoint's load.
    Unwatch(endpoint::Id),
    /// Another entry heard an endpoint's load.
    LoadReceived {
        /// The endpoint.
        endpoint: endpoint::Id,
        /// The report, as exact as the wire's levels are.
        report: Report,
        /// How old it is.
        age: Duration,
    },
    /// An endpoint takes no new work from now on.
    Marked(mark::Mark),
    /// A member came, went or changed.
    MemberChanged(member::Record),
    /// Another entry told news for a part of this one.
    NoteReceived {
        /// The news.
        note: note::Note,
        /// Who told it first, when that entry is known here; once it is, the news comes again.
        origin: Option<name::Entry>,
    },
}
