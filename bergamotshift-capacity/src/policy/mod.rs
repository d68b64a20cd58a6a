//! Capacity policies, which decide how many VMs to run of which class, in which zone and on which market.
//!
//! Policies register themselves by name. [`DEFAULT`] is the policy that the measurements favour.

mod backoff;
mod peak;
mod purchase;
mod reactive;
mod spread;
mod tally;

use core::fmt;
use core::time::Duration;

use bergamotshift_core::plugin;
use bergamotshift_core::prelude::*;

use crate::demand;
use crate::demand::Demand;
use crate::market::Offer;
use crate::market::Pool;
use crate::market::Vm;

/// Name of the default policy.
pub const DEFAULT: &str = "spread";

/// Input of a policy at a tick.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// VMs that can be bought.
    pub offers: &'a [Offer],
    /// VMs of the service.
    pub vms: &'a [Vm],
    /// Current demand.
    pub demand: Demand,
}

/// A change of capacity that a policy requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Buy a VM from a pool.
    Start(Pool),
    /// Send no new work to a VM.
    Drain(name::Vm),
    /// Give back a drained VM.
    Stop(name::Vm),
}

/// A platform event that a policy receives between ticks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The platform sold a VM from the pool.
    Started(Pool),
    /// The platform refused to sell a VM from the pool, or the VM did not serve in time.
    Refused(Pool),
    /// The platform reclaimed a VM of the pool.
    Reclaimed(Pool),
}

/// A strategy for a service's capacity.
pub trait Policy: fmt::Debug {
    /// Returns the actions to take now.
    fn plan(&mut self, now: Instant, situation: &Situation<'_>) -> Vec<Action>;

    /// Handles an event.
    fn event(&mut self, now: Instant, event: &Event);
}

/// Operator settings of the policies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Highest expected urgent demand, in units per second, for policies that hold capacity for the peak.
    pub peak: f64,
    /// Share of the capacity, from 0 to 1, that policies without redundancy across zones aim to use.
    pub target_utilisation: f64,
    /// Capacity kept above the smoothed urgent demand, as a share of it and in addition to the reserve for a lost zone.
    pub headroom: f64,
    /// Capacity above the need, as a share of it, from which VMs are given up.
    pub scale_in_margin: f64,
    /// Smoothing of demand. Its hold time is also the minimum time that a VM serves.
    pub damping: demand::Settings,
    /// Backoff after the first refused start. It doubles with each further one, up to `max_backoff`.
    pub initial_backoff: Duration,
    /// Maximum backoff after refused starts, and the backoff after a reclaim.
    pub max_backoff: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            peak: 10.0,
            target_utilisation: 0.7,
            headroom: 0.0,
            scale_in_margin: 0.05,
            damping: demand::Settings::default(),
            initial_backoff: Duration::from_secs(30),
            max_backoff: Duration::from_mins(15),
        }
    }
}

/// The descriptor under which a policy is registered.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Name that selects the policy in the settings.
    pub name: &'static str,
    /// Constructor of the policy.
    pub build: fn(Settings) -> Box<dyn Policy>,
}

impl plugin::Named for Kind {
    fn name(&self) -> &'static str {
        self.name
    }
}

plugin::inventory::collect!(Kind);

/// Builds the policy registered as `name`, or returns `None` when there is none.
pub fn build(name: &str, settings: Settings) -> Option<Box<dyn Policy>> {
    plugin::find::<Kind>(name).map(|kind| (kind.build)(settings))
}
