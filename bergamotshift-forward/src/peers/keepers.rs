//! Works out who keeps each zone, and whether this entry is cut off from the others.

use core::net::SocketAddr;
use core::time::Duration;
use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use super::member::Members;
use super::member::Peer;
use crate::limits::Keeper;
use crate::limits::Keepers;
use crate::limits::granter;
use crate::limits::keeper;
use crate::limits::keeper::Candidate;

/// How long an entry hears nothing from other zones until it takes itself for cut off from them; several are asked a second.
const CUT: Duration = Duration::from_millis(1_200);

/// One in so many entries of its zone an entry has to hear, to keep the zone. Single VMs are cut off and then hear nobody
/// there; of a zone that lost more than half of its processes at once, those left go on.
const ENOUGH: usize = 4;

impl Members {
    /// Returns whether this entry is cut off from all other zones: none was heard lately, and some were asked and silent.
    ///
    /// Entries whose processes ended refuse connections, so a fleet that was killed does not look cut off to one that is
    /// left.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        let is_far = |peer: &&Peer| peer.zone.as_ref().is_some_and(|zone| *zone != self.zone);
        let mut far = self.peers.values().filter(is_far);
        let is_silent = |peer: &Peer| peer.silent.is_some_and(|silent| now.since(silent) < CUT);
        let hears_any = far.clone().any(|peer| peer.is_recent(now, CUT));
        !hears_any && far.any(is_silent)
    }

    /// Returns whether the store may be away when it does not answer this entry: no other one that was heard within `span`
    /// reaches it, and it is not this entry that is cut off.
    ///
    /// Failure: an entry is cut off, and its calls of the store fail up to the end. Symptom: it takes what is missing among
    /// the registrations after that for what a store that was away has to get back, and sends requests to endpoints that left
    /// two seconds before.
    pub fn suspects_store_outage(&self, now: Instant, span: Duration) -> bool {
        let is_reached = self.recent_states(now, span).any(|(_, state)| state.reaches_store);
        !is_reached && !self.is_cut_off(now)
    }

    /// Returns who keeps this entry's zone.
    ///
    /// Failure: an entry that is cut off takes all others for dead and itself for the keeper, and grants what the real
    /// one grants too. Symptom: an organisation exceeds its limit. Who hears less than a part of its zone keeps nothing.
    pub fn keeping(&self, now: Instant) -> Keepers {
        if !self.is_large() {
            return Keepers::default();
        }
        let near = self.peers.values().filter(|peer| peer.is_in(&self.zone));
        let (mates, alive) = near.fold((0, 0), |(mates, alive), peer| {
            (mates + 1, alive + usize::from(peer.is_alive(now)))
        });
        let hears_enough = mates == 0 || alive > 0 && alive * ENOUGH >= mates;
        let own = Candidate {
            entry: &self.own,
            core_share: self.core_share,
        };
        let own = Some(own).filter(|_| hears_enough && !self.stops);
        let [first, second] = keeper::top_two(self.candidates(now, &self.zone).chain(own));
        let address = |entry: &name::Entry| self.peers.get(entry).map(|peer| peer.address);
        Keepers {
            keeper: match first {
                Some(entry) if *entry == self.own => Keeper::Own,
                Some(entry) => address(entry).map_or(Keeper::Unknown, Keeper::Other),
                None => Keeper::Unknown,
            },
            deputy: second.and_then(address),
            is_deputy: second == Some(&self.own),
        }
    }

    /// Returns the entries that grant requests to endpoints which name a rate: in a large fleet the keepers of the zones, which
    /// hear one another often, and all entries in a small one. `knows_list` says that the list of entries was read.
    ///
    /// There is none while a process that starts has heard nobody and there may be others: each of them would grant the burst.
    pub fn granters(&self, now: Instant, knows_list: bool) -> Vec<granter::Candidate> {
        let candidate = |entry: &name::Entry, address| granter::Candidate {
            hash: xxh3_64(entry.as_str().as_bytes()),
            address,
        };
        let is_large = self.is_large();
        let keeps = is_large && self.keeping(now).keeper == Keeper::Own;
        let mut granters: Vec<_> = if is_large {
            let zones = self.zones().into_iter();
            let others = zones.filter(|zone| !keeps || **zone != self.zone);
            let keepers = self.keepers_of(now, others);
            keepers
                .map(|(entry, peer)| candidate(entry, Some(peer.address)))
                .collect()
        } else {
            let alive = self.alive(now);
            alive
                .map(|(entry, peer)| candidate(entry, Some(peer.address)))
                .collect()
        };
        let may_have_others = !self.peers.is_empty() || !knows_list;
        if granters.is_empty() && may_have_others && self.is_young(now) {
            return granters;
        }
        let grants = !self.stops && (!is_large || keeps);
        if grants || granters.is_empty() {
            granters.push(candidate(&self.own, None));
        }
        granters.sort_unstable();
        granters
    }

    /// Returns the availability zones that have entries, this one's included.
    pub fn zones(&self) -> BTreeSet<&name::Zone> {
        let others = self.peers.values().filter_map(|peer| peer.zone.as_ref());
        others.chain([&self.zone]).collect()
    }

    fn candidates<'a>(&'a self, now: Instant, zone: &'a name::Zone) -> impl Iterator<Item = Candidate<'a>> {
        let near = self.alive(now).filter(move |(_, peer)| peer.is_in(zone));
        near.map(|(entry, peer)| peer.candidate(entry))
    }

    /// Returns the other entries that live and are not about to end.
    fn alive(&self, now: Instant) -> impl Iterator<Item = (&name::Entry, &Peer)> {
        self.peers
            .iter()
            .filter(move |(_, peer)| peer.is_alive(now) && !peer.stops)
    }

    /// Returns the other entry that comes first in each of these zones.
    fn keepers_of<'a>(
        &'a self,
        now: Instant,
        zones: impl Iterator<Item = &'a name::Zone>,
    ) -> impl Iterator<Item = (&'a name::Entry, &'a Peer)> {
        let first = zones.filter_map(move |zone| keeper::top_two(self.candidates(now, zone))[0]);
        first.filter_map(|entry| Some((entry, self.peers.get(entry)?)))
    }

    /// Returns the entries of the own zone that would keep it if they were heard.
    ///
    /// Failure: all entries are killed and start again, and hear the one that comes first only after a second. Symptom:
    /// they are let in by nobody meanwhile. It is asked first.
    pub(super) fn likely_keepers(&self, now: Instant) -> Vec<name::Entry> {
        let near = self.peers.iter().filter(|(_, peer)| peer.is_in(&self.zone));
        let open = near.filter(|(_, peer)| !peer.is_paused(now) && !peer.was_asked(now));
        let candidates = open.map(|(entry, peer)| peer.candidate(entry));
        keeper::top_two(candidates).into_iter().flatten().cloned().collect()
    }

    /// Returns the keepers of the other zones.
    pub(super) fn other_keepers(&self, now: Instant) -> Vec<(name::Entry, SocketAddr)> {
        let others = self.zones().into_iter().filter(|zone| **zone != self.zone);
        let keepers = self.keepers_of(now, others);
        keepers.map(|(entry, peer)| (entry.clone(), peer.address)).collect()
    }
}
