//! VMs of a replay: offered, started, draining, reclaimed, paid for.

use bergamotshift_core::prelude::*;

use crate::engine::Engine;
use crate::site::Offer;

/// Where a VM stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not held.
    Off,
    /// Ordered and paid for, not ready.
    Starting,
    /// It takes work.
    Live,
    /// It takes no new work and is given back when empty.
    Draining,
    /// It had notice.
    Leaving,
}

/// One VM that the platform can give.
#[derive(Clone, Debug)]
pub struct Vm {
    /// What it is.
    pub offer: Offer,
    /// Where it stands.
    pub state: State,
    /// Counts its lives.
    pub life: u64,
    /// Its engine while it runs.
    pub engine: Option<Engine>,
    /// Its key at each entry while they know it.
    pub keys: Vec<key::Endpoint>,
    since: Instant,
    paid: f64,
    hours: f64,
}

impl Vm {
    /// Makes a VM that is not held.
    pub const fn new(offer: Offer) -> Self {
        Self {
            offer,
            state: State::Off,
            life: 0,
            engine: None,
            keys: Vec::new(),
            since: Instant::ZERO,
            paid: 0.0,
            hours: 0.0,
        }
    }

    /// Orders it; it is paid for from now on.
    pub fn order(&mut self, now: Instant) {
        self.state = State::Starting;
        self.life += 1;
        self.since = now;
    }

    /// Gives it back, whatever it was doing.
    pub fn release(&mut self, now: Instant) -> Option<Engine> {
        self.settle(now);
        self.state = State::Off;
        self.engine.take()
    }

    /// Pays up to `now` and returns all that it has cost, in millionths.
    pub fn settle(&mut self, now: Instant) -> f64 {
        const MICROS_PER_HOUR: f64 = 3_600_000_000.0;
        if self.state != State::Off {
            let hours = now.since(self.since).as_micros() as f64 / MICROS_PER_HOUR;
            self.paid += hours * self.offer.price.as_micros() as f64;
            self.hours += hours;
            self.since = now;
        }
        self.paid
    }

    /// Returns for how long it was held, up to the last settlement.
    pub const fn hours(&self) -> f64 {
        self.hours
    }

    /// Returns whether it is held and will take work.
    pub const fn serves(&self) -> bool {
        matches!(self.state, State::Starting | State::Live)
    }
}
