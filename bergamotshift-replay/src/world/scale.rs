//! The replay's capacity loop: the same simple rule under every routing policy.
//!
//! It holds enough engines for the work that arrived, divided by the planned use (`heat`), cheapest work first, with no
//! zone above its share. It starts at once and stops only what was not needed for a while.

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;

use super::vm::State;
use super::vm::Vm;
use crate::workload::Service;

/// How often the loop runs.
pub const TICK: Duration = Duration::from_secs(5);

/// The most that one zone may have of the wanted capacity while enough zones are open.
const ZONE_SHARE: f64 = 0.4;
/// With few zones open, how much more than an even share one may have.
const OVER_EVEN: f64 = 1.25;
/// The most that one machine class may have of the wanted capacity: the market of a class can empty as a whole, and a
/// class with slow engines alone cannot meet the target for a long prompt.
const CLASS_SHARE: f64 = 0.5;
/// Capacity that is always held, in reference engines: with the share above, no zone's loss takes all.
const LEAST: f64 = 2.0;
/// Ticks for which capacity must have been too much before some is stopped.
const PATIENCE: u32 = 12;
/// How long a zone's market that refused a start is left alone.
const BACKOFF: Duration = Duration::from_secs(30);
/// Weights of the newest tick in the fast and the slow mean.
const FAST: f64 = 0.25;
const SLOW: f64 = 0.05;

/// An order to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start this VM.
    Start(usize),
    /// Drain this VM and give it back.
    Stop(usize),
}

/// Decides how many VMs are held.
#[derive(Clone, Debug)]
pub struct Scaler {
    heat: f64,
    fast: f64,
    slow: f64,
    arrived: f64,
    surplus: u32,
    refused: BTreeMap<(u8, Market), Instant>,
}

impl Scaler {
    /// Makes a loop that plans to use `heat` of the engines' time and expects this rate of work at the start.
    pub const fn new(heat: f64, rate: f64) -> Self {
        Self {
            heat,
            fast: rate,
            slow: rate,
            arrived: 0.0,
            surplus: 0,
            refused: BTreeMap::new(),
        }
    }

    /// Notes work that arrived, in seconds of the reference engine.
    pub fn note(&mut self, work: f64) {
        self.arrived += work;
    }

    /// Notes that the platform refused a start.
    pub fn refuse(&mut self, zone: u8, market: Market, now: Instant) {
        self.refused.insert((zone, market), now + BACKOFF);
    }

    /// Folds the last tick and returns the orders; `deferred` is the rate that waiting deferrable work needs.
    pub fn tick(&mut self, now: Instant, deferred: f64, vms: &[Vm]) -> Vec<Order> {
        let rate = core::mem::take(&mut self.arrived) / TICK.as_secs_f64();
        self.fast += FAST * (rate - self.fast);
        self.slow += SLOW * (rate - self.slow);
        self.plan(now, deferred, vms)
    }

    /// Returns the orders for the rate that is known.
    pub fn plan(&mut self, now: Instant, deferred: f64, vms: &[Vm]) -> Vec<Order> {
        let wanted = ((self.fast.max(self.slow) + deferred) / self.heat).max(LEAST);
        let mut held: f64 = models(vms)
            .filter(|(_, vm)| vm.serves())
            .map(|(_, vm)| vm.offer.power())
            .sum();
        let mut orders = plain(vms);
        if held < wanted {
            self.surplus = 0;
            self.grow(now, wanted, &mut held, vms, &mut orders);
        } else {
            self.surplus += 1;
            if self.surplus >= PATIENCE {
                shrink(wanted, held, vms, &mut orders);
            }
        }
        orders
    }

    fn grow(&self, now: Instant, wanted: f64, held: &mut f64, vms: &[Vm], orders: &mut Vec<Order>) {
        let mut zones: BTreeMap<u8, f64> = BTreeMap::new();
        let mut classes: BTreeMap<u8, f64> = BTreeMap::new();
        for (_, vm) in models(vms).filter(|(_, vm)| vm.serves()) {
            *zones.entry(vm.offer.zone).or_default() += vm.offer.power();
            *classes.entry(vm.offer.class).or_default() += vm.offer.power();
        }
        let mut offers: Vec<(usize, &Vm)> = models(vms).filter(|(_, vm)| vm.state == State::Off).collect();
        offers.sort_by(|left, right| left.1.offer.price_of_work().total_cmp(&right.1.offer.price_of_work()));
        // Two open zones at the usual share could never hold all that is wanted.
        let zone_share = ZONE_SHARE.max(OVER_EVEN / self.open_zones(now, vms) as f64);
        for (place, vm) in offers {
            let zone = zones.entry(vm.offer.zone).or_default();
            let class = classes.entry(vm.offer.class).or_default();
            let power = vm.offer.power();
            let backing_off = self.backs_off(now, vm);
            let crowded =
                *zone + power > (wanted * zone_share).max(1.0) || *class + power > (wanted * CLASS_SHARE).max(1.0);
            if *held < wanted && !backing_off && !crowded {
                *zone += power;
                *class += power;
                *held += power;
                orders.push(Order::Start(place));
            }
        }
    }
}

impl Scaler {
    fn backs_off(&self, now: Instant, vm: &Vm) -> bool {
        let place = (vm.offer.zone, vm.offer.market);
        self.refused.get(&place).is_some_and(|&until| now < until)
    }

    fn open_zones(&self, now: Instant, vms: &[Vm]) -> usize {
        let open = models(vms)
            .filter(|(_, vm)| !self.backs_off(now, vm))
            .map(|(_, vm)| vm.offer.zone);
        open.collect::<BTreeSet<u8>>().len().max(1)
    }
}

fn models(vms: &[Vm]) -> impl Iterator<Item = (usize, &Vm)> {
    vms.iter()
        .enumerate()
        .filter(|(_, vm)| vm.offer.service == Service::Model)
}

/// Holds all VMs of the plain service.
fn plain(vms: &[Vm]) -> Vec<Order> {
    let off = |(place, vm): (usize, &Vm)| {
        (vm.offer.service == Service::Plain && vm.state == State::Off).then_some(Order::Start(place))
    };
    vms.iter().enumerate().filter_map(off).collect()
}

/// Stops the dearest VM that is not needed, one a tick.
fn shrink(wanted: f64, held: f64, vms: &[Vm], orders: &mut Vec<Order>) {
    let dearest = models(vms)
        .filter(|(_, vm)| vm.state == State::Live && held - vm.offer.power() >= wanted)
        .max_by(|left, right| left.1.offer.price_of_work().total_cmp(&right.1.offer.price_of_work()));
    if let Some((place, _)) = dearest {
        orders.push(Order::Stop(place));
    }
}
