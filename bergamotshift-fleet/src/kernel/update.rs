//! Urgent updates: sent at once instead of with the next probe.

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

/// Origin of an update; decides where it is forwarded to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// This entry, or a newcomer of another zone or of an unknown one, which has contacted only this entry.
    Local,
    /// Another entry of the own zone.
    SameZone,
    /// Another zone.
    OtherZone,
}

/// Update that is held back briefly, so that several go in one datagram.
#[derive(Clone, Debug)]
pub(super) struct Update {
    item: Item,
    origin: Origin,
}

impl Kernel {
    /// Marks an endpoint as leaving on this entry's own information.
    pub(super) fn mark_leaving(
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
        self.apply_mark(now, mark, Origin::Local, out);
    }

    pub(super) fn apply_mark(&mut self, now: Instant, mark: mark::Mark, origin: Origin, out: &mut Vec<Action>) {
        if !self.marks.insert(now, mark.clone()) {
            return;
        }
        out.push(Action::Marked(mark.clone()));
        self.queue_urgent(now, Item::Mark(mark), origin);
    }

    /// Publishes a note of another module of this entry.
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
            self.queue_urgent(now, Item::Note(note), Origin::Local);
        }
    }

    pub(super) fn apply_note(&mut self, now: Instant, note: note::Note, origin: Origin, out: &mut Vec<Action>) {
        if !self.notes.insert(now, &note) {
            return;
        }
        let origin_record = self
            .members
            .find_by_tag(note.origin)
            .and_then(|key| self.members.get(key));
        let origin_name = origin_record.map(|record| record.name.clone());
        if origin_name.is_none() && self.unresolved_origins.len() < note::Table::CAPACITY {
            self.unresolved_origins.insert(note.origin);
        }
        out.push(Action::NoteReceived {
            origin: origin_name,
            note: note.clone(),
        });
        self.queue_urgent(now, Item::Note(note), origin);
    }

    /// Announces that this entry leaves, to some members of its zone and to speakers of every other zone.
    ///
    /// When a whole zone leaves at once, each entry's neighbours are leaving too, and the other zones would never
    /// receive the announcement. It therefore does not rely on the speakers of the own zone.
    pub(super) fn leave(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.flush_urgent(out);
        let mut receivers = self.zone_peers();
        receivers.shuffle(&mut self.random);
        receivers.truncate(self.settings.fanout);
        receivers.extend(self.some_remote_speakers());
        self.me.state = member::State::Left;
        self.members.merge(self.me.clone());
        let announcement = Item::Member(self.me.clone());
        self.queue
            .push(now, announcement.clone(), self.settings.persistent_sends);
        self.send_items(&receivers, &[announcement], out);
    }

    /// Applies and gossips this entry's own finding about another member.
    pub(super) fn announce_member(&mut self, now: Instant, record: member::Record, out: &mut Vec<Action>) {
        self.apply_member(now, record, Origin::Local, out);
    }

    pub(super) fn apply_member(&mut self, now: Instant, record: member::Record, origin: Origin, out: &mut Vec<Action>) {
        if record.name == self.me.name {
            self.handle_own_record(now, &record, out);
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
                self.suspects
                    .entry(key)
                    .or_insert(now + self.settings.suspicion_timeout);
                self.departed.remove(&key);
            }
            member::State::Alive => {
                self.suspects.remove(&key);
                self.departed.remove(&key);
            }
            member::State::Dead | member::State::Left => {
                self.suspects.remove(&key);
                self.departed.insert(key, now);
            }
        }
        self.zones
            .entry(record.zone.clone())
            .or_insert_with(|| crate::zone::View::new(now));
        out.push(Action::MemberChanged(record.clone()));
        if self.unresolved_origins.remove(&record.tag()) {
            self.report_notes_of(now, &record, out);
        }
        self.queue_urgent(now, Item::Member(record), origin);
    }

    /// Reports notes again whose origin was not a known member when they arrived. The note itself is not new when it
    /// arrives again, so it would not be reported a second time.
    fn report_notes_of(&self, now: Instant, record: &member::Record, out: &mut Vec<Action>) {
        let tag = record.tag();
        let notes = self.notes.iter(now).filter(|note| note.origin == tag);
        out.extend(notes.map(|note| Action::NoteReceived {
            origin: Some(record.name.clone()),
            note,
        }));
    }

    /// Handles a record about this entry: refutes it if it wrongly says that this incarnation is suspect, dead or left,
    /// and reports a later incarnation.
    fn handle_own_record(&mut self, now: Instant, record: &member::Record, out: &mut Vec<Action>) {
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
        self.queue_urgent(now, Item::Member(self.me.clone()), Origin::Local);
    }

    /// Queues an update to be sent within [`Settings::coalesce_delay`](crate::settings::Settings::coalesce_delay).
    pub(super) fn queue_urgent(&mut self, now: Instant, item: Item, origin: Origin) {
        self.queue.push(now, item.clone(), self.settings.persistent_sends);
        self.urgent.push(Update { item, origin });
        let at = now + self.settings.coalesce_delay;
        self.schedule.flush.get_or_insert(at);
    }

    /// Sends urgent updates to random members of the zone, and through the speakers to other zones.
    pub(super) fn flush_urgent(&mut self, out: &mut Vec<Action>) {
        self.schedule.flush = None;
        self.refresh_speakers();
        let urgent = core::mem::take(&mut self.urgent);
        let is_own = urgent.iter().any(|update| update.origin == Origin::Local);

        let mut receivers = self.zone_peers();
        receivers.shuffle(&mut self.random);
        receivers.truncate(self.settings.fanout);
        if is_own {
            receivers.extend(self.own_speakers());
            receivers.sort_unstable();
            receivers.dedup();
            receivers.retain(|key| self.members.get(*key).is_some_and(|record| record.name != self.me.name));
        }
        let items: Vec<Item> = urgent.iter().map(|update| update.item.clone()).collect();
        self.send_items(&receivers, &items, out);

        let remote = self.partner_speakers();
        let items: Vec<Item> = urgent
            .into_iter()
            .filter(|update| update.origin != Origin::OtherZone && !update.item.is_zone_local())
            .map(|update| update.item)
            .collect();
        self.send_items(&remote, &items, out);
    }

    /// Sends items in as few datagrams as possible.
    fn send_items(&self, receivers: &[key::Entry], items: &[Item], out: &mut Vec<Action>) {
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
            // An item larger than a frame is left out; the size limits of the items rule that out.
            writer.push(item);
        }
        if !writer.is_empty() {
            frames.push(writer.finish());
        }
        frames
    }

    /// Builds a frame with as many updates as its size limit allows.
    pub(super) fn frame(
        &mut self,
        now: Instant,
        body: wire::Body,
        to: Option<key::Entry>,
        with_digest: bool,
        from_peer: &gossip::Received,
    ) -> Vec<u8> {
        let receiver = to.and_then(|key| self.members.get(key));
        let is_cross_zone = receiver.is_none_or(|record| record.zone != self.me.zone);
        let limit = if is_cross_zone {
            self.settings.max_cross_zone_probe_bytes
        } else {
            self.settings.max_probe_bytes
        };
        let mut writer = wire::Writer::new(self.tag, body, limit);
        // A receiver that is not alive in this entry's view gets that record first, so that it can refute it.
        if let Some(record) = receiver
            && record.state != member::State::Alive
        {
            writer.push(&Item::Member(record.clone()));
        }
        if with_digest {
            writer.push(&Item::Digest(self.digest()));
        }
        self.queue.fill(now, &mut writer, is_cross_zone, from_peer);
        writer.finish()
    }

    /// Returns the tag by which other entries refer to this one.
    pub const fn tag(&self) -> tag::Long {
        self.tag
    }
}
