//! Speakers: the few members of a zone that exchange news with the other zones.

use std::collections::BTreeMap;

use bergamotshift_core::clock::Instant;
use bergamotshift_core::key;
use bergamotshift_core::name;
use rand::RngExt;
use rand::seq::SliceRandom;

use super::Action;
use super::Kernel;
use super::news::Origin;
use super::probe::Purpose;
use crate::member;
use crate::rendezvous;
use crate::tag;
use crate::wire::Item;
use crate::zone;

/// The speakers of every zone, as this entry computes them.
#[derive(Clone, Debug, Default)]
pub(super) struct Speakers {
    by_zone: BTreeMap<name::Zone, Vec<key::Entry>>,
    /// The members' generation and the sum of the terms for which they were computed.
    stamp: Option<(u64, u64)>,
    /// When this entry's zone last changed its term.
    pub(super) since: Instant,
    /// The zone that this entry probed last.
    last_probed: Option<name::Zone>,
}

impl Kernel {
    /// Zones that a piece of urgent news goes to from one speaker get it at this many of theirs.
    const PARTNERS: usize = 2;

    /// Computes the speakers anew when members or terms changed.
    pub(super) fn refresh_speakers(&mut self) {
        let terms = self.zones.values().map(|view| u64::from(view.term)).sum();
        let stamp = Some((self.members.generation(), terms));
        if self.speakers.stamp == stamp {
            return;
        }
        self.speakers.stamp = stamp;
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

    /// Returns this entry's rank among its zone's speakers and their number.
    pub(super) fn rank(&self) -> Option<(usize, usize)> {
        let me = self.members.find(&self.me.name)?;
        let speakers = self.speakers.by_zone.get(&self.me.zone)?;
        let rank = speakers.iter().position(|key| *key == me)?;
        Some((rank, speakers.len()))
    }

    /// Returns some speakers of other zones, in random order.
    pub(super) fn far_speakers(&mut self) -> Vec<key::Entry> {
        let own = &self.me.zone;
        let far = self.speakers.by_zone.iter().filter(|(zone, _)| *zone != own);
        let mut all: Vec<key::Entry> = far.flat_map(|(_, keys)| keys.iter().copied()).collect();
        all.shuffle(&mut self.random);
        all
    }

    /// Returns the speakers that this entry passes urgent news to, when it is a speaker itself.
    ///
    /// Each other zone falls to two of this zone's speakers, so that one of them may fail unnoticed.
    pub(super) fn far_partners(&self) -> Vec<key::Entry> {
        let Some((rank, count)) = self.rank() else {
            return Vec::new();
        };
        let mut partners = Vec::new();
        let own = self.me.zone.clone();
        let others = self.speakers.by_zone.iter().filter(|(zone, _)| **zone != own);
        for (index, (_, speakers)) in others.enumerate() {
            if index % count != rank && (index + 1) % count != rank {
                continue;
            }
            let wanted = Self::PARTNERS.min(speakers.len());
            partners.extend((0..wanted).map(|step| speakers[(rank + step) % speakers.len()]));
        }
        partners
    }

    /// Returns some speakers of each other zone, by this entry's own tag so that the load of many is spread.
    pub(super) fn some_speakers_of_each_zone(&self) -> Vec<key::Entry> {
        let own = &self.me.zone;
        let others = self.speakers.by_zone.iter().filter(|(zone, _)| *zone != own);
        others
            .flat_map(|(_, speakers)| {
                let first = self.tag.get() as usize;
                let wanted = Self::PARTNERS.min(speakers.len());
                (0..wanted).map(move |step| speakers[(first.wrapping_add(step)) % speakers.len()])
            })
            .collect()
    }

    /// Probes the next zone, when this entry is a speaker.
    pub(super) fn probe_zone(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.refresh_speakers();
        let Some((rank, _)) = self.rank() else { return };
        if self.me.state == member::State::Left {
            return;
        }
        let Some(zone) = self.next_zone() else { return };
        let failures = self.zones.get(&zone).map_or(0, |view| view.failures);
        let speakers = self.speakers_of(&zone);
        // The same partner each time keeps connections few: a handshake costs as much as ten probes. After a failure
        // any member will do, since the speakers themselves may be what failed.
        let target = if failures == 0 && !speakers.is_empty() {
            speakers[rank % speakers.len()]
        } else {
            let members: Vec<key::Entry> = self.members.live_in(&zone).map(|(key, _)| key).collect();
            members[self.random.random_range(0..members.len())]
        };
        self.speakers.last_probed = Some(zone.clone());
        self.start_probe(now, target, Purpose::Zone(zone), true, out);
    }

    /// Returns a zone that has just begun to fail, or else the next in turn.
    fn next_zone(&self) -> Option<name::Zone> {
        let others: Vec<&name::Zone> = self
            .zones
            .keys()
            .filter(|zone| **zone != self.me.zone && self.members.live_in(zone).next().is_some())
            .collect();
        let failing = others.iter().find(|zone| {
            let failures = self.zones[**zone].failures;
            failures > 0 && failures < self.settings.cross_failures
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
            .filter(|(_, view)| view.failures >= self.settings.cross_failures)
            .map(|(zone, _)| tag::Short::of(zone))
            .collect()
    }

    pub(super) fn learn_term(&mut self, now: Instant, term: zone::Term, origin: Origin) {
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
            self.speakers.since = now;
        }
        self.hurry(now, Item::Term(term), origin);
    }

    /// Passes the speakers' duty on after a while, so that its cost goes round.
    pub(super) fn rotate(&mut self, now: Instant) {
        if now.since(self.speakers.since) < self.settings.rotation || self.rank().is_none_or(|(rank, _)| rank != 0) {
            return;
        }
        let term = self.zones.get(&self.me.zone).map_or(0, |view| view.term);
        let term = zone::Term {
            zone: tag::Short::of(&self.me.zone),
            number: term + 1,
        };
        self.learn_term(now, term, Origin::Own);
    }
}
