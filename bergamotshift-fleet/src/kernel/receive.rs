//! Frames from other entries.

use core::net::SocketAddr;
use core::time::Duration;

use bergamotshift_core::clock::Instant;
use bergamotshift_core::key;

use super::Action;
use super::Heard;
use super::Kernel;
use super::Transport;
use super::news::Origin;
use crate::gossip;
use crate::load;
use crate::tag;
use crate::wire;
use crate::wire::Item;
use crate::zone;

/// What a probe asks for.
struct Ping {
    sequence: u32,
    target: tag::Long,
    with_digest: bool,
    /// News that the asker just told and need not hear.
    told: gossip::Told,
}

impl Kernel {
    pub(super) fn receive(&mut self, now: Instant, from: SocketAddr, bytes: &[u8], out: &mut Vec<Action>) {
        let Ok(frame) = wire::Frame::decode(bytes) else {
            // Another version's frame, or damage: neither may stop this entry.
            self.unreadable += 1;
            return;
        };
        let origin = self.origin(&frame);
        let mut digest = None;
        let told: gossip::Told = frame.items.iter().map(|item| (item.key(), item.clone())).collect();
        for item in frame.items {
            match item {
                Item::Digest(theirs) => digest = Some(theirs),
                item => self.learn(now, item, origin, out),
            }
        }
        let sender = self.members.tagged(frame.from);
        let reply_to = sender
            .and_then(|key| self.members.get(key))
            .map_or(from, |record| record.address);
        let is_answer_due = digest.is_some();
        if let (Some(theirs), Some(sender)) = (&digest, sender) {
            self.reconcile(now, sender, theirs, out);
        }
        match frame.body {
            wire::Body::Ping { sequence, target } => {
                let ping = Ping {
                    sequence,
                    target,
                    with_digest: is_answer_due,
                    told,
                };
                self.pinged(now, reply_to, sender, &ping, out);
            }
            wire::Body::Ack { sequence, of } => self.answered(now, sequence, of, out),
            wire::Body::Relay { sequence, target } => self.relay(now, reply_to, sequence, target, out),
            wire::Body::Stranger => self.introduce(from, out),
            wire::Body::Push => {}
        }
        if sender.is_none() && frame.body != wire::Body::Stranger {
            let bytes = wire::Writer::new(self.tag, wire::Body::Stranger, wire::MAX_DATAGRAM).finish();
            out.push(Action::Send {
                to: from,
                transport: Transport::Datagram,
                bytes,
            });
        }
    }

    /// Returns where a frame's news comes from; a newcomer's own record in it may tell.
    fn origin(&self, frame: &wire::Frame) -> Origin {
        let known = self
            .members
            .tagged(frame.from)
            .and_then(|key| self.members.get(key))
            .map(|record| &record.zone);
        let introduced = frame.items.iter().find_map(|item| match item {
            Item::Member(record) if record.tag() == frame.from => Some(&record.zone),
            _ => None,
        });
        match known.or(introduced) {
            Some(zone) if *zone == self.me.zone => Origin::Near,
            // A newcomer of another zone tells one entry: it is this entry's to spread to all zones.
            None => Origin::Own,
            Some(_) if known.is_none() => Origin::Own,
            Some(_) => Origin::Far,
        }
    }

    fn pinged(&mut self, now: Instant, to: SocketAddr, sender: Option<key::Entry>, ping: &Ping, out: &mut Vec<Action>) {
        let body = wire::Body::Ack {
            sequence: ping.sequence,
            of: self.tag,
        };
        // A newcomer is told all in one frame, members first: news that came before would name entries unknown to it.
        let bytes = if ping.target == tag::Long::UNKNOWN {
            wire::Writer::new(self.tag, body, wire::MAX_DATAGRAM).finish()
        } else {
            self.frame(now, body, sender, ping.with_digest, &ping.told)
        };
        out.push(Action::Send {
            to,
            transport: Transport::Datagram,
            bytes,
        });
        if ping.target == tag::Long::UNKNOWN {
            self.welcome(now, to, out);
        } else if ping.target != self.tag {
            self.introduce(to, out);
        }
    }

    /// Sends this entry's own record.
    fn introduce(&self, to: SocketAddr, out: &mut Vec<Action>) {
        let items = [Item::Member(self.me.clone())];
        for bytes in self.pack(&items, wire::MAX_DATAGRAM) {
            out.push(Action::Send {
                to,
                transport: Transport::Datagram,
                bytes,
            });
        }
    }

    /// Takes one piece of news in and passes it on when it is new.
    pub(super) fn learn(&mut self, now: Instant, item: Item, origin: Origin, out: &mut Vec<Action>) {
        match item {
            Item::Member(record) => self.learn_member(now, record, origin, out),
            Item::Mark(mark) => self.learn_mark(now, mark, origin, out),
            Item::Note(note) => self.learn_note(now, note, origin, out),
            Item::Term(term) => self.learn_term(now, term, origin),
            passing => {
                if self.learn_passing(now, &passing, origin, out) {
                    self.queue.push(now, passing, self.settings.sends_passing);
                } else {
                    self.queue.heard_again(&passing);
                }
            }
        }
    }

    /// Takes a passing figure in and returns whether it is news.
    fn learn_passing(&mut self, now: Instant, item: &Item, origin: Origin, out: &mut Vec<Action>) -> bool {
        match item {
            Item::Load(load) => origin != Origin::Far && self.learn_load(now, load, out),
            Item::Use(usage) => !(origin == Origin::Far && item.is_local()) && self.usage.merge(usage),
            Item::Beat(beat) => self.learn_beat(now, beat),
            Item::Summary(summary) => self.learn_summary(now, *summary),
            _ => false,
        }
    }

    fn learn_load(&mut self, now: Instant, news: &load::Load, out: &mut Vec<Action>) -> bool {
        /// A lower sequence in a report made this much later is a count that began anew.
        const RESTART: Duration = Duration::from_secs(10);
        // Ages end at this, so such a report could pass for a younger one from then on and travel for ever.
        if news.age_ds == u8::MAX {
            return false;
        }
        self.watches.set_heard(now, news.endpoint, news.sequence);
        let age = Duration::from_millis(u64::from(news.age_ds) * 100);
        let at = now - age;
        let known = self.loads.get(&news.endpoint);
        let is_old = |known: &Heard| news.sequence <= known.sequence && at < known.at + RESTART;
        if known.is_some_and(is_old) {
            return false;
        }
        let heard = Heard {
            sequence: news.sequence,
            level: news.level,
            at,
        };
        self.loads.insert(news.endpoint, heard);
        if let Some(known) = self.directory.tagged(news.endpoint) {
            out.push(Action::LoadReceived {
                endpoint: known.id.clone(),
                report: news.level.report(news.sequence),
                age,
            });
        }
        true
    }

    fn learn_beat(&mut self, now: Instant, beat: &zone::Beat) -> bool {
        let view = self
            .zones
            .iter_mut()
            .find(|(zone, _)| tag::Short::of(zone) == beat.zone)
            .map(|(_, view)| view);
        view.is_some_and(|view| view.merge(now, beat))
    }

    fn learn_summary(&mut self, now: Instant, summary: zone::Summary) -> bool {
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
            view.news = now;
        }
        true
    }
}
