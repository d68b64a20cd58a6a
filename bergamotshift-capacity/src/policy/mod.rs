//! How many VMs of which class in which zone and on which market.
//!
//! Policies register themselves; [`DEFAULT`] is the one that the measurements in the decision page speak for.

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

/// The name of the policy that is used unless settings choose another.
pub const DEFAULT: &str = "spread";

/// What a policy sees at a tick.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// What can be bought.
    pub offers: &'a [Offer],
    /// The service's VMs.
    pub vms: &'a [Vm],
    /// The work asked for at the moment.
    pub demand: Demand,
}

/// What a policy wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// A VM is bought.
    Start(Pool),
    /// A VM gets no new work.
    Drain(name::Vm),
    /// A drained VM is given back.
    Stop(name::Vm),
}

/// What a policy is told between ticks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The platform sold a VM.
    Started(Pool),
    /// The platform refused to sell one, or it did not come up in time.
    Refused(Pool),
    /// The platform took VMs of this kind back.
    Reclaimed(Pool),
}

/// Decides on a service's capacity.
pub trait Policy: fmt::Debug {
    /// Returns what has to be done now.
    fn plan(&mut self, now: Instant, situation: &Situation<'_>) -> Vec<Action>;

    /// Notes what became of an action, or of a VM.
    fn event(&mut self, now: Instant, event: &Event);
}

/// What policies are told by the operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The most urgent work ever expected, for policies that hold capacity for it.
    pub peak: f64,
    /// The part of capacity that policies without spread aim to use.
    pub utilisation: f64,
    /// What is kept above the damped demand, as a part of it; what carries the loss of a zone is kept besides.
    pub headroom: f64,
    /// How far capacity has to lie beyond the need, as a part of it, before VMs are given up.
    pub band: f64,
    /// How demand is damped; its hold is also a VM's shortest life.
    pub damping: demand::Settings,
    /// The first pause after a refused start; it doubles up to `pause_cap`.
    pub pause: Duration,
    /// The longest pause after refused starts.
    pub pause_cap: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            peak: 10.0,
            utilisation: 0.7,
            headroom: 0.0,
            band: 0.05,
            damping: demand::Settings::default(),
            pause: Duration::from_secs(30),
            pause_cap: Duration::from_mins(15),
        }
    }
}

/// A capacity policy that can be chosen by name.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// Makes one.
    pub build: fn(Settings) -> Box<dyn Policy>,
}

impl plugin::Named for Kind {
    fn name(&self) -> &'static str {
        self.name
    }
}

plugin::inventory::collect!(Kind);

/// Makes the policy of this name, if one registered itself under it.
pub fn build(name: &str, settings: Settings) -> Option<Box<dyn Policy>> {
    plugin::find::<Kind>(name).map(|kind| (kind.build)(settings))
}
