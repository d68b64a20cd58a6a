//! Determines the keeper of each zone, and whether this entry is partitioned from the others.

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

/// Time without a message from other zones after which an entry considers itself partitioned from them. It contacts
/// several entries there per second.
const PARTITION_TIMEOUT: Duration = Duration::from_millis(1_200);

/// An entry may be the keeper of its zone only while at least one in this many of the zone's other entries counts as
/// alive. A single partitioned VM receives nothing from them, whereas a zone that lost more than half of its processes
/// at once keeps working.
const QUORUM_DIVISOR: usize = 4;

/// Returns an entry as a candidate by rendezvous hash; `address` is `None` for this entry itself.
fn candidate(entry: &name::Entry, address: Option<SocketAddr>) -> granter::Candidate {
    granter::Candidate {
        hash: xxh3_64(entry.as_str().as_bytes()),
        address,
    }
}

impl Members {
    /// Returns whether this entry is partitioned from all other zones: it received nothing from them recently, and
    /// calls to some of their entries timed out.
    ///
    /// The VM of an entry whose process ended refuses connections, so a surviving entry does not mistake a killed fleet
    /// for a partition.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        let is_remote = |peer: &&Peer| peer.zone.as_ref().is_some_and(|zone| *zone != self.zone);
        let mut remote = self.peers.values().filter(is_remote);
        let timed_out = |peer: &Peer| peer.last_timeout.is_some_and(|at| now.since(at) < PARTITION_TIMEOUT);
        let hears_remote = remote.clone().any(|peer| peer.is_recent(now, PARTITION_TIMEOUT));
        !hears_remote && remote.any(timed_out)
    }

    /// Returns whether the store itself may be down when it does not answer this entry: no other entry that sent its
    /// state within `span` reaches the store, and this entry is not partitioned.
    ///
    /// After an outage, registrations may be missing from the store until it has recovered, and their endpoints stay in
    /// use. An entry that mistook its own partition for an outage would keep sending requests to endpoints that left
    /// two seconds before.
    pub fn suspects_store_outage(&self, now: Instant, span: Duration) -> bool {
        let is_reached = self.recent_states(now, span).any(|(_, state)| state.reaches_store);
        !is_reached && !self.is_cut_off(now)
    }

    /// Returns the keeper of this entry's zone and its deputy.
    ///
    /// A partitioned entry considers all others dead. If it became the keeper, it would grant the same units as the
    /// real keeper, and organisations would exceed their limits. So an entry never becomes the keeper without a quorum
    /// of its zone.
    pub fn keeping(&self, now: Instant) -> Keepers {
        if !self.is_large() {
            return Keepers::default();
        }
        let local = self.peers.values().filter(|peer| peer.is_in(&self.zone));
        let (others, alive) = local.fold((0, 0), |(others, alive), peer| {
            (others + 1, alive + usize::from(peer.is_alive(now)))
        });
        let has_quorum = others == 0 || alive > 0 && alive * QUORUM_DIVISOR >= others;
        let own = Candidate {
            entry: &self.own,
            core_share: self.core_share,
        };
        let own = Some(own).filter(|_| has_quorum && !self.is_stopping);
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

    /// Returns the entries that grant permits for rate-limited endpoints: the keepers of the zones in a large fleet,
    /// which exchange states often, and all entries in a small one. `has_read_list` says that the list of entries was
    /// read.
    ///
    /// The result is empty while a process starts, has received no state, and may not be alone. Otherwise each of
    /// several starting entries would grant a full burst.
    pub fn granters(&self, now: Instant, has_read_list: bool) -> Vec<granter::Candidate> {
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
            self.others(now)
        };
        let may_have_peers = !self.peers.is_empty() || !has_read_list;
        if granters.is_empty() && may_have_peers && self.is_starting(now) {
            return granters;
        }
        let grants = !self.is_stopping && (!is_large || keeps);
        if grants || granters.is_empty() {
            granters.push(candidate(&self.own, None));
        }
        granters.sort_unstable();
        granters
    }

    /// Returns the other entries that are alive and not stopping.
    pub fn others(&self, now: Instant) -> Vec<granter::Candidate> {
        let others = self.alive(now);
        others
            .map(|(entry, peer)| candidate(entry, Some(peer.address)))
            .collect()
    }

    /// Returns whether an entry is this one, or any entry heard from it lately.
    pub fn is_heard(&self, now: Instant, entry: &name::Entry) -> bool {
        let peer = self.peers.get(entry);
        *entry == self.own || peer.is_some_and(|peer| peer.is_alive(now))
    }

    /// Records that the store was found restored from a copy, which may lack entries that joined since.
    pub fn record_restore(&mut self, now: Instant) {
        let known = self.peers.keys().cloned();
        let before = self.before_restore.take().into_iter().flat_map(|(_, before)| before);
        self.before_restore = Some((now, before.chain(known).collect()));
    }

    /// Returns the entries that were known when the store was found restored, unless that was `max_cut` ago.
    pub fn known_before_restore(&self, now: Instant, max_cut: Duration) -> impl Iterator<Item = &name::Entry> {
        let recent = self
            .before_restore
            .iter()
            .filter(move |(at, _)| now.since(*at) < max_cut);
        recent.flat_map(|(_, entries)| entries)
    }

    /// Returns all entries that are alive and not shutting down, which may include this one.
    pub fn everyone(&self, now: Instant) -> Vec<granter::Candidate> {
        let own = (!self.is_stopping).then(|| candidate(&self.own, None));
        self.others(now).into_iter().chain(own).collect()
    }

    /// Returns the availability zones that have entries, including this entry's.
    pub fn zones(&self) -> BTreeSet<&name::Zone> {
        let others = self.peers.values().filter_map(|peer| peer.zone.as_ref());
        others.chain([&self.zone]).collect()
    }

    pub(super) fn candidates<'a>(&'a self, now: Instant, zone: &'a name::Zone) -> impl Iterator<Item = Candidate<'a>> {
        let local = self.alive(now).filter(move |(_, peer)| peer.is_in(zone));
        local.map(|(entry, peer)| peer.candidate(entry))
    }

    /// Returns the other entries that are alive and not shutting down.
    fn alive(&self, now: Instant) -> impl Iterator<Item = (&name::Entry, &Peer)> {
        self.peers
            .iter()
            .filter(move |(_, peer)| peer.is_alive(now) && !peer.is_stopping)
    }

    /// Returns the highest-ranked other entry of each of these zones.
    pub(super) fn keepers_of<'a>(
        &'a self,
        now: Instant,
        zones: impl Iterator<Item = &'a name::Zone>,
    ) -> impl Iterator<Item = (&'a name::Entry, &'a Peer)> {
        let first = zones.filter_map(move |zone| keeper::top_two(self.candidates(now, zone))[0]);
        first.filter_map(|entry| Some((entry, self.peers.get(entry)?)))
    }

    /// Returns the entries of this zone that would be its keeper and deputy if they were alive.
    ///
    /// These are contacted first. Otherwise, when all entries restart at once, it takes a second until they receive a
    /// state from the highest-ranked one, and no caller is admitted meanwhile.
    pub(super) fn likely_keepers(&self, now: Instant) -> Vec<name::Entry> {
        let local = self.peers.iter().filter(|(_, peer)| peer.is_in(&self.zone));
        let available = local.filter(|(_, peer)| !peer.is_backing_off(now) && !peer.was_contacted(now));
        let candidates = available.map(|(entry, peer)| peer.candidate(entry));
        keeper::top_two(candidates).into_iter().flatten().cloned().collect()
    }

    /// Returns the keepers of the other zones and their addresses.
    pub(super) fn other_keepers(&self, now: Instant) -> Vec<(name::Entry, SocketAddr)> {
        let others = self.zones().into_iter().filter(|zone| **zone != self.zone);
        let keepers = self.keepers_of(now, others);
        keepers.map(|(entry, peer)| (entry.clone(), peer.address)).collect()
    }
}
