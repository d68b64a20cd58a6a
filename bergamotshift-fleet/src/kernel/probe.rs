//! Failure detection by probes, indirect probes and suspicion.

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

/// Purpose of a probe.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// Checks whether a member of the own zone is alive.
    Member,
    /// Checks whether another zone answers.
    Zone(name::Zone),
    /// Checks whether a member that was declared dead is back.
    Reconnect,
}

/// Probe that has not been answered yet.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) target: key::Entry,
    pub(super) tag: tag::Long,
    pub(super) purpose: Purpose,
    pub(super) is_retried: bool,
    pub(super) deadline: Instant,
}

/// Probe made on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub(super) struct Relayed {
    pub(super) requester: SocketAddr,
    pub(super) sequence: u32,
    pub(super) expires_at: Instant,
}

impl Kernel {
    /// Probes the next member of the own zone; each is probed once per round, in random order.
    pub(super) fn probe_next(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.me.state == member::State::Left {
            return;
        }
        let Some(target) = self.next_probe_target() else { return };
        self.probe_count = self.probe_count.wrapping_add(1);
        let with_digest = self.probe_count.is_multiple_of(self.settings.probes_per_digest);
        self.start_probe(now, target, Purpose::Member, with_digest, out);
    }

    fn next_probe_target(&mut self) -> Option<key::Entry> {
        for _ in 0..2 {
            while let Some(target) = self.probe_queue.pop() {
                if self.members.get(target).is_some_and(member::Record::is_live) {
                    return Some(target);
                }
            }
            self.probe_queue = self.zone_peers();
            self.probe_queue.shuffle(&mut self.random);
        }
        None
    }

    /// Returns the live members of the own zone except this entry.
    pub(super) fn zone_peers(&self) -> Vec<key::Entry> {
        self.members
            .live_in(&self.me.zone)
            .filter(|(_, record)| record.name != self.me.name)
            .map(|(key, _)| key)
            .collect()
    }

    /// Sends a probe and records it.
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
        let bytes = self.frame(now, body, Some(target), with_digest, &gossip::Received::new());
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
            deadline: now + self.settings.probe_retry_delay,
        };
        self.probes.insert(sequence, probe);
    }

    /// Retries probes that were not answered in time, and handles those whose retry failed too.
    pub(super) fn advance_probes(&mut self, now: Instant, out: &mut Vec<Action>) {
        let due: Vec<u32> = self
            .probes
            .iter()
            .filter(|(_, probe)| now >= probe.deadline)
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in due {
            let Some(probe) = self.probes.get_mut(&sequence) else {
                continue;
            };
            if probe.is_retried {
                let probe = probe.clone();
                self.probes.remove(&sequence);
                self.handle_failed_probe(now, &probe, out);
                continue;
            }
            probe.is_retried = true;
            probe.deadline = now
                + self
                    .settings
                    .probe_interval
                    .saturating_sub(self.settings.probe_retry_delay);
            let probe = probe.clone();
            self.retry(sequence, &probe, out);
        }
    }

    /// Probes again, directly and through other members: one lost datagram or one broken path is not a failure.
    fn retry(&mut self, sequence: u32, probe: &Probe, out: &mut Vec<Action>) {
        let target = probe.tag;
        self.send_bare(wire::Body::Ping { sequence, target }, probe.target, out);
        if !matches!(probe.purpose, Purpose::Member) {
            return;
        }
        let mut relays = self.zone_peers();
        relays.retain(|relay| *relay != probe.target);
        relays.shuffle(&mut self.random);
        if relays.len() < self.settings.indirect_probes {
            relays.extend(self.remote_speakers());
        }
        relays.truncate(self.settings.indirect_probes);
        for relay in relays {
            self.send_bare(wire::Body::Relay { sequence, target }, relay, out);
        }
    }

    /// Sends a frame without items.
    pub(super) fn send_bare(&self, body: wire::Body, to: key::Entry, out: &mut Vec<Action>) {
        let Some(record) = self.members.get(to) else { return };
        out.push(Action::Send {
            to: record.address,
            transport: Transport::Datagram,
            bytes: wire::Writer::new(self.tag, body, wire::MAX_DATAGRAM).finish(),
        });
    }

    fn handle_failed_probe(&mut self, now: Instant, probe: &Probe, out: &mut Vec<Action>) {
        match &probe.purpose {
            Purpose::Member => self.suspect(now, probe.target, out),
            Purpose::Zone(zone) => {
                if let Some(view) = self.zones.get_mut(zone) {
                    view.probe_failures = view.probe_failures.saturating_add(1);
                }
            }
            Purpose::Reconnect => {}
        }
    }

    /// Suspects a member and gossips the suspicion. The suspect itself is notified at once, so that it can refute in
    /// time.
    fn suspect(&mut self, now: Instant, target: key::Entry, out: &mut Vec<Action>) {
        let Some(record) = self.members.get(target) else { return };
        if record.state != member::State::Alive {
            return;
        }
        let record = member::Record {
            state: member::State::Suspect,
            ..record.clone()
        };
        self.announce_member(now, record, out);
        let body = wire::Body::Push;
        let bytes = self.frame(now, body, Some(target), false, &gossip::Received::new());
        if let Some(record) = self.members.get(target) {
            out.push(Action::Send {
                to: record.address,
                transport: Transport::Datagram,
                bytes,
            });
        }
    }

    /// Declares suspects dead that did not refute in time.
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
        self.announce_member(now, record, out);
    }

    /// Probes one member that was declared dead, so that two halves of a healed zone find each other again.
    pub(super) fn reconnect(&mut self, now: Instant, out: &mut Vec<Action>) {
        let dead: Vec<key::Entry> = self
            .departed
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

    /// Handles the answer to a probe.
    pub(super) fn handle_ack(&mut self, now: Instant, sequence: u32, of: tag::Long, out: &mut Vec<Action>) {
        if let Some(relayed) = self.relayed_probes.remove(&sequence) {
            let body = wire::Body::Ack {
                sequence: relayed.sequence,
                of,
            };
            let bytes = wire::Writer::new(self.tag, body, wire::MAX_DATAGRAM).finish();
            out.push(Action::Send {
                to: relayed.requester,
                transport: Transport::Datagram,
                bytes,
            });
            return;
        }
        let Some(probe) = self.probes.remove(&sequence) else {
            return;
        };
        if probe.tag != of {
            // Another incarnation answers at the address, so the probed one is gone, even if its suspicion has not
            // expired.
            self.declare_dead(now, probe.target, out);
        }
        if let Purpose::Zone(zone) = &probe.purpose
            && let Some(view) = self.zones.get_mut(zone)
        {
            view.last_contact = Some(now);
            view.probe_failures = 0;
        }
    }

    /// Probes a member on behalf of another one.
    pub(super) fn relay_ping(
        &mut self,
        now: Instant,
        requester: SocketAddr,
        sequence: u32,
        target: tag::Long,
        out: &mut Vec<Action>,
    ) {
        /// Maximum number of relayed probes; a member that is asked for more is under attack or the fleet is
        /// misbehaving.
        const MAX_RELAYED: usize = 256;
        let Some(key) = self.members.find_by_tag(target) else {
            return;
        };
        self.relayed_probes.retain(|_, relayed| now < relayed.expires_at);
        if self.relayed_probes.len() >= MAX_RELAYED {
            return;
        }
        self.sequence = self.sequence.wrapping_add(1);
        let relayed = Relayed {
            requester,
            sequence,
            expires_at: now + self.settings.probe_interval + Duration::from_secs(1),
        };
        self.relayed_probes.insert(self.sequence, relayed);
        let body = wire::Body::Ping {
            sequence: self.sequence,
            target,
        };
        self.send_bare(body, key, out);
    }
}
