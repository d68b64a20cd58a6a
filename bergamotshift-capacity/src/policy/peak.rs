//! A baseline: on-demand VMs for the highest demand, always.

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
use crate::demand::Demand;
use crate::market::Offer;

plugin::inventory::submit! {
    Kind { name: "static-peak", build: |settings| Box::new(Peak { settings, backoff: Backoff::new() }) }
}

/// Holds on-demand VMs for the peak with any one zone lost, and never gives one up.
#[derive(Debug)]
struct Peak {
    settings: Settings,
    backoff: Backoff,
}

impl Policy for Peak {
    fn plan(&mut self, now: Instant, situation: &Situation<'_>) -> Vec<Action> {
        let need = Demand {
            urgent: self.settings.peak,
            deferrable: 0.0,
        };
        let tally = Tally::planned(situation.vms);
        if tally.carries(need) {
            return Vec::new();
        }
        let open = |offer: &&Offer| !offer.pool.reclaimable() && self.backoff.open(now, &offer.pool);
        let pools = purchase::cheapest(&tally, situation.offers.iter().filter(open), need);
        pools.into_iter().map(Action::Start).collect()
    }

    fn event(&mut self, now: Instant, event: &Event) {
        self.backoff.event(now, event, &self.settings);
    }
}
