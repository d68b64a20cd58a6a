//! Default policy: the cheapest spread over zones that covers urgent work with any one zone lost.

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

/// Divisor of the fleet size that gives the maximum number of VMs to drain at one tick.
const DRAIN_DIVISOR: usize = 10;

/// Buys reclaimable VMs across the zones, and on-demand VMs only for urgent work that these cannot cover.
#[derive(Debug)]
struct Spread {
    settings: Settings,
    urgent: Damper,
    deferrable: Damper,
    backoff: Backoff,
    last_replacement: Option<Instant>,
}

impl Spread {
    const fn new(settings: Settings) -> Self {
        Self {
            settings,
            urgent: Damper::new(settings.damping),
            deferrable: Damper::new(settings.damping),
            backoff: Backoff::new(),
            last_replacement: None,
        }
    }

    /// Returns the smoothed demand, with headroom on top of the urgent work.
    fn smoothed_need(&mut self, now: Instant, demand: Demand) -> Demand {
        let factor = 1.0 + self.settings.headroom;
        Demand {
            urgent: self.urgent.observe(now, demand.urgent) * factor,
            deferrable: self.deferrable.observe(now, demand.deferrable),
        }
    }

    /// Returns the VMs to buy: reclaimable ones, or from all markets when these cannot cover the urgent work.
    fn purchases(&self, now: Instant, situation: &Situation<'_>, need: Demand) -> Vec<Action> {
        let mut tally = Tally::planned(situation.vms);
        if tally.covers(need) {
            return Vec::new();
        }
        let available = |offer: &&Offer| self.backoff.is_available(now, &offer.pool);
        let reclaimable = situation
            .offers
            .iter()
            .filter(available)
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
        if !tally.covers(urgent) {
            // Plans again from all markets instead of adding to the reclaimable purchase: reclaimable VMs that are all
            // in one zone do not help against the loss of a zone.
            let have = Tally::planned(situation.vms);
            pools = purchase::cheapest(&have, situation.offers.iter().filter(available), urgent);
        }
        pools.into_iter().map(Action::Start).collect()
    }

    /// Returns the start of a reclaimable VM that replaces an on-demand one, at most once per hold time.
    fn replacement(&mut self, now: Instant, situation: &Situation<'_>) -> Option<Action> {
        let hold = self.settings.damping.hold_time;
        let expensive =
            |vm: &Vm| !vm.pool.reclaimable() && matches!(vm.phase, Phase::Live(since) if now.since(since) >= hold);
        let recent = self.last_replacement.is_some_and(|at| now.since(at) < hold);
        if recent || !situation.vms.iter().any(expensive) {
            return None;
        }
        let tally = Tally::planned(situation.vms);
        let available = |offer: &&Offer| offer.pool.reclaimable() && self.backoff.is_available(now, &offer.pool);
        let smallest = |offer: &&Offer| (tally.zone(&offer.pool.zone) * 1e6) as u64;
        let offer = situation.offers.iter().filter(available).min_by_key(smallest)?;
        self.last_replacement = Some(now);
        Some(Action::Start(offer.pool.clone()))
    }

    /// Returns the drains of VMs that are not needed: the most expensive first, then those of the largest zone.
    ///
    /// Only VMs that serve count as remaining capacity, so a VM is drained only after its replacement serves.
    fn drains(&self, now: Instant, situation: &Situation<'_>, need: Demand) -> Vec<Action> {
        let mut tally = Tally::live(situation.vms);
        let factor = 1.0 + self.settings.scale_in_margin;
        let with_margin = Demand {
            urgent: need.urgent * factor,
            deferrable: need.deferrable * factor,
        };
        if !tally.covers(with_margin) {
            return Vec::new();
        }
        let hold = self.settings.damping.hold_time;
        let past_hold_time = |vm: &&Vm| matches!(vm.phase, Phase::Live(since) if now.since(since) >= hold);
        let mut vms: Vec<_> = situation.vms.iter().filter(past_hold_time).collect();
        let price = |vm: &Vm| price_per_rate(situation.offers, vm);
        vms.sort_by(|left, right| {
            let by_price = price(right).total_cmp(&price(left));
            let by_zone = tally.zone(&right.pool.zone).total_cmp(&tally.zone(&left.pool.zone));
            by_price.then(by_zone).then_with(|| left.name.cmp(&right.name))
        });
        let limit = (situation.vms.len() / DRAIN_DIVISOR).max(1);
        let mut actions = Vec::new();
        for vm in vms {
            if actions.len() == limit {
                break;
            }
            tally.remove(&vm.pool.zone, vm.rate);
            if tally.covers(need) {
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
        let need = self.smoothed_need(now, situation.demand);
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

/// Returns stop actions for all VMs that are drained and idle.
pub(super) fn stops(vms: &[Vm]) -> Vec<Action> {
    let drained = vms.iter().filter(|vm| vm.phase == Phase::Draining { idle: true });
    drained.map(|vm| Action::Stop(vm.name.clone())).collect()
}

/// Returns the price of a VM per unit of work. VMs that are no longer offered count as the most expensive.
fn price_per_rate(offers: &[Offer], vm: &Vm) -> f64 {
    let offer = offers.iter().find(|offer| offer.pool == vm.pool);
    offer.map_or(f64::INFINITY, Offer::price_per_rate)
}
