//! Tracks zones: the requests in flight at their endpoints, and whether the zones can be reached.

use core::sync::atomic::Ordering;
use core::time::Duration;
use std::collections::BTreeSet;
use std::collections::HashMap;

use bergamotshift_core::prelude::*;
use slog::info;

use super::inner::Inner;
use super::inner::STATE_TTL;
use crate::limits::Keeper;
use crate::peers::Stage;
use crate::view::Shared;

/// Time without updates from a zone after which its endpoints are used only as a last resort. Keepers of zones exchange
/// states every quarter of a second.
const ZONE_SILENCE_TIMEOUT: Duration = Duration::from_millis(900);

impl Inner {
    /// Updates whether this entry is cut off from endpoints that its callers need.
    pub(super) fn update_stranded(&self, now: Instant, shared: &Shared) {
        let zone = &shared.settings.zone;
        let lacks = |service: &name::Service| {
            let mut own = self.directory.endpoints().filter(|endpoint| {
                let registration = &endpoint.registration;
                registration.service == *service && registration.zone == *zone
            });
            !own.any(|endpoint| !endpoint.is_leaving() && !endpoint.health.is_paused(now))
        };
        let mut services = self.document.services.iter();
        let stranded = self.members.is_cut_off(now) && services.any(|service| lacks(&service.name));
        if shared.stranded.swap(stranded, Ordering::AcqRel) != stranded {
            shared.metrics.stranded.set(i64::from(stranded));
            info!(shared.log.always(), "zone cut off"; "stranded" => stranded, "members" => self.members.count());
        }
    }

    /// Sums up the requests that other entries have in flight at each endpoint.
    ///
    /// Keepers of other zones report for their whole zones, and entries of this zone report their own requests. Reports
    /// that this entry receives as the keeper are newer and counted separately, in the ledger.
    pub(super) fn update_in_flight(&self, now: Instant, shared: &Shared) {
        let is_large = self.members.is_large();
        let ledger = shared.ledger();
        let mut sums: HashMap<u64, (u32, u64)> = HashMap::new();
        for (entry, state) in self.members.recent_states(now, STATE_TTL) {
            let is_near = state.zone == shared.settings.zone;
            let is_counted = !is_large || (state.stage == Stage::Keeps) != is_near && !ledger.contains(entry);
            for load in state.in_flight.iter().filter(|_| is_counted) {
                let sum = sums.entry(load.endpoint).or_default();
                sum.0 += load.running;
                sum.1 += load.unread;
            }
        }
        ledger.apply_to_all(self.directory.endpoints());
        let silent = self.silent_zones(now, shared);
        for endpoint in self.directory.endpoints() {
            endpoint.set_silent(silent.contains(&endpoint.registration.zone));
            let (running, unread) = sums.get(&endpoint.hash).copied().unwrap_or_default();
            endpoint.others.set(running, unread);
        }
    }

    /// Returns the zones without recent updates, if this entry is the keeper of its zone; otherwise none.
    ///
    /// A network partition may not reset connections, so requests to the other zone would continue over established
    /// connections and streams would hang until their callers leave. Keepers exchange states four times a second. A
    /// zone whose keeper was not heard for three rounds may be cut off, so its endpoints are used only as a last resort
    /// until an update arrives.
    fn silent_zones(&self, now: Instant, shared: &Shared) -> BTreeSet<name::Zone> {
        if self.keepers.keeper != Keeper::Own {
            return BTreeSet::new();
        }
        let heard: BTreeSet<&name::Zone> = self
            .members
            .recent_states(now, ZONE_SILENCE_TIMEOUT)
            .map(|(_, state)| &state.zone)
            .collect();
        let zones = self.members.zones().into_iter();
        let silent = zones.filter(|zone| **zone != shared.settings.zone && !heard.contains(zone));
        silent.cloned().collect()
    }
}
