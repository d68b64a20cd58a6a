//! Urgent news: passed on at once instead of with the next probe.

use bergamotshift_core::clock::Instant;
use bergamotshift_core::key;
use rand::seq::SliceRandom;

use super::Action;
use super::Kernel;
use super::Transport;
use crate::endpoint;
use crate::gossip;
use crate::mark;
use crate::member;
use crate::note;
use crate::tag;
use crate::wire;
use crate::wire::Item;

/// Where a piece of news came from, which decides where it still has to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// This entry.
    Own,
    /// Another entry of the zone.
    Near,
    /// Another zone.
    Far,
}

/// News that waits a moment for more of its kind.
#[derive(Clone, Debug)]
pub(super) struct Urgent {
    item: Item,
    origin: Origin,
}

impl Kernel {
    /// Sets a leaving mark from this entry's own knowledge.
    pub(super) fn mark(
        &mut self,
        now: Instant,
        endpoint: endpoint::Id,
        source: mark::Source,
        notice_ms: Option<u32>,
        out: &mut Vec<Action>,
    ) {
        let mark = mark::Mark {
            endpoint,
            source,
            notice_ms,
            age_s: 0,
        };
        self.learn_mark(now, mark, Origin::Own, out);
    }

    pub(super) fn learn_mark(&mut self, now: Instant, mark: mark::Mark, origin: Origin, out: &mut Vec<Action>) {
        if !self.marks.insert(now, mark.clone()) {
            return;
        }
        out.push(Action::Marked(mark.clone()));
        self.hurry(now, Item::Mark(mark), origin);
    }

    /// Spreads news of another part of this entry.
    pub(super) fn announce(&mut self, now: Instant, topic: note::Topic, key: u128, version: u64, body: Vec<u8>) {
        let note = note::Note {
            topic,
            key,
            version,
            age_s: 0,
            origin: self.tag,
            body,
        };
        if self.notes.insert(now, &note) {
            self.hurry(now, Item::Note(note), Origin::Own);
        }
    }

    pub(super) fn learn_note(&mut self, now: Instant, note: note::Note, origin: Origin, out: &mut Vec<Action>) {
        if !self.notes.insert(now, &note) {
            return;
        }
        let teller = self.members.tagged(note.origin).and_then(|key| self.members.get(key));
        let origin_name = teller.map(|record| record.name.clone());
        if origin_name.is_none() && self.untold.len() < note::Table::CAPACITY {
            self.untold.insert(note.origin);
        }
        out.push(Action::NoteReceived {
            origin: origin_name,
            note: note.clone(),
        });
        self.hurry(now, Item::Note(note), origin);
    }

    /// Says goodbye to some of the zone and to speakers of every other zone.
    ///
    /// Failure: a whole zone leaves at once. Symptom: each entry tells neighbours that are about to go as well, and the
    /// other zones never hear. So a goodbye does not rely on the own zone's speakers.
    pub(super) fn leave(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.flush(out);
        let mut receivers = self.near_peers();
        receivers.shuffle(&mut self.random);
        receivers.truncate(self.settings.fanout);
        receivers.extend(self.some_speakers_of_each_zone());
        self.me.state = member::State::Left;
        self.members.merge(self.me.clone());
        let goodbye = Item::Member(self.me.clone());
        self.queue.push(now, goodbye.clone(), self.settings.sends_lasting);
        self.tell(&receivers, &[goodbye], out);
    }

    /// Records and announces what this entry thinks of another.
    pub(super) fn originate_member(&mut self, now: Instant, record: member::Record, out: &mut Vec<Action>) {
        self.learn_member(now, record, Origin::Own, out);
    }

    pub(super) fn learn_member(&mut self, now: Instant, record: member::Record, origin: Origin, out: &mut Vec<Action>) {
        if record.name == self.me.name {
            self.learn_of_self(now, &record, out);
            return;
        }
        let is_known = self.members.find(&record.name).is_some();
        if !is_known && !record.is_live() {
            return;
        }
        let Some(key) = self.members.merge(record.clone()) else {
            return;
        };
        match record.state {
            member::State::Suspect => {
                self.suspects.entry(key).or_insert(now + self.settings.suspicion);
                self.gone.remove(&key);
            }
            member::State::Alive => {
                self.suspects.remove(&key);
                self.gone.remove(&key);
            }
            member::State::Dead | member::State::Left => {
                self.suspects.remove(&key);
                self.gone.insert(key, now);
            }
        }
        self.zones
            .entry(record.zone.clone())
            .or_insert_with(|| crate::zone::View::new(now));
        out.push(Action::MemberChanged(record.clone()));
        if self.untold.remove(&record.tag()) {
            self.name_teller(now, &record, out);
        }
        self.hurry(now, Item::Member(record), origin);
    }

    /// Tells once more what a member noted before it was known: the same note is no news any more when it comes again.
    fn name_teller(&self, now: Instant, record: &member::Record, out: &mut Vec<Action>) {
        let tag = record.tag();
        let noted = self.notes.iter(now).filter(|note| note.origin == tag);
        out.extend(noted.map(|note| Action::NoteReceived {
            origin: Some(record.name.clone()),
            note,
        }));
    }

    /// Refutes what others wrongly think of this entry.
    fn learn_of_self(&mut self, now: Instant, record: &member::Record, out: &mut Vec<Action>) {
        if record.incarnation > self.me.incarnation {
            out.push(Action::Superseded);
            return;
        }
        let is_wrong = record.incarnation == self.me.incarnation
            && record.state != member::State::Alive
            && self.me.state == member::State::Alive
            && record.version >= self.me.version;
        if !is_wrong {
            return;
        }
        self.me.version = record.version + 1;
        self.members.merge(self.me.clone());
        self.hurry(now, Item::Member(self.me.clone()), Origin::Own);
    }

    /// Queues news to be passed on within [`Settings::coalesce`](crate::settings::Settings::coalesce).
    pub(super) fn hurry(&mut self, now: Instant, item: Item, origin: Origin) {
        self.queue.push(now, item.clone(), self.settings.sends_lasting);
        self.urgent.push(Urgent { item, origin });
        let at = now + self.settings.coalesce;
        self.schedule.flush.get_or_insert(at);
    }

    /// Passes urgent news on: to random members of the zone, and between zones through the speakers.
    pub(super) fn flush(&mut self, out: &mut Vec<Action>) {
        self.schedule.flush = None;
        self.refresh_speakers();
        let urgent = core::mem::take(&mut self.urgent);
        let is_own = urgent.iter().any(|news| news.origin == Origin::Own);

        let mut near = self.near_peers();
        near.shuffle(&mut self.random);
        near.truncate(self.settings.fanout);
        if is_own {
            near.extend(self.own_speakers());
            near.sort_unstable();
            near.dedup();
            near.retain(|key| self.members.get(*key).is_some_and(|record| record.name != self.me.name));
        }
        let items: Vec<Item> = urgent.iter().map(|news| news.item.clone()).collect();
        self.tell(&near, &items, out);

        let far = self.far_partners();
        let items: Vec<Item> = urgent
            .into_iter()
            .filter(|news| news.origin != Origin::Far && !news.item.is_local())
            .map(|news| news.item)
            .collect();
        self.tell(&far, &items, out);
    }

    /// Sends items in as few datagrams as they fit in.
    fn tell(&self, receivers: &[key::Entry], items: &[Item], out: &mut Vec<Action>) {
        if receivers.is_empty() || items.is_empty() {
            return;
        }
        for bytes in self.pack(items, wire::MAX_DATAGRAM) {
            for key in receivers {
                let Some(record) = self.members.get(*key) else { continue };
                out.push(Action::Send {
                    to: record.address,
                    transport: Transport::Datagram,
                    bytes: bytes.clone(),
                });
            }
        }
    }

    /// Packs items into frames of at most `limit` bytes.
    pub(super) fn pack(&self, items: &[Item], limit: usize) -> Vec<Vec<u8>> {
        let mut frames = Vec::new();
        let mut writer = wire::Writer::new(self.tag, wire::Body::Push, limit);
        for item in items {
            if writer.push(item) {
                continue;
            }
            if !writer.is_empty() {
                frames.push(writer.finish());
            }
            writer = wire::Writer::new(self.tag, wire::Body::Push, limit);
            // A single item larger than a frame cannot come from `Item`'s own bounds; it is left out.
            writer.push(item);
        }
        if !writer.is_empty() {
            frames.push(writer.finish());
        }
        frames
    }

    /// Builds a frame with as much news as the budget allows.
    pub(super) fn frame(
        &mut self,
        now: Instant,
        body: wire::Body,
        to: Option<key::Entry>,
        with_digest: bool,
        told_by_it: &gossip::Told,
    ) -> Vec<u8> {
        let receiver = to.and_then(|key| self.members.get(key));
        let is_far = receiver.is_none_or(|record| record.zone != self.me.zone);
        let budget = if is_far {
            self.settings.budget_far
        } else {
            self.settings.budget
        };
        let mut writer = wire::Writer::new(self.tag, body, budget);
        // Whoever is thought to be gone is told so first, and can refute it.
        if let Some(record) = receiver
            && record.state != member::State::Alive
        {
            writer.push(&Item::Member(record.clone()));
        }
        if with_digest {
            writer.push(&Item::Digest(self.digest()));
        }
        self.queue.fill(now, &mut writer, is_far, told_by_it);
        writer.finish()
    }

    /// Returns the tag by which others know this entry.
    pub const fn tag(&self) -> tag::Long {
        self.tag
    }
}
