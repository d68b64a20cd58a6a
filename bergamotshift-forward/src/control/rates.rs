//! The rates that endpoints name for themselves, as entries tell each other of them.

use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::prelude::*;

use super::inner::Inner;
use crate::endpoint::Endpoint;
use crate::peers::Rate;
use crate::peers::State;
use crate::view::Origin;
use crate::view::Shared;

/// How long the other entries are told that an endpoint names no rate any more: several rounds of telling.
const WITHDRAWAL_ANNOUNCEMENT: Duration = Duration::from_secs(3);

impl Inner {
    /// Returns what endpoints said of their rates in answers to this entry.
    pub(super) fn announced_rates(&self, now: Instant) -> Vec<Rate> {
        let rate = |endpoint: &Arc<Endpoint>| {
            let word = endpoint.signals.throttle.first_hand()?;
            let is_told = word.rate.is_some() || now.since(word.at) < WITHDRAWAL_ANNOUNCEMENT;
            is_told.then(|| Rate::new(endpoint, word, now))
        };
        self.directory.endpoints().filter_map(rate).collect()
    }

    /// Takes in what endpoints said of their rates in answers to another entry.
    pub(super) fn apply_peer_rates(&self, now: Instant, shared: &Shared, state: &State) {
        for told in &state.rates {
            let Some(endpoint) = self.directory.by_hash(told.endpoint) else {
                continue;
            };
            shared.apply_rate(now, endpoint, told.word(now), Origin::Entry(state.entry.as_str()));
        }
    }

    /// Works out which entries grant requests to endpoints that name a rate.
    pub(super) fn update_granters(&mut self, now: Instant, shared: &Shared) {
        let granters = self.members.granters(now, self.entries_listed);
        if granters[..] != self.granters[..] {
            self.granters = granters.into();
            self.publish(shared);
        }
    }
}
