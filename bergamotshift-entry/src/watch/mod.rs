//! Tasks that look at the outside and tell the control thread what they see.

mod platform;

use core::time::Duration;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_config::accept::record::Revision;
use bergamotshift_config::config::Config;
use bergamotshift_core::load;
use bergamotshift_core::prelude::*;
use bergamotshift_core::vm::Listing;
use bergamotshift_endpoint::adapter::Adapter;
use bergamotshift_endpoint::answer::Failure;
use bergamotshift_platform::vms::Notice;
use tokio::sync::oneshot;

pub use self::platform::list;
pub use self::platform::notices;
use crate::control::Sender;
use crate::control::Verdict;
use crate::snapshot::Endpoint;

/// The time between two looks at what is due.
pub const TICK: Duration = Duration::from_millis(50);

/// Somebody who waits for the outcome of a probe.
#[derive(Debug)]
pub struct Waiter {
    /// What ran at the endpoint when its attempt broke.
    pub fingerprint: Fingerprint,
    /// Gets the verdict.
    pub answer: oneshot::Sender<Verdict>,
}

/// Something that a task saw.
#[derive(Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A configuration version is to be in force from now on.
    Configured {
        /// The version, higher than any before.
        revision: Revision,
        /// What it says.
        config: Arc<Config>,
    },
    /// The platform listed its VMs.
    Listed(Vec<Listing>),
    /// The platform gave notices.
    Noticed(Vec<Notice>),
    /// An endpoint was asked for its load.
    Probed {
        /// The endpoint.
        endpoint: Arc<Endpoint>,
        /// What it said, or why it did not.
        report: Result<load::Report, Failure>,
        /// Who waits for it.
        waiter: Option<Waiter>,
    },
}

/// Tells the control thread that time passes, until it ends.
pub async fn tick(sender: Sender) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        sender.send(Event::Tick);
    }
}

/// Asks one endpoint for its load and tells the control thread.
pub async fn probe(adapter: Rc<dyn Adapter>, endpoint: Arc<Endpoint>, waiter: Option<Waiter>, sender: Sender) {
    let report = adapter.load(&endpoint.target).await;
    sender.send(Event::Probed {
        endpoint,
        report,
        waiter,
    });
}
