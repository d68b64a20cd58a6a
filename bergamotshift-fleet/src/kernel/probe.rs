//! Failure detection: probes, indirect probes, suspicion.

use core::net::SocketAddr;
use core::time::Duration;

use bergamotshift_core::clock::Instant;
use bergamotshift_core::key;
use bergamotshift_core::name;
use rand::RngExt;
use rand::seq::SliceRandom;

use super::Action;
use super::Kernel;
use super::Transport;
use crate::gossip;
use crate::member;
use crate::tag;
use crate::wire;

/// What a probe is for.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// Whether a member of the own zone lives.
    Member,
    /// Whether another zone answers.
    Zone(name::Zone),
    /// Whether a member that was given up is back.
    Reconnect,
}

/// A probe that was not answered yet.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) target: key::Entry,
    pub(super) tag: tag::Long,
    pub(super) purpose: Purpose,
    pub(super) is_retried: bool,
    pub(super) next: Instant,
}

/// A probe made for another member.
#[derive(Clone, Copy, Debug)]
pub(super) struct Relayed {
    pub(super) asker: SocketAddr,
    pub(super) sequence: u32,
    pub(super) until: Instant,
}

impl Kernel {
    /// Probes the next member of the own zone, each once per round in a random order.
    pub(super) fn probe_next(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.me.state == member::State::Left {
            return;
        }
        let Some(target) = self.next_in_ring() else { return };
        self.pings = self.pings.wrapping_add(1);
        let with_digest = self.pings.is_multiple_of(self.settings.digest_every);
        self.start_probe(now, target, Purpose::Member, with_digest, out);
    }

    fn next_in_ring(&mut self) -> Option<key::Entry> {
        for _ in 0..2 {
            while let Some(target) = self.ring.pop() {
                if self.members.get(target).is_some_and(member::Record::is_live) {
                    return Some(target);
                }
            }
            self.ring = self.near_peers();
            self.ring.shuffle(&mut self.random);
        }
        None
    }

    /// Returns the live members of the own zone but this one.
    pub(super) fn near_peers(&self) -> Vec<key::Entry> {
        self.members
            .live_in(&self.me.zone)
            .filter(|(_, record)| record.name != self.me.name)
            .map(|(key, _)| key)
            .collect()
    }

    /// Sends a probe and remembers it.
    pub(super) fn start_probe(
        &mut self,
        now: Instant,
        target: key::Entry,
        purpose: Purpose,
        with_digest: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(record) = self.members.get(target) else { return };
        let (tag, to) = (record.tag(), record.address);
        self.sequence = self.sequence.wrapping_add(1);
        let sequence = self.sequence;
        let body = wire::Body::Ping { sequence, target: tag };
        let bytes = self.frame(now, body, Some(target), with_digest, &gossip::Told::new());
        out.push(Action::Send {
            to,
            transport: Transport::Datagram,
            bytes,
        });
        let probe = Probe {
            target,
            tag,
            purpose,
            is_retried: false,
            next: now + self.settings.probe_retry_delay,
        };
        self.probes.insert(sequence, probe);
    }

    /// Repeats probes that were not answered and draws the conclusion from those that stay so.
    pub(super) fn advance_probes(&mut self, now: Instant, out: &mut Vec<Action>) {
        let due: Vec<u32> = self
            .probes
            .iter()
            .filter(|(_, probe)| now >= probe.next)
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in due {
            let Some(probe) = self.probes.get_mut(&sequence) else {
                continue;
            };
            if probe.is_retried {
                let probe = probe.clone();
                self.probes.remove(&sequence);
                self.unanswered(now, &probe, out);
                continue;
            }
            probe.is_retried = true;
            probe.next = now
                + self
                    .settings
                    .probe_interval
                    .saturating_sub(self.settings.probe_retry_delay);
            let probe = probe.clone();
            self.retry(sequence, &probe, out);
        }
    }

    /// Probes again, directly and through others: one lost datagram or one broken path is no failure.
    fn retry(&mut self, sequence: u32, probe: &Probe, out: &mut Vec<Action>) {
        let target = probe.tag;
        self.send_bare(wire::Body::Ping { sequence, target }, probe.target, out);
        if !matches!(probe.purpose, Purpose::Member) {
            return;
        }
        let mut helpers = self.near_peers();
        helpers.retain(|helper| *helper != probe.target);
        helpers.shuffle(&mut self.random);
        if helpers.len() < self.settings.relays {
            helpers.extend(self.far_speakers());
        }
        helpers.truncate(self.settings.relays);
        for helper in helpers {
            self.send_bare(wire::Body::Relay { sequence, target }, helper, out);
        }
    }

    /// Sends a frame without news.
    pub(super) fn send_bare(&self, body: wire::Body, to: key::Entry, out: &mut Vec<Action>) {
        let Some(record) = self.members.get(to) else { return };
        out.push(Action::Send {
            to: record.address,
            transport: Transport::Datagram,
            bytes: wire::Writer::new(self.tag, body, wire::MAX_DATAGRAM).finish(),
        });
    }

    fn unanswered(&mut self, now: Instant, probe: &Probe, out: &mut Vec<Action>) {
        match &probe.purpose {
            Purpose::Member => self.suspect(now, probe.target, out),
            Purpose::Zone(zone) => {
                if let Some(view) = self.zones.get_mut(zone) {
                    view.failures = view.failures.saturating_add(1);
                }
            }
            Purpose::Reconnect => {}
        }
    }

    /// Tells the zone of a suspicion, and the suspect before all others, so that it can refute in time.
    fn suspect(&mut self, now: Instant, target: key::Entry, out: &mut Vec<Action>) {
        let Some(record) = self.members.get(target) else { return };
        if record.state != member::State::Alive {
            return;
        }
        let record = member::Record {
            state: member::State::Suspect,
            ..record.clone()
        };
        self.originate_member(now, record, out);
        let body = wire::Body::Push;
        let bytes = self.frame(now, body, Some(target), false, &gossip::Told::new());
        if let Some(record) = self.members.get(target) {
            out.push(Action::Send {
                to: record.address,
                transport: Transport::Datagram,
                bytes,
            });
        }
    }

    /// Declares suspects dead that refuted nothing in time.
    pub(super) fn expire_suspects(&mut self, now: Instant, out: &mut Vec<Action>) {
        let due: Vec<key::Entry> = self
            .suspects
            .iter()
            .filter(|(_, deadline)| now >= **deadline)
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            self.suspects.remove(&key);
            self.declare_dead(now, key, out);
        }
    }

    pub(super) fn declare_dead(&mut self, now: Instant, key: key::Entry, out: &mut Vec<Action>) {
        let Some(record) = self.members.get(key) else { return };
        if !record.is_live() {
            return;
        }
        let record = member::Record {
            state: member::State::Dead,
            ..record.clone()
        };
        self.originate_member(now, record, out);
    }

    /// Probes one member that was given up: two halves of a healed zone have to find each other again.
    pub(super) fn reconnect(&mut self, now: Instant, out: &mut Vec<Action>) {
        let dead: Vec<key::Entry> = self
            .gone
            .keys()
            .copied()
            .filter(|key| {
                self.members
                    .get(*key)
                    .is_some_and(|record| record.state == member::State::Dead)
            })
            .collect();
        if dead.is_empty() {
            return;
        }
        let target = dead[self.random.random_range(0..dead.len())];
        self.start_probe(now, target, Purpose::Reconnect, false, out);
    }

    /// Takes an answer to a probe in.
    pub(super) fn answered(&mut self, now: Instant, sequence: u32, of: tag::Long, out: &mut Vec<Action>) {
        if let Some(relayed) = self.relayed.remove(&sequence) {
            let body = wire::Body::Ack {
                sequence: relayed.sequence,
                of,
            };
            let bytes = wire::Writer::new(self.tag, body, wire::MAX_DATAGRAM).finish();
            out.push(Action::Send {
                to: relayed.asker,
                transport: Transport::Datagram,
                bytes,
            });
            return;
        }
        let Some(probe) = self.probes.remove(&sequence) else {
            return;
        };
        if probe.tag != of {
            // Another life answers at the address: the one that was probed is gone, whatever its suspicion timer says.
            self.declare_dead(now, probe.target, out);
        }
        if let Purpose::Zone(zone) = &probe.purpose
            && let Some(view) = self.zones.get_mut(zone)
        {
            view.contact = Some(now);
            view.failures = 0;
        }
    }

    /// Probes a member for another one.
    pub(super) fn relay(
        &mut self,
        now: Instant,
        asker: SocketAddr,
        sequence: u32,
        target: tag::Long,
        out: &mut Vec<Action>,
    ) {
        /// A member asked to relay that often at once is under attack or confused.
        const MOST: usize = 256;
        let Some(key) = self.members.tagged(target) else { return };
        self.relayed.retain(|_, relayed| now < relayed.until);
        if self.relayed.len() >= MOST {
            return;
        }
        self.sequence = self.sequence.wrapping_add(1);
        let relayed = Relayed {
            asker,
            sequence,
            until: now + self.settings.probe_interval + Duration::from_secs(1),
        };
        self.relayed.insert(self.sequence, relayed);
        let body = wire::Body::Ping {
            sequence: self.sequence,
            target,
        };
        self.send_bare(body, key, out);
    }
}
