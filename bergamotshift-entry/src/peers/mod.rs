//! Membership of the entry in the fleet: gossip with other entries, and handover of open requests when entries leave.
//!
//! A task on the control thread runs the fleet kernel over the link. The control thread sends it [`Request`]s with local
//! observations and receives [`Event`]s with those of other entries.

mod content;
mod driver;
mod handover;
mod settings;

use core::net::SocketAddr;
use core::time::Duration;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_core::load;
use bergamotshift_core::prelude::*;
use bergamotshift_core::vm::Listing;
use bergamotshift_fleet::endpoint;
use bergamotshift_fleet::handover::Key;
use bergamotshift_fleet::handover::Parcel;
use bergamotshift_fleet::kernel;
use bergamotshift_fleet::mark;
use bergamotshift_fleet::note;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

pub use self::content::Content;
pub use self::content::Gossip;
pub use self::handover::Lookup;
pub use self::settings::Credentials;
pub use self::settings::Settings;
use crate::worker::Shared;

/// Message from the rest of the entry to the fleet task.
#[derive(Debug)]
pub enum Request {
    /// Reports the VMs that the platform listed.
    VmsListed(Vec<Listing>),
    /// Reports that an endpoint is leaving.
    EndpointLeaving {
        /// Endpoint that is leaving.
        endpoint: endpoint::Id,
        /// Source of the information.
        source: mark::Source,
        /// Remaining time of the notice in milliseconds, if known.
        notice_ms: Option<u32>,
    },
    /// Reports the load of a watched endpoint.
    LoadReported {
        /// Endpoint that sent the report.
        endpoint: endpoint::Id,
        /// Load report.
        report: load::Report,
    },
    /// Reports the rate at which this entry serves an organisation.
    UsageMeasured {
        /// Organisation that is served.
        organisation: name::Organisation,
        /// Measured rate, in the unit of the organisations' limits.
        rate: u32,
    },
    /// Publishes a note to all entries.
    NotePublished {
        /// Topic of the note.
        topic: note::Topic,
        /// Key of the note within its topic.
        key: u128,
        /// Version of the note; the highest version of a key replaces the others.
        version: u64,
        /// Encoded content of the note.
        body: Vec<u8>,
    },
    /// Requests the status of the fleet.
    Status(oneshot::Sender<kernel::Status>),
    /// Hands an open request over to its keepers.
    Keep {
        /// Request to hand over.
        parcel: Box<Parcel>,
        /// Receives the number of entries that keep the request.
        answer: oneshot::Sender<usize>,
    },
    /// Looks up a request whose caller reconnected to this entry.
    Find {
        /// Key that the caller sent.
        key: Key,
        /// Receives the outcome of the lookup.
        answer: oneshot::Sender<Lookup>,
    },
    /// Removes a finished request from its keepers.
    Finish(Key),
    /// Fetches configuration content from an entry.
    Fetch {
        /// Entry that is asked.
        from: name::Entry,
        /// Encoded digest of the content.
        key: Vec<u8>,
        /// Receives the content, or `None` if the entry is unknown, cannot be reached or does not hold it.
        answer: oneshot::Sender<Option<Vec<u8>>>,
    },
    /// Announces that this entry leaves and hands over the parcels it keeps; the sender is notified at the end.
    Leave(std::sync::mpsc::Sender<()>),
}

/// Message from the fleet task to the control thread.
#[derive(Debug)]
pub enum Event {
    /// Another entry reported that an endpoint is leaving.
    Marked(mark::Mark),
    /// This entry starts (`true`) or stops (`false`) reading an endpoint's load for the fleet.
    Watching(endpoint::Id, bool),
    /// Another entry published an endpoint's load.
    LoadReceived {
        /// Endpoint that the load belongs to.
        endpoint: endpoint::Id,
        /// Load report.
        report: load::Report,
        /// Age of the report.
        age: Duration,
    },
    /// Another entry published a note.
    NoteReceived {
        /// The note.
        note: note::Note,
        /// Entry that published the note first, if it is a known member.
        origin: Option<name::Entry>,
    },
    /// This entry was paused for the given time, so it no longer owns the leases and parcels that it held.
    Paused(Duration),
    /// A later incarnation of this entry exists.
    Superseded,
}

/// Handle for sending requests to the fleet task.
#[derive(Clone, Debug)]
pub struct Sender {
    requests: mpsc::UnboundedSender<Request>,
    address: SocketAddr,
}

impl Sender {
    /// Sends a request. Once the task has ended, requests are dropped and no answers arrive.
    pub fn send(&self, request: Request) {
        drop(self.requests.send(request));
    }

    /// Returns the address at which other entries reach this one.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Starts the fleet task on the current thread, or returns `None` if the settings have no `peers`.
///
/// # Errors
///
/// Returns an error if the credentials do not match or the address is in use.
pub fn start(shared: &Arc<Shared>) -> Result<Option<(Sender, Rc<Content>)>, bergamotshift_link::node::Error> {
    let Some(settings) = &shared.settings.peers else {
        return Ok(None);
    };
    let (requests, receiver) = mpsc::unbounded_channel();
    let content = Rc::new(Content::default());
    let driver = driver::Driver::new(shared, settings, receiver, Rc::clone(&content))?;
    let address = driver.address();
    ntex::rt::spawn(driver.run()).detach();
    Ok(Some((Sender { requests, address }, content)))
}
