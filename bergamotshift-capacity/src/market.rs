//! VMs that the platform offers, and VMs that were bought.

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// A capacity pool of the platform: the VMs of one class in one zone on one market.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Pool {
    /// Availability zone.
    pub zone: name::Zone,
    /// Machine class.
    pub class: name::Class,
    /// Market on which the VMs are sold.
    pub market: Market,
}

impl Pool {
    /// Creates a pool.
    pub const fn new(zone: name::Zone, class: name::Class, market: Market) -> Self {
        Self { zone, class, market }
    }

    /// Returns whether the platform may reclaim VMs of this pool.
    pub fn reclaimable(&self) -> bool {
        self.market == Market::Reclaimable
    }
}

/// Price and performance of the VMs in a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// Pool that is offered.
    pub pool: Pool,
    /// Price of one VM per hour.
    pub price: Price,
    /// Work that one VM does while it meets the latency target, in units per second.
    pub rate: f64,
}

impl Offer {
    /// Returns the hourly price per unit of work per second, in millionths of a currency unit.
    pub fn price_per_rate(&self) -> f64 {
        self.price.as_micros() as f64 / self.rate
    }
}

/// Lifecycle phase of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The VM was bought and does not serve yet.
    Starting,
    /// The VM has served since the given time.
    Live(Instant),
    /// The VM gets no new work.
    Draining {
        /// Whether no work runs on the VM any more.
        idle: bool,
    },
    /// The VM has received a reclaim notice.
    Leaving,
}

/// One VM of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Vm {
    /// Name of the VM.
    pub name: name::Vm,
    /// Pool that the VM was bought from.
    pub pool: Pool,
    /// Work that the VM does, in units per second.
    pub rate: f64,
    /// Lifecycle phase.
    pub phase: Phase,
}
