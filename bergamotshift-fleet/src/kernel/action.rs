//! Output of the kernel.

use core::net::SocketAddr;
use core::time::Duration;

use bergamotshift_core::load::Report;
use bergamotshift_core::name;

use crate::endpoint;
use crate::mark;
use crate::member;
use crate::note;

/// Transport of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// A single unreliable datagram.
    Datagram,
    /// A separate reliable stream.
    Stream,
}

/// Task or notification for the driver of the kernel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a frame.
    Send {
        /// Address of the receiver's link.
        to: SocketAddr,
        /// Transport to use.
        transport: Transport,
        /// Encoded frame.
        bytes: Vec<u8>,
    },
    /// Reports a pause of this entry. It has to drop its leases and the parcels it keeps before it does anything else.
    Paused {
        /// Length of the pause.
        gap: Duration,
    },
    /// Reports that a later incarnation of this entry's name exists; this process has to stop.
    Superseded,
    /// Starts reading an endpoint's load.
    Watch(endpoint::Id),
    /// Stops reading an endpoint's load.
    Unwatch(endpoint::Id),
    /// Reports an endpoint's load that another entry published.
    LoadReceived {
        /// Endpoint that the load belongs to.
        endpoint: endpoint::Id,
        /// Load report, as exact as its quantised form allows.
        report: Report,
        /// Age of the report.
        age: Duration,
    },
    /// Reports that an endpoint takes no new work from now on.
    Marked(mark::Mark),
    /// Reports that a member joined, left or changed.
    MemberChanged(member::Record),
    /// Reports a note that another entry published.
    NoteReceived {
        /// The note.
        note: note::Note,
        /// Entry that published the note first, if it is a known member. Once it becomes one, the note is reported
        /// again.
        origin: Option<name::Entry>,
    },
}
