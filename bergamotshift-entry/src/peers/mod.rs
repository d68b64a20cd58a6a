//! The entry's part in the fleet: gossip with other entries, and keeping parcels of those that leave.
//!
//! One task on the control thread drives the fleet kernel over the link. The control thread tells it what it sees and
//! hears back what others saw.

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

/// What the entry tells its part in the fleet, or asks of it.
#[derive(Debug)]
pub enum Request {
    /// The platform listed its VMs.
    VmsListed(Vec<Listing>),
    /// An endpoint is known to leave.
    EndpointLeaving {
        /// The endpoint.
        endpoint: endpoint::Id,
        /// How that is known.
        source: mark::Source,
        /// What is left of the notice, in milliseconds, where known.
        notice_ms: Option<u32>,
    },
    /// A watched endpoint reported its load.
    LoadReported {
        /// The endpoint.
        endpoint: endpoint::Id,
        /// The report.
        report: load::Report,
    },
    /// This entry serves an organisation at this rate.
    UsageMeasured {
        /// The organisation.
        organisation: name::Organisation,
        /// The rate.
        rate: u32,
    },
    /// Another part of the entry has news for all entries.
    NotePublished {
        /// What it is about.
        topic: note::Topic,
        /// What it is about within the topic.
        key: u128,
        /// The highest wins.
        version: u64,
        /// The content.
        body: Vec<u8>,
    },
    /// How does the fleet stand?
    Status(oneshot::Sender<kernel::Status>),
    /// Hands an open request to its keepers; answers how many keep it.
    Keep {
        /// The request.
        parcel: Box<Parcel>,
        /// Gets the number of entries that keep it.
        answer: oneshot::Sender<usize>,
    },
    /// Looks for a request whose caller came back here.
    Find {
        /// What the caller came back with.
        key: Key,
        /// Gets what was found.
        answer: oneshot::Sender<Lookup>,
    },
    /// A request that was found is finished: its keepers forget it.
    Finish(Key),
    /// Asks an entry for configuration content.
    Fetch {
        /// The entry.
        from: name::Entry,
        /// The content's digest.
        key: Vec<u8>,
        /// Gets the content.
        answer: oneshot::Sender<Option<Vec<u8>>>,
    },
    /// This entry leaves: it says goodbye and hands on what it keeps.
    Leave(std::sync::mpsc::Sender<()>),
}

/// What the fleet tells the entry.
#[derive(Debug)]
pub enum Event {
    /// Another entry knows that an endpoint leaves.
    Marked(mark::Mark),
    /// This entry watches an endpoint for the others from now on, or no longer.
    Watching(endpoint::Id, bool),
    /// Another entry heard an endpoint's load.
    LoadReceived {
        /// The endpoint.
        endpoint: endpoint::Id,
        /// The report.
        report: load::Report,
        /// How old it is.
        age: Duration,
    },
    /// Another entry has news for a part of this one.
    NoteReceived {
        /// The news.
        note: note::Note,
        /// Who told it first, when known.
        origin: Option<name::Entry>,
    },
    /// This entry was paused: what it held is no longer its own.
    Paused(Duration),
    /// A later life of this entry exists.
    Superseded,
}

/// Talks to the entry's part in the fleet.
#[derive(Clone, Debug)]
pub struct Sender {
    requests: mpsc::UnboundedSender<Request>,
    address: SocketAddr,
}

impl Sender {
    /// Sends a request; when the part has ended it goes nowhere, and answers are never sent.
    pub fn send(&self, request: Request) {
        drop(self.requests.send(request));
    }

    /// Returns where other entries reach this one.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Starts this entry's part in the fleet on the current thread, when its settings name one.
///
/// # Errors
///
/// Returns an error when the credentials do not fit together or the address is taken.
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
