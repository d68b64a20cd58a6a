//! Handling of frames from other entries.

use core::net::SocketAddr;
use core::time::Duration;

use bergamotshift_core::clock::Instant;
use bergamotshift_core::key;

use super::Action;
use super::Kernel;
use super::Sample;
use super::Transport;
use super::update::Origin;
use crate::gossip;
use crate::load;
use crate::tag;
use crate::wire;
use crate::wire::Item;
use crate::zone;

/// Contents of a received probe.
struct Ping {
    sequence: u32,
    target: tag::Long,
    with_digest: bool,
    /// Items that the requester has just sent and need not receive.
    received: gossip::Received,
}

impl Kernel {
    pub(super) fn receive(&mut self, now: Instant, from: SocketAddr, bytes: &[u8], out: &mut Vec<Action>) {
        let Ok(frame) = wire::Frame::decode(bytes) else {
            // The frame is malformed or of an unsupported version. Neither may stop this entry.
            self.unreadable += 1;
            return;
        };
        let origin = self.origin(&frame);
        let mut digest = None;
        let received: gossip::Received = frame.items.iter().map(|item| (item.key(), item.clone())).collect();
        for item in frame.items {
            match item {
                Item::Digest(theirs) => digest = Some(theirs),
                item => self.apply(now, item, origin, out),
            }
        }
        let sender = self.members.find_by_tag(frame.from);
        let reply_to = sender
            .and_then(|key| self.members.get(key))
            .map_or(from, |record| record.address);
        let with_digest = digest.is_some();
        if let (Some(theirs), Some(sender)) = (&digest, sender) {
            self.reconcile(now, sender, theirs, out);
        }
        match frame.body {
            wire::Body::Ping { sequence, target } => {
                let ping = Ping {
                    sequence,
                    target,
                    with_digest,
                    received,
                };
                self.handle_ping(now, reply_to, sender, &ping, out);
            }
            wire::Body::Ack { sequence, of } => self.handle_ack(now, sequence, of, out),
            wire::Body::Relay { sequence, target } => self.relay_ping(now, reply_to, sequence, target, out),
            wire::Body::UnknownSender => self.send_own_record(from, out),
            wire::Body::Push => {}
        }
        if sender.is_none() && frame.body != wire::Body::UnknownSender {
            let bytes = wire::Writer::new(self.tag, wire::Body::UnknownSender, wire::MAX_DATAGRAM).finish();
            out.push(Action::Send {
                to: from,
                transport: Transport::Datagram,
                bytes,
            });
        }
    }

    /// Returns the origin of a frame's items; for an unknown sender, its own record in the frame is consulted.
    fn origin(&self, frame: &wire::Frame) -> Origin {
        let known = self
            .members
            .find_by_tag(frame.from)
            .and_then(|key| self.members.get(key))
            .map(|record| &record.zone);
        let introduced = frame.items.iter().find_map(|item| match item {
            Item::Member(record) if record.tag() == frame.from => Some(&record.zone),
            _ => None,
        });
        match known.or(introduced) {
            Some(zone) if *zone == self.me.zone => Origin::SameZone,
            // A newcomer from another zone contacts only one entry, so this entry has to spread its items to all zones.
            None => Origin::Local,
            Some(_) if known.is_none() => Origin::Local,
            Some(_) => Origin::OtherZone,
        }
    }

    fn handle_ping(
        &mut self,
        now: Instant,
        to: SocketAddr,
        sender: Option<key::Entry>,
        ping: &Ping,
        out: &mut Vec<Action>,
    ) {
        let body = wire::Body::Ack {
            sequence: ping.sequence,
            of: self.tag,
        };
        // A newcomer gets the whole state separately, members first: items sent with the answer would refer to entries
        // that it does not know yet.
        let bytes = if ping.target == tag::Long::UNKNOWN {
            wire::Writer::new(self.tag, body, wire::MAX_DATAGRAM).finish()
        } else {
            self.frame(now, body, sender, ping.with_digest, &ping.received)
        };
        out.push(Action::Send {
            to,
            transport: Transport::Datagram,
            bytes,
        });
        if ping.target == tag::Long::UNKNOWN {
            self.send_full_state(now, to, out);
        } else if ping.target != self.tag {
            self.send_own_record(to, out);
        }
    }

    /// Sends this entry's own record.
    fn send_own_record(&self, to: SocketAddr, out: &mut Vec<Action>) {
        let items = [Item::Member(self.me.clone())];
        for bytes in self.pack(&items, wire::MAX_DATAGRAM) {
            out.push(Action::Send {
                to,
                transport: Transport::Datagram,
                bytes,
            });
        }
    }

    /// Applies an item and gossips it if it is new.
    pub(super) fn apply(&mut self, now: Instant, item: Item, origin: Origin, out: &mut Vec<Action>) {
        match item {
            Item::Member(record) => self.apply_member(now, record, origin, out),
            Item::Mark(mark) => self.apply_mark(now, mark, origin, out),
            Item::Note(note) => self.apply_note(now, note, origin, out),
            Item::Term(term) => self.apply_term(now, term, origin),
            update => {
                if self.apply_transient(now, &update, origin, out) {
                    self.queue.push(now, update, self.settings.transient_sends);
                } else {
                    self.queue.count_duplicate(&update);
                }
            }
        }
    }

    /// Applies a transient item and returns whether it is new.
    fn apply_transient(&mut self, now: Instant, item: &Item, origin: Origin, out: &mut Vec<Action>) -> bool {
        match item {
            Item::Load(load) => origin != Origin::OtherZone && self.apply_load(now, load, out),
            Item::Usage(usage) => !(origin == Origin::OtherZone && item.is_zone_local()) && self.usage.merge(usage),
            Item::Heartbeat(heartbeat) => self.apply_heartbeat(now, heartbeat),
            Item::Summary(summary) => self.apply_summary(now, *summary),
            _ => false,
        }
    }

    fn apply_load(&mut self, now: Instant, update: &load::Load, out: &mut Vec<Action>) -> bool {
        /// Age difference from which a lower sequence number means that the endpoint restarted its count.
        const SEQUENCE_RESTART_AGE: Duration = Duration::from_secs(10);
        // Ages saturate at this value, so the report could pass for a younger one and circulate forever.
        if update.age_ds == u8::MAX {
            return false;
        }
        self.watches.record_report(now, update.endpoint, update.sequence);
        let age = Duration::from_millis(u64::from(update.age_ds) * 100);
        let at = now - age;
        let known = self.loads.get(&update.endpoint);
        let is_old = |known: &Sample| update.sequence <= known.sequence && at < known.at + SEQUENCE_RESTART_AGE;
        if known.is_some_and(is_old) {
            return false;
        }
        let sample = Sample {
            sequence: update.sequence,
            level: update.level,
            at,
        };
        self.loads.insert(update.endpoint, sample);
        if let Some(known) = self.directory.find_by_tag(update.endpoint) {
            out.push(Action::LoadReceived {
                endpoint: known.id.clone(),
                report: update.level.report(update.sequence),
                age,
            });
        }
        true
    }

    fn apply_heartbeat(&mut self, now: Instant, heartbeat: &zone::Heartbeat) -> bool {
        let view = self
            .zones
            .iter_mut()
            .find(|(zone, _)| tag::Short::of(zone) == heartbeat.zone)
            .map(|(_, view)| view);
        view.is_some_and(|view| view.merge(now, heartbeat))
    }

    fn apply_summary(&mut self, now: Instant, summary: zone::Summary) -> bool {
        let key = (summary.zone, summary.service);
        let known = self.summaries.get(&key);
        if known.is_some_and(|known| !load::is_newer(summary.sequence, known.sequence)) {
            return false;
        }
        self.summaries.insert(key, summary);
        let view = self
            .zones
            .iter_mut()
            .find(|(zone, _)| tag::Short::of(zone) == summary.zone);
        if let Some((_, view)) = view {
            view.last_update = now;
        }
        true
    }
}
