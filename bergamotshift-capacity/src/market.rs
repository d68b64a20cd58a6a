//! What can be bought, and what was.

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// A kind of VM that the platform sells: a class in a zone on a market.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Pool {
    /// The availability zone.
    pub zone: name::Zone,
    /// The machine class.
    pub class: name::Class,
    /// The market.
    pub market: Market,
}

impl Pool {
    /// Makes a pool.
    pub const fn new(zone: name::Zone, class: name::Class, market: Market) -> Self {
        Self { zone, class, market }
    }

    /// Returns whether its VMs may be reclaimed.
    pub fn reclaimable(&self) -> bool {
        self.market == Market::Reclaimable
    }
}

/// What a pool costs and brings.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// What is sold.
    pub pool: Pool,
    /// The price of one VM per hour.
    pub price: Price,
    /// Units of work per second that one VM does while it meets the latency target.
    pub rate: f64,
}

impl Offer {
    /// Returns the price of one unit of work per second.
    pub fn price_per_rate(&self) -> f64 {
        self.price.as_micros() as f64 / self.rate
    }
}

/// Where a VM stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It was bought and does not serve yet.
    Starting,
    /// It serves since then.
    Live(Instant),
    /// It gets no new work.
    Draining {
        /// Whether nothing runs there any longer.
        idle: bool,
    },
    /// It was given notice.
    Leaving,
}

/// One VM of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Vm {
    /// Its name.
    pub name: name::Vm,
    /// What it was bought as.
    pub pool: Pool,
    /// Units of work per second that it does.
    pub rate: f64,
    /// Where it stands.
    pub phase: Phase,
}
