//! Exchanges the rates that endpoints announce for themselves with other entries.

use core::time::Duration;

use bergamotshift_core::prelude::*;

use super::inner::Inner;
use crate::peers::Rate;
use crate::peers::State;
use crate::view::Origin;
use crate::view::Shared;

/// Time for which other entries are informed that an endpoint no longer announces a rate: several exchange rounds.
const WITHDRAWAL_ANNOUNCEMENT: Duration = Duration::from_secs(3);

impl Inner {
    /// Returns the rates that endpoints announced in answers to this entry.
    pub(super) fn announced_rates(now: Instant, shared: &Shared) -> Vec<Rate> {
        let view = shared.view.load();
        shared.announcers.retain(|hash| {
            let endpoint = view.endpoint(hash)?;
            let announced = endpoint.signals.throttle.direct_limit()?;
            let is_current = announced.rate.is_some() || now.since(announced.at) < WITHDRAWAL_ANNOUNCEMENT;
            is_current.then(|| Rate::new(endpoint, announced, now))
        })
    }

    /// Applies the rates that endpoints announced in answers to another entry.
    pub(super) fn apply_peer_rates(now: Instant, shared: &Shared, state: &State) {
        let view = shared.view.load();
        for rate in &state.rates {
            let Some(endpoint) = view.endpoint(rate.endpoint) else {
                continue;
            };
            shared.apply_rate(
                now,
                endpoint,
                rate.received_at(now),
                Origin::Entry(state.entry.as_str()),
            );
        }
    }

    /// Updates which entries grant requests to endpoints with an announced rate.
    pub(super) fn update_granters(&mut self, now: Instant, shared: &Shared) {
        let granters = self.members.granters(now, self.entries_listed);
        if granters[..] != self.granters[..] {
            self.granters = granters.into();
            self.publish(shared);
        }
    }
}
