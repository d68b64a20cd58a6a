//! The default: the cheapest spread that carries urgent work with any one zone lost.

use bergamotshift_core::plugin;
use bergamotshift_core::prelude::*;

use super::Action;
use super::Event;
use super::Kind;
use super::Policy;
use super::Settings;
use super::Situation;
use super::backoff::Backoff;
use super::purchase;
use super::tally::Tally;
use crate::demand::Damper;
use crate::demand::Demand;
use crate::market::Offer;
use crate::market::Phase;
use crate::market::Vm;

plugin::inventory::submit! {
    Kind { name: super::DEFAULT, build: |settings| Box::new(Spread::new(settings)) }
}

/// The part of the VMs that may be given up at one tick.
const DRAIN_PART: usize = 10;

/// Buys reclaimable VMs over the zones, and on-demand ones only for urgent work that those cannot carry.
#[derive(Debug)]
struct Spread {
    settings: Settings,
    urgent: Damper,
    deferrable: Damper,
    backoff: Backoff,
    replaced: Option<Instant>,
}

impl Spread {
    const fn new(settings: Settings) -> Self {
        Self {
            settings,
            urgent: Damper::new(settings.damping),
            deferrable: Damper::new(settings.damping),
            backoff: Backoff::new(),
            replaced: None,
        }
    }

    fn need(&mut self, now: Instant, demand: Demand) -> Demand {
        let factor = 1.0 + self.settings.headroom;
        Demand {
            urgent: self.urgent.observe(now, demand.urgent) * factor,
            deferrable: self.deferrable.observe(now, demand.deferrable),
        }
    }

    /// Returns what has to be bought: reclaimable where it is sold, on demand for urgent work where it is not.
    fn purchases(&self, now: Instant, situation: &Situation<'_>, need: Demand) -> Vec<Action> {
        let mut tally = Tally::planned(situation.vms);
        if tally.carries(need) {
            return Vec::new();
        }
        let open = |offer: &&Offer| self.backoff.open(now, &offer.pool);
        let reclaimable = situation
            .offers
            .iter()
            .filter(open)
            .filter(|offer| offer.pool.reclaimable());
        let mut pools = purchase::cheapest(&tally, reclaimable, need);
        for offer in pools
            .iter()
            .filter_map(|pool| situation.offers.iter().find(|offer| offer.pool == *pool))
        {
            tally.add(&offer.pool.zone, offer.rate);
        }
        let urgent = Demand {
            deferrable: 0.0,
            ..need
        };
        if !tally.carries(urgent) {
            // Bought anew from all markets: reclaimable VMs in one zone alone would not help beside them.
            let have = Tally::planned(situation.vms);
            pools = purchase::cheapest(&have, situation.offers.iter().filter(open), urgent);
        }
        pools.into_iter().map(Action::Start).collect()
    }

    /// Buys one reclaimable VM in place of one on demand, at most one each hold time.
    fn replacement(&mut self, now: Instant, situation: &Situation<'_>) -> Option<Action> {
        let hold = self.settings.damping.hold_time;
        let dear =
            |vm: &Vm| !vm.pool.reclaimable() && matches!(vm.phase, Phase::Live(since) if now.since(since) >= hold);
        let recent = self.replaced.is_some_and(|at| now.since(at) < hold);
        if recent || !situation.vms.iter().any(dear) {
            return None;
        }
        let tally = Tally::planned(situation.vms);
        let open = |offer: &&Offer| offer.pool.reclaimable() && self.backoff.open(now, &offer.pool);
        let smallest = |offer: &&Offer| (tally.zone(&offer.pool.zone) * 1e6) as u64;
        let offer = situation.offers.iter().filter(open).min_by_key(smallest)?;
        self.replaced = Some(now);
        Some(Action::Start(offer.pool.clone()))
    }

    /// Returns the VMs that can go: the dearest first, then those of the largest zone.
    ///
    /// Only VMs that serve count as remaining, so a replacement serves before what it replaces is drained.
    fn drains(&self, now: Instant, situation: &Situation<'_>, need: Demand) -> Vec<Action> {
        let mut tally = Tally::live(situation.vms);
        let factor = 1.0 + self.settings.band;
        let beyond = Demand {
            urgent: need.urgent * factor,
            deferrable: need.deferrable * factor,
        };
        if !tally.carries(beyond) {
            return Vec::new();
        }
        let hold = self.settings.damping.hold_time;
        let old = |vm: &&Vm| matches!(vm.phase, Phase::Live(since) if now.since(since) >= hold);
        let mut vms: Vec<_> = situation.vms.iter().filter(old).collect();
        let price = |vm: &Vm| price_per_rate(situation.offers, vm);
        vms.sort_by(|left, right| {
            let by_price = price(right).total_cmp(&price(left));
            let by_zone = tally.zone(&right.pool.zone).total_cmp(&tally.zone(&left.pool.zone));
            by_price.then(by_zone).then_with(|| left.name.cmp(&right.name))
        });
        let most = (situation.vms.len() / DRAIN_PART).max(1);
        let mut actions = Vec::new();
        for vm in vms {
            if actions.len() == most {
                break;
            }
            tally.remove(&vm.pool.zone, vm.rate);
            if tally.carries(need) {
                actions.push(Action::Drain(vm.name.clone()));
            } else {
                tally.add(&vm.pool.zone, vm.rate);
            }
        }
        actions
    }
}

impl Policy for Spread {
    fn plan(&mut self, now: Instant, situation: &Situation<'_>) -> Vec<Action> {
        let need = self.need(now, situation.demand);
        let mut actions = stops(situation.vms);
        let purchases = self.purchases(now, situation, need);
        if purchases.is_empty() {
            actions.extend(self.replacement(now, situation));
            actions.extend(self.drains(now, situation, need));
        }
        actions.extend(purchases);
        actions
    }

    fn event(&mut self, now: Instant, event: &Event) {
        self.backoff.event(now, event, &self.settings);
    }
}

/// Returns the stops of all VMs that have drained.
pub(super) fn stops(vms: &[Vm]) -> Vec<Action> {
    let drained = vms.iter().filter(|vm| vm.phase == Phase::Draining { idle: true });
    drained.map(|vm| Action::Stop(vm.name.clone())).collect()
}

/// Returns what a VM costs per unit of work; one that is no longer sold counts as the dearest.
fn price_per_rate(offers: &[Offer], vm: &Vm) -> f64 {
    let offer = offers.iter().find(|offer| offer.pool == vm.pool);
    offer.map_or(f64::INFINITY, Offer::price_per_rate)
}
