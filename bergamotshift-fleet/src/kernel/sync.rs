//! Joining the fleet, and the full exchange that resolves differences which gossip has left.

use core::net::SocketAddr;
use core::time::Duration;

use bergamotshift_core::clock::Instant;
use bergamotshift_core::key;
use bergamotshift_core::name;
use bergamotshift_core::vm;
use rand::RngExt;

use super::Action;
use super::Kernel;
use super::Transport;
use crate::endpoint;
use crate::mark;
use crate::member;
use crate::tag;
use crate::wire;
use crate::wire::Item;
use crate::zone;

impl Kernel {
    /// Time for which dead and left members are remembered, so that late updates do not revive them.
    const DEPARTED_RETENTION: Duration = Duration::from_hours(1);
    /// Minimum interval between two full exchanges with one member.
    const MIN_SYNC_INTERVAL: Duration = Duration::from_secs(2);

    /// Applies the platform's VM list. The list lags, so it adds endpoints and marks but never revokes a mark.
    pub(super) fn handle_listing(&mut self, now: Instant, list: &[vm::Listing], out: &mut Vec<Action>) {
        self.directory.update(list);
        self.listed_addresses = list
            .iter()
            .filter(|listing| listing.role == vm::Role::Entry)
            .map(|listing| listing.address)
            .collect();
        self.declare_unlisted_dead(now, list, out);
        for listing in list {
            let vm::State::Leaving { notice_ms } = listing.state else {
                continue;
            };
            if listing.role == vm::Role::Entry {
                continue;
            }
            let endpoint = endpoint::Id {
                vm: listing.name.clone(),
                incarnation: listing.incarnation,
            };
            let notice = u32::try_from(notice_ms).ok();
            self.mark_leaving(now, endpoint, mark::Source::List, notice, out);
        }
    }

    /// Declares members of a lost zone dead if the VM list no longer shows them.
    ///
    /// Only members of a zone detect each other's deaths, so nobody is left to report them when all fail at once. A
    /// missing listing is no proof, because the list lags and may show no entries at all. Silence is no proof either,
    /// because the zone may only be cut off. Both together, in three consecutive lists, are taken as proof.
    fn declare_unlisted_dead(&mut self, now: Instant, list: &[vm::Listing], out: &mut Vec<Action>) {
        const MAX_MISSED_LISTS: u8 = 3;
        let shown: std::collections::BTreeSet<&str> = list
            .iter()
            .filter(|listing| listing.role == vm::Role::Entry)
            .map(|listing| listing.name.as_str())
            .collect();
        if shown.is_empty() {
            self.unlisted_counts.clear();
            return;
        }
        let missing: Vec<key::Entry> = self
            .members
            .iter()
            .filter(|(_, record)| record.is_live() && !shown.contains(record.name.as_str()))
            .filter(|(_, record)| self.reach(now, &record.zone) == zone::Reach::Lost)
            .map(|(key, _)| key)
            .collect();
        self.unlisted_counts.retain(|key, _| missing.contains(key));
        for key in missing {
            let lists = self.unlisted_counts.entry(key).or_default();
            *lists += 1;
            if *lists >= MAX_MISSED_LISTS {
                self.declare_dead(now, key, out);
            }
        }
    }

    /// Contacts seeds and listed entries that are no members yet: several at once while this entry is alone, else one
    /// at random intervals.
    pub(super) fn join(&mut self, out: &mut Vec<Action>) {
        /// One in this many rounds contacts an unknown entry, so that parts of a fleet that were started separately
        /// find each other.
        const REJOIN_ODDS: u32 = 10;
        /// Number of entries that are contacted at once while this entry is alone.
        const MAX_JOINS: usize = 3;
        if self.me.state == member::State::Left {
            return;
        }
        let live: std::collections::BTreeSet<SocketAddr> = self
            .members
            .iter()
            .filter(|(_, record)| record.is_live())
            .map(|(_, record)| record.address)
            .collect();
        let is_alone = live.len() <= 1;
        if !is_alone && self.random.random_range(0..REJOIN_ODDS) != 0 {
            return;
        }
        let mut unknown: Vec<SocketAddr> = self
            .settings
            .seeds
            .iter()
            .chain(&self.listed_addresses)
            .copied()
            .filter(|address| !live.contains(address))
            .collect();
        for _ in 0..if is_alone { MAX_JOINS } else { 1 } {
            if unknown.is_empty() {
                return;
            }
            let to = unknown.swap_remove(self.random.random_range(0..unknown.len()));
            self.send_join(to, out);
        }
    }

    fn send_join(&mut self, to: SocketAddr, out: &mut Vec<Action>) {
        self.sequence = self.sequence.wrapping_add(1);
        let body = wire::Body::Ping {
            sequence: self.sequence,
            target: tag::Long::UNKNOWN,
        };
        let mut writer = wire::Writer::new(self.tag, body, wire::MAX_DATAGRAM);
        writer.push(&Item::Member(self.me.clone()));
        out.push(Action::Send {
            to,
            transport: Transport::Datagram,
            bytes: writer.finish(),
        });
    }

    /// Sends a newcomer the whole state.
    pub(super) fn send_full_state(&mut self, now: Instant, to: SocketAddr, out: &mut Vec<Action>) {
        let mut items: Vec<Item> = self
            .members
            .iter()
            .map(|(_, record)| Item::Member(record.clone()))
            .collect();
        items.extend(self.marks.iter(now).map(Item::Mark));
        items.extend(self.terms());
        items.extend(self.notes.iter(now).map(Item::Note));
        self.send_all(to, &items, out);
    }

    fn terms(&self) -> impl Iterator<Item = Item> {
        self.zones.iter().map(|(zone, view)| {
            Item::Term(zone::Term {
                zone: tag::Short::of(zone),
                number: view.term,
            })
        })
    }

    fn send_all(&self, to: SocketAddr, items: &[Item], out: &mut Vec<Action>) {
        for bytes in self.pack(items, wire::MAX_STREAM) {
            out.push(Action::Send {
                to,
                transport: Transport::Stream,
                bytes,
            });
        }
    }

    /// Returns the hashes of this entry's state.
    pub(super) fn digest(&self) -> wire::Digest {
        let members = self.members.zones().map(|zone| {
            let digest = self.members.digest(zone);
            (tag::Short::of(zone), digest.to_le_bytes())
        });
        wire::Digest {
            members: members.collect(),
            marks: self.marks.digest().to_le_bytes(),
            notes: self.notes.digest().to_le_bytes(),
        }
    }

    /// Sends a member the state in which its digest differs; the member does the same when it receives this entry's
    /// digest.
    pub(super) fn reconcile(&mut self, now: Instant, sender: key::Entry, theirs: &wire::Digest, out: &mut Vec<Action>) {
        let ours = self.digest();
        if ours == *theirs {
            return;
        }
        let Some(record) = self.members.get(sender) else { return };
        let (to, tag) = (record.address, record.tag());
        self.last_syncs.retain(|_, at| now.since(*at) < Self::MIN_SYNC_INTERVAL);
        if self.last_syncs.contains_key(&tag) {
            return;
        }
        self.last_syncs.insert(tag, now);
        let differing: Vec<name::Zone> = self
            .members
            .zones()
            .filter(|zone| {
                let tag = tag::Short::of(zone);
                let own = self.members.digest(zone).to_le_bytes();
                !theirs.members.contains(&(tag, own))
            })
            .cloned()
            .collect();
        let mut items: Vec<Item> = Vec::new();
        for zone in &differing {
            let records = self.members.in_zone(zone);
            items.extend(records.map(|(_, record)| Item::Member(record.clone())));
        }
        if ours.marks != theirs.marks {
            items.extend(self.marks.iter(now).map(Item::Mark));
        }
        items.extend(self.terms());
        if ours.notes != theirs.notes {
            items.extend(self.notes.iter(now).map(Item::Note));
        }
        self.send_all(to, &items, out);
    }

    /// Removes expired state.
    pub(super) fn expire_state(&mut self, now: Instant) {
        let old: Vec<key::Entry> = self
            .departed
            .iter()
            .filter(|(_, since)| now.since(**since) >= Self::DEPARTED_RETENTION)
            .map(|(key, _)| *key)
            .collect();
        for key in old {
            self.departed.remove(&key);
            self.members.remove(key);
        }
        self.departed.retain(|key, _| self.members.get(*key).is_some());
        self.suspects.retain(|key, _| self.members.get(*key).is_some());
        let directory = &self.directory;
        self.marks.expire(now, |endpoint| {
            directory.get(&endpoint.vm).is_some_and(|known| known.id == *endpoint)
        });
        self.notes.expire(now);
        let zone_tags = self.zone_tags();
        self.usage.retain_entries(|entry| zone_tags.contains(&entry));
        let silence = self.settings.zone_silence_timeout;
        let lost: Vec<tag::Short> = self
            .zones
            .iter()
            .filter(|(zone, view)| **zone != self.me.zone && now.since(view.last_update) >= silence)
            .map(|(zone, _)| tag::Short::of(zone))
            .collect();
        self.usage.retain_zones(|zone| !lost.contains(&zone));
        self.summaries.retain(|(zone, _), _| !lost.contains(zone));
        self.loads.retain(|tag, _| directory.find_by_tag(*tag).is_some());
        for view in self.zones.values_mut() {
            view.expire(now, silence);
        }
    }
}
