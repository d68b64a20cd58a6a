//! Tasks that poll the platform and endpoints and send events to the control thread.

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
use bergamotshift_limit::quarantine::part;
use bergamotshift_platform::vms::Notice;
use tokio::sync::oneshot;

pub use self::platform::list;
pub use self::platform::notices;
use crate::control::Sender;
use crate::control::Verdict;
use crate::snapshot::Endpoint;

/// Interval between two [`Event::Tick`]s.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Task that waits for the result of a probe.
#[derive(Debug)]
pub struct Waiter {
    /// Fingerprint of the request whose attempt at the endpoint failed.
    pub fingerprint: Fingerprint,
    /// Parts of its prompt, if its answer had not begun.
    pub parts: Vec<part::Part>,
    /// Channel for the verdict.
    pub answer: oneshot::Sender<Verdict>,
}

/// Event reported by a task.
#[derive(Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A configuration version comes into force.
    Configured {
        /// Revision with a version higher than any before.
        revision: Revision,
        /// Configuration of this revision.
        config: Arc<Config>,
    },
    /// The platform listed its VMs.
    Listed(Vec<Listing>),
    /// The platform sent notices.
    Noticed(Vec<Notice>),
    /// A load probe of an endpoint ended.
    Probed {
        /// Endpoint that was probed.
        endpoint: Arc<Endpoint>,
        /// Load report, or the cause of the failure.
        report: Result<load::Report, Failure>,
        /// Task that waits for the result, if any.
        waiter: Option<Waiter>,
    },
}

/// Sends an [`Event::Tick`] at each interval until the task is cancelled.
pub async fn tick(sender: Sender) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        sender.send(Event::Tick);
    }
}

/// Probes the load of one endpoint and reports the result.
pub async fn probe(adapter: Rc<dyn Adapter>, endpoint: Arc<Endpoint>, waiter: Option<Waiter>, sender: Sender) {
    let report = adapter.load(&endpoint.target).await;
    sender.send(Event::Probed {
        endpoint,
        report,
        waiter,
    });
}
