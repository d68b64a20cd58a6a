//! Input of the kernel.

use core::net::SocketAddr;

use bergamotshift_core::load::Report;
use bergamotshift_core::name;
use bergamotshift_core::vm;

use crate::endpoint;
use crate::mark;
use crate::note;

/// Event at this entry.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time returned by [`Kernel::due`](super::Kernel::due) has come.
    Tick,
    /// A frame arrived from an authenticated entry.
    Received {
        /// Listening address of the sender's link.
        from: SocketAddr,
        /// Encoded frame.
        bytes: Vec<u8>,
    },
    /// The platform's VM list was read.
    VmsListed(Vec<vm::Listing>),
    /// An endpoint is known to leave.
    EndpointLeaving {
        /// Endpoint that leaves.
        endpoint: endpoint::Id,
        /// Source of the information.
        source: mark::Source,
        /// Time left of the notice in milliseconds, if known.
        notice_ms: Option<u32>,
    },
    /// A watched endpoint reported its load.
    LoadReported {
        /// Endpoint that reported.
        endpoint: endpoint::Id,
        /// Load report.
        report: Report,
    },
    /// Another module of this entry publishes a note.
    NotePublished {
        /// Topic of the note.
        topic: note::Topic,
        /// Key within the topic.
        key: u128,
        /// Version of the value; the highest wins.
        version: u64,
        /// Content, at most [`note::Note::MAX_BODY`] bytes.
        body: Vec<u8>,
    },
    /// The rate at which this entry serves an organisation was measured.
    UsageMeasured {
        /// Organisation that is served.
        organisation: name::Organisation,
        /// Rate, in the unit of the organisations' limits.
        rate: u32,
    },
    /// This entry leaves the fleet.
    Leave,
}
