//! Entries that pass requests to endpoints for those that do not reach them.

use core::net::SocketAddr;

use bergamotshift_core::prelude::*;

use super::inner::Inner;
use crate::view::Shared;

impl Inner {
    /// Returns the address at which this entry opens connections to endpoints for other entries; `None` while it stops, or
    /// is cut off from all services itself.
    pub(super) fn relay_address(&self, shared: &Shared) -> Option<SocketAddr> {
        let is_able = !shared.is_stopping() && shared.reach.count() < self.document.services.len();
        shared.settings.relay_address().filter(|_| is_able)
    }

    /// Updates the entries that can pass requests on.
    pub(super) fn update_relays(&self, now: Instant, shared: &Shared) {
        let services = &self.document.services;
        shared
            .reach
            .retain(|service| services.iter().any(|known| known.name == *service));
        shared.metrics.cut_off.set(shared.reach.count() as i64);
        let zone = &shared.settings.zone;
        let states = self.members.recent_states(now, self.state_ttl());
        let able = states.filter_map(|(entry, state)| Some((entry.clone(), state.relay?, state.zone == *zone)));
        shared.relays.replace(able);
    }
}
