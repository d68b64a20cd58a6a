//! Speakers: the few members of a zone that exchange updates with the other zones.

use std::collections::BTreeMap;

use bergamotshift_core::clock::Instant;
use bergamotshift_core::key;
use bergamotshift_core::name;
use rand::RngExt;
use rand::seq::SliceRandom;

use super::Action;
use super::Kernel;
use super::probe::Purpose;
use super::update::Origin;
use crate::member;
use crate::rendezvous;
use crate::tag;
use crate::wire::Item;
use crate::zone;

/// Speakers of every zone, as computed by this entry.
#[derive(Clone, Debug, Default)]
pub(super) struct Speakers {
    by_zone: BTreeMap<name::Zone, Vec<key::Entry>>,
    /// Generation of the members and sum of the terms that the speakers were computed for.
    computed_for: Option<(u64, u64)>,
    /// Time at which the term of this entry's zone last changed.
    pub(super) rotated: Instant,
    /// Zone that this entry probed last.
    last_probed: Option<name::Zone>,
}

impl Kernel {
    /// Number of speakers of another zone that one speaker sends an urgent update to.
    const PARTNERS_PER_ZONE: usize = 2;

    /// Recomputes the speakers if members or terms have changed.
    pub(super) fn refresh_speakers(&mut self) {
        let terms = self.zones.values().map(|view| u64::from(view.term)).sum();
        let computed_for = Some((self.members.generation(), terms));
        if self.speakers.computed_for == computed_for {
            return;
        }
        self.speakers.computed_for = computed_for;
        self.speakers.by_zone.clear();
        for (zone, view) in &self.zones {
            let live: Vec<(u64, key::Entry)> = self
                .members
                .live_in(zone)
                .map(|(key, record)| (record.tag().get(), key))
                .collect();
            let count = zone::speaker_count(live.len());
            let key = zone::speaker_key(zone, view.term);
            let chosen = rendezvous::top(key, count, live.into_iter());
            self.speakers.by_zone.insert(zone.clone(), chosen);
        }
    }

    /// Returns the speakers of a zone.
    pub(super) fn speakers_of(&self, zone: &name::Zone) -> &[key::Entry] {
        self.speakers.by_zone.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Returns the speakers of this entry's zone.
    pub(super) fn own_speakers(&self) -> Vec<key::Entry> {
        self.speakers_of(&self.me.zone).to_vec()
    }

    /// Returns this entry's rank among its zone's speakers and their number, if it is a speaker.
    pub(super) fn speaker_rank(&self) -> Option<(usize, usize)> {
        let me = self.members.find(&self.me.name)?;
        let speakers = self.speakers.by_zone.get(&self.me.zone)?;
        let rank = speakers.iter().position(|key| *key == me)?;
        Some((rank, speakers.len()))
    }

    /// Returns the speakers of all other zones, in random order.
    pub(super) fn remote_speakers(&mut self) -> Vec<key::Entry> {
        let own = &self.me.zone;
        let remote = self.speakers.by_zone.iter().filter(|(zone, _)| *zone != own);
        let mut all: Vec<key::Entry> = remote.flat_map(|(_, keys)| keys.iter().copied()).collect();
        all.shuffle(&mut self.random);
        all
    }

    /// Returns the speakers that this entry forwards urgent updates to; empty unless it is a speaker itself.
    ///
    /// Each other zone is served by two of this zone's speakers, so that one of them may fail.
    pub(super) fn partner_speakers(&self) -> Vec<key::Entry> {
        let Some((rank, count)) = self.speaker_rank() else {
            return Vec::new();
        };
        let mut partners = Vec::new();
        let own = self.me.zone.clone();
        let others = self.speakers.by_zone.iter().filter(|(zone, _)| **zone != own);
        for (index, (_, speakers)) in others.enumerate() {
            if index % count != rank && (index + 1) % count != rank {
                continue;
            }
            let wanted = Self::PARTNERS_PER_ZONE.min(speakers.len());
            partners.extend((0..wanted).map(|step| speakers[(rank + step) % speakers.len()]));
        }
        partners
    }

    /// Returns some speakers of each other zone, chosen by this entry's tag so that the load of many entries is spread.
    pub(super) fn some_remote_speakers(&self) -> Vec<key::Entry> {
        let own = &self.me.zone;
        let others = self.speakers.by_zone.iter().filter(|(zone, _)| *zone != own);
        others
            .flat_map(|(_, speakers)| {
                let first = self.tag.get() as usize;
                let wanted = Self::PARTNERS_PER_ZONE.min(speakers.len());
                (0..wanted).map(move |step| speakers[(first.wrapping_add(step)) % speakers.len()])
            })
            .collect()
    }

    /// Probes the next zone if this entry is a speaker.
    pub(super) fn probe_zone(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.refresh_speakers();
        let Some((rank, _)) = self.speaker_rank() else { return };
        if self.me.state == member::State::Left {
            return;
        }
        let Some(zone) = self.next_zone() else { return };
        let failures = self.zones.get(&zone).map_or(0, |view| view.probe_failures);
        let speakers = self.speakers_of(&zone);
        // Probing the same partner each time keeps the number of connections low: a handshake costs as much as ten
        // probes. After a failure any member is probed, since the speakers themselves may have failed.
        let target = if failures == 0 && !speakers.is_empty() {
            speakers[rank % speakers.len()]
        } else {
            let members: Vec<key::Entry> = self.members.live_in(&zone).map(|(key, _)| key).collect();
            members[self.random.random_range(0..members.len())]
        };
        self.speakers.last_probed = Some(zone.clone());
        self.start_probe(now, target, Purpose::Zone(zone), true, out);
    }

    /// Returns a zone that has begun to fail but is not lost yet, or else the next zone in turn.
    fn next_zone(&self) -> Option<name::Zone> {
        let others: Vec<&name::Zone> = self
            .zones
            .keys()
            .filter(|zone| **zone != self.me.zone && self.members.live_in(zone).next().is_some())
            .collect();
        let failing = others.iter().find(|zone| {
            let failures = self.zones[**zone].probe_failures;
            failures > 0 && failures < self.settings.max_zone_probe_failures
        });
        if let Some(zone) = failing {
            return Some((*zone).clone());
        }
        let after = others
            .iter()
            .find(|zone| Some(**zone) > self.speakers.last_probed.as_ref());
        after.or(others.first()).map(|zone| (*zone).clone())
    }

    /// Returns the zones that this entry's probes do not reach.
    pub(super) fn lost_zones(&self) -> Vec<tag::Short> {
        self.zones
            .iter()
            .filter(|(_, view)| view.probe_failures >= self.settings.max_zone_probe_failures)
            .map(|(zone, _)| tag::Short::of(zone))
            .collect()
    }

    pub(super) fn apply_term(&mut self, now: Instant, term: zone::Term, origin: Origin) {
        let found = self
            .zones
            .iter_mut()
            .find(|(zone, _)| tag::Short::of(zone) == term.zone);
        let Some((zone, view)) = found else { return };
        if term.number <= view.term {
            return;
        }
        view.term = term.number;
        if *zone == self.me.zone {
            self.speakers.rotated = now;
        }
        self.queue_urgent(now, Item::Term(term), origin);
    }

    /// Raises the term after the rotation interval, so that the cost of being a speaker rotates.
    pub(super) fn rotate_speakers(&mut self, now: Instant) {
        if now.since(self.speakers.rotated) < self.settings.rotation_interval
            || self.speaker_rank().is_none_or(|(rank, _)| rank != 0)
        {
            return;
        }
        let term = self.zones.get(&self.me.zone).map_or(0, |view| view.term);
        let term = zone::Term {
            zone: tag::Short::of(&self.me.zone),
            number: term + 1,
        };
        self.apply_term(now, term, Origin::Local);
    }
}
