//! Baseline policy: on-demand VMs for the peak demand at all times.

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

/// Holds enough on-demand VMs for the peak demand with any one zone lost, and never gives one up.
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
        if tally.covers(need) {
            return Vec::new();
        }
        let available = |offer: &&Offer| !offer.pool.reclaimable() && self.backoff.is_available(now, &offer.pool);
        let pools = purchase::cheapest(&tally, situation.offers.iter().filter(available), need);
        pools.into_iter().map(Action::Start).collect()
    }

    fn event(&mut self, now: Instant, event: &Event) {
        self.backoff.event(now, event, &self.settings);
    }
}
