//! Baseline policy: reclaimable VMs that keep a target utilisation under the current demand.

use bergamotshift_core::plugin;
use bergamotshift_core::prelude::*;

use super::Action;
use super::Event;
use super::Kind;
use super::Policy;
use super::Settings;
use super::Situation;
use super::backoff::Backoff;
use super::spread::stops;
use super::tally::EPSILON;
use super::tally::Tally;
use crate::market::Offer;
use crate::market::Phase;
use crate::market::Vm;

plugin::inventory::submit! {
    Kind { name: "reactive", build: |settings| Box::new(Reactive { settings, backoff: Backoff::new() }) }
}

/// Follows demand at a fixed utilisation, spread evenly over the zones, with reclaimable VMs first.
#[derive(Debug)]
struct Reactive {
    settings: Settings,
    backoff: Backoff,
}

impl Reactive {
    fn purchases(&self, now: Instant, situation: &Situation<'_>, wanted: f64) -> Vec<Action> {
        let mut tally = Tally::planned(situation.vms);
        let mut actions = Vec::new();
        let available: Vec<&Offer> = situation
            .offers
            .iter()
            .filter(|offer| self.backoff.is_available(now, &offer.pool))
            .collect();
        while tally.total() + EPSILON < wanted {
            let order = |offer: &&&Offer| {
                let zone = (tally.zone(&offer.pool.zone) * 1e6) as u64;
                (!offer.pool.reclaimable(), zone, offer.price)
            };
            let Some(offer) = available.iter().min_by_key(order) else {
                break;
            };
            tally.add(&offer.pool.zone, offer.rate);
            actions.push(Action::Start(offer.pool.clone()));
        }
        actions
    }

    fn drains(situation: &Situation<'_>, wanted: f64) -> Vec<Action> {
        let mut tally = Tally::live(situation.vms);
        let mut vms: Vec<&Vm> = situation
            .vms
            .iter()
            .filter(|vm| matches!(vm.phase, Phase::Live(_)))
            .collect();
        vms.sort_by_key(|vm| vm.pool.reclaimable());
        let mut actions = Vec::new();
        for vm in vms {
            if tally.total() - vm.rate + EPSILON < wanted {
                break;
            }
            tally.remove(&vm.pool.zone, vm.rate);
            actions.push(Action::Drain(vm.name.clone()));
        }
        actions
    }
}

impl Policy for Reactive {
    fn plan(&mut self, now: Instant, situation: &Situation<'_>) -> Vec<Action> {
        let wanted = situation.demand.total() / self.settings.target_utilisation;
        let mut actions = stops(situation.vms);
        actions.extend(self.purchases(now, situation, wanted));
        actions.extend(Self::drains(situation, wanted));
        actions
    }

    fn event(&mut self, now: Instant, event: &Event) {
        self.backoff.event(now, event, &self.settings);
    }
}
