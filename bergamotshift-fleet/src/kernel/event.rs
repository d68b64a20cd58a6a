//! What goes into the kernel.

use core::net::SocketAddr;

use bergamotshift_core::load::Report;
use bergamotshift_core::name;
use bergamotshift_core::vm;

use crate::endpoint;
use crate::mark;
use crate::note;

/// Something that happened at this entry.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time that [`Kernel::due`](super::Kernel::due) gave has come.
    Tick,
    /// A frame arrived from an authenticated entry.
    Received {
        /// Where its link listens.
        from: SocketAddr,
        /// The frame.
        bytes: Vec<u8>,
    },
    /// The platform's VM list was read.
    VmsListed(Vec<vm::Listing>),
    /// An endpoint is known to leave.
    EndpointLeaving {
        /// The endpoint.
        endpoint: endpoint::Id,
        /// How this entry knows.
        source: mark::Source,
        /// What is left of the notice, in milliseconds, where known.
        notice_ms: Option<u32>,
    },
    /// A watched endpoint reported its load.
    LoadReported {
        /// The endpoint.
        endpoint: endpoint::Id,
        /// The report.
        report: Report,
    },
    /// Another part of the entry has news for all entries.
    NotePublished {
        /// What it is about.
        topic: note::Topic,
        /// What it is about within the topic.
        key: u128,
        /// The highest wins.
        version: u64,
        /// The content, at most [`note::Note::MOST`] bytes.
        body: Vec<u8>,
    },
    /// This entry serves an organisation at this rate.
    UsageMeasured {
        /// The organisation.
        organisation: name::Organisation,
        /// The rate, in the unit that the limits count in.
        rate: u32,
    },
    /// This entry leaves.
    Leave,
}
