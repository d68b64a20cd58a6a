//! What is known of the zones: the work under way at their endpoints, and whether they are heard.

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

/// How long the keepers of zones hear nothing of a zone until its endpoints are left for last; they ask one another every
/// quarter of a second.
const ZONE_SILENCE_TIMEOUT: Duration = Duration::from_millis(900);

impl Inner {
    /// Works out whether this entry is cut off from endpoints that its callers need.
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

    /// Sums up what the other entries have under way at each endpoint.
    ///
    /// The keepers of the other zones tell that of their whole zones. The entries of the own zone tell their own; what
    /// they tell this one as the keeper is newer, and counted apart.
    pub(super) fn update_in_flight(&self, now: Instant, shared: &Shared) {
        let is_large = self.members.is_large();
        let ledger = shared.ledger();
        let mut sums: HashMap<u64, (u32, u64)> = HashMap::new();
        for (entry, state) in self.members.heard(now, STATE_TTL) {
            let is_near = state.zone == shared.settings.zone;
            let counts = !is_large || (state.stage == Stage::Keeps) != is_near && !ledger.contains(entry);
            for flown in state.flown.iter().filter(|_| counts) {
                let sum = sums.entry(flown.endpoint).or_default();
                sum.0 += flown.running;
                sum.1 += flown.unread;
            }
        }
        let silent = self.silent_zones(now, shared);
        for endpoint in self.directory.endpoints() {
            ledger.apply_to(endpoint);
            endpoint.set_silent(silent.contains(&endpoint.registration.zone));
            let (running, unread) = sums.get(&endpoint.hash).copied().unwrap_or_default();
            endpoint.others.set(running, unread);
        }
    }

    /// Returns the zones of which nothing was heard just now, as the keeper of a zone sees it.
    ///
    /// Failure: a zone is cut off without a reset, and requests go on to its endpoints over connections that stand. Symptom:
    /// streams hang until their callers leave. The keepers hear one another four times a second, so a zone whose keeper was
    /// not heard in three rounds may be cut off; its endpoints are left for last until it is heard again.
    fn silent_zones(&self, now: Instant, shared: &Shared) -> BTreeSet<name::Zone> {
        if self.keeping.keeper != Keeper::Own {
            return BTreeSet::new();
        }
        let heard: BTreeSet<&name::Zone> = self
            .members
            .heard(now, ZONE_SILENCE_TIMEOUT)
            .map(|(_, state)| &state.zone)
            .collect();
        let zones = self.members.zones().into_iter();
        let silent = zones.filter(|zone| **zone != shared.settings.zone && !heard.contains(zone));
        silent.cloned().collect()
    }
}
