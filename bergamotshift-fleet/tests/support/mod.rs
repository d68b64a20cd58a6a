//! A seeded faulty network in virtual time, under real kernels.
//!
//! Bytes are counted as they would be on the wire: IP and UDP headers, QUIC's short header and seal, acknowledgements
//! (alone, or along with a frame sent within 25 ms) and the handshakes of connections.

#![allow(dead_code, reason = "each test file uses its own part of the harness")]

pub mod build;
pub mod traffic;
pub mod trial;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_core::vm;
use bergamotshift_fleet::prelude::*;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

pub use build::Shape;
pub use traffic::Traffic;

/// What goes wrong on the way, for every frame alike.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub loss: f64,
    pub duplicate: f64,
    /// Extra delay of up to this.
    pub jitter: Duration,
}

/// One entry of the fleet under test.
pub struct Node {
    pub kernel: Kernel,
    pub zone: usize,
    pub is_up: bool,
    pub paused_until: Instant,
    pub marked: BTreeMap<endpoint::Id, Instant>,
    pub noted: BTreeMap<u64, Instant>,
    pub opinions: Vec<(Instant, member::Record)>,
    pub pauses: Vec<Duration>,
    wake: Instant,
    life: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Occurrence {
    Deliver {
        from: usize,
        to: usize,
        life: u64,
        is_datagram: bool,
        bytes: Vec<u8>,
    },
    Wake {
        node: usize,
    },
    Acknowledge {
        node: usize,
        peer: usize,
    },
    Second {
        node: usize,
    },
}

/// The fleet, the network and the clock.
pub struct Fleet {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub faults: Faults,
    pub traffic: Traffic,
    pub list: Vec<vm::Listing>,
    pub organisations: usize,
    /// Entries that get no load reports.
    pub deaf: BTreeSet<usize>,
    /// Cut directions, as (from zone, to zone).
    pub zone_cuts: BTreeSet<(usize, usize)>,
    /// Cut directions, as (from node, to node).
    pub node_cuts: BTreeSet<(usize, usize)>,
    regions: Vec<usize>,
    addresses: BTreeMap<SocketAddr, usize>,
    agenda: BinaryHeap<Reverse<(Instant, u64, Occurrence)>>,
    count: u64,
    random: Pcg64Mcg,
}

impl Fleet {
    /// Runs the clock forward.
    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        self.run_until(end, |_| false);
    }

    /// Runs until `done` holds, looking every 100 ms; returns how long that took, or `None` after `limit`.
    pub fn run_while_not(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        const STEP: Duration = Duration::from_millis(100);
        let start = self.now;
        while self.now.since(start) < limit {
            if done(self) {
                return Some(self.now.since(start));
            }
            self.run(STEP);
        }
        done(self).then(|| self.now.since(start))
    }

    fn run_until(&mut self, end: Instant, stop: impl Fn(&Self) -> bool) {
        while let Some(Reverse((at, ..))) = self.agenda.peek() {
            if *at > end || stop(self) {
                break;
            }
            let Some(Reverse((at, _, occurrence))) = self.agenda.pop() else {
                break;
            };
            self.now = at;
            self.occur(occurrence);
        }
        self.now = end;
    }

    fn occur(&mut self, occurrence: Occurrence) {
        let now = self.now;
        match occurrence {
            Occurrence::Wake { node } => {
                if self.nodes[node].wake == now {
                    self.event(node, Event::Tick);
                }
            }
            Occurrence::Deliver {
                from,
                to,
                life,
                is_datagram,
                bytes,
            } => {
                if !self.nodes[to].is_up {
                    return;
                }
                if self.nodes[to].paused_until > now {
                    let until = self.nodes[to].paused_until;
                    self.schedule(
                        until,
                        Occurrence::Deliver {
                            from,
                            to,
                            life,
                            is_datagram,
                            bytes,
                        },
                    );
                    return;
                }
                let due = self.traffic.received(now, from, to, bytes.len());
                self.schedule(due, Occurrence::Acknowledge { node: to, peer: from });
                let from = self.nodes[from].kernel.me().address;
                self.event(to, Event::Received { from, bytes });
            }
            Occurrence::Acknowledge { node, peer } => self.traffic.acknowledge(now, node, peer),
            Occurrence::Second { node } => self.second(node),
        }
    }

    /// Gives an entry the load reports of what it watches and its own use, once a second.
    fn second(&mut self, node: usize) {
        let next = self.now + Duration::from_secs(1);
        self.schedule(next, Occurrence::Second { node });
        if !self.is_running(node) {
            return;
        }
        let is_deaf = self.deaf.contains(&node);
        let watched = self.nodes[node].kernel.watched();
        let watched: Vec<endpoint::Id> = watched.filter(|_| !is_deaf).cloned().collect();
        for endpoint in watched {
            let report = bergamotshift_core::load::Report {
                sequence: self.now.as_micros() / 1_000_000,
                running: self.random.random_range(0..32),
                waiting: self.random.random_range(0..16),
                slots: 32,
                prefill_backlog: self.random.random_range(0..40_000),
                decode_rate: self.random.random_range(500..2_000),
                cache_permille: self.random.random_range(0..1_000),
                leaving: false,
            };
            self.event(node, Event::LoadReported { endpoint, report });
        }
        for index in 0..self.organisations {
            let organisation = name::Organisation::new(format!("organisation-{index}"));
            let rate = self.random.random_range(0..50);
            self.event(node, Event::UsageMeasured { organisation, rate });
        }
    }

    /// Gives an entry an event and carries out its actions.
    pub fn event(&mut self, node: usize, event: Event) {
        if !self.is_running(node) {
            return;
        }
        let mut actions = Vec::new();
        self.nodes[node].kernel.handle(self.now, event, &mut actions);
        for action in actions {
            self.act(node, action);
        }
        let due = self.nodes[node].kernel.due().max(self.now + Duration::from_micros(1));
        if due != self.nodes[node].wake {
            self.nodes[node].wake = due;
            self.schedule(due, Occurrence::Wake { node });
        }
    }

    fn act(&mut self, node: usize, action: Action) {
        let now = self.now;
        match action {
            Action::Send { to, transport, bytes } => self.send(node, to, transport, &bytes),
            Action::Marked(mark) => {
                self.nodes[node].marked.insert(mark.endpoint, now);
            }
            Action::NoteReceived { note, .. } => {
                self.nodes[node].noted.insert(note.version, now);
            }
            Action::MemberChanged(record) => self.nodes[node].opinions.push((now, record)),
            Action::Paused { gap } => self.nodes[node].pauses.push(gap),
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, transport: Transport, bytes: &[u8]) {
        let Some(&to) = self.addresses.get(&to) else { return };
        let is_datagram = transport == Transport::Datagram;
        if is_datagram {
            assert!(
                bytes.len() <= bergamotshift_fleet::wire::MAX_DATAGRAM,
                "a datagram of {} bytes",
                bytes.len()
            );
        }
        self.traffic.sent(self.now, from, to, bytes.len());
        let (from_zone, to_zone) = (self.nodes[from].zone, self.nodes[to].zone);
        let is_cut = self.zone_cuts.contains(&(from_zone, to_zone)) || self.node_cuts.contains(&(from, to));
        // A stream repeats what is lost, so only a cut stops it; its repeats are not counted.
        if is_cut || (is_datagram && self.random.random_bool(self.faults.loss)) {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.faults.duplicate));
        let life = self.nodes[to].life;
        for _ in 0..copies {
            let delay = self.delay(from_zone, to_zone) + self.faults.jitter.mul_f64(self.random.random::<f64>());
            let bytes = bytes.to_vec();
            self.schedule(
                self.now + delay,
                Occurrence::Deliver {
                    from,
                    to,
                    life,
                    is_datagram,
                    bytes,
                },
            );
        }
    }

    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let base = if from == to {
            300
        } else if self.regions[from] == self.regions[to] {
            1_200
        } else {
            30_000
        };
        Duration::from_micros(base + self.random.random_range(0..=base / 5))
    }

    fn schedule(&mut self, at: Instant, occurrence: Occurrence) {
        self.count += 1;
        self.agenda.push(Reverse((at, self.count, occurrence)));
    }

    /// Returns whether an entry runs now.
    pub fn is_running(&self, node: usize) -> bool {
        self.nodes[node].is_up && self.nodes[node].paused_until <= self.now
    }

    /// Stops an entry without a word.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_up = false;
    }

    /// Freezes an entry; what arrives meanwhile is delivered when it wakes up.
    pub fn pause(&mut self, node: usize, length: Duration) {
        let until = self.now + length;
        self.nodes[node].paused_until = until;
        self.nodes[node].wake = until;
        self.schedule(until, Occurrence::Wake { node });
    }

    /// Cuts two zones off from each other, both ways.
    pub fn cut_zones(&mut self, left: usize, right: usize) {
        self.zone_cuts.insert((left, right));
        self.zone_cuts.insert((right, left));
    }

    /// Mends a cut.
    pub fn heal_zones(&mut self, left: usize, right: usize) {
        self.zone_cuts.remove(&(left, right));
        self.zone_cuts.remove(&(right, left));
    }

    /// Returns the entries that run.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Node)> {
        self.nodes
            .iter()
            .enumerate()
            .filter(|(index, _)| self.is_running(*index))
    }

    /// Returns whether every running entry holds exactly the running entries for live.
    pub fn has_converged(&self) -> bool {
        let truth: BTreeSet<(&name::Entry, u64)> = self
            .running()
            .map(|(_, node)| (&node.kernel.me().name, node.kernel.me().incarnation.get()))
            .collect();
        self.running().all(|(_, node)| {
            let members = node.kernel.members();
            let live = members
                .iter()
                .filter(|(_, record)| record.state == member::State::Alive);
            let view: BTreeSet<_> = live
                .map(|(_, record)| (&record.name, record.incarnation.get()))
                .collect();
            view == truth
        })
    }

    /// Returns how often an entry that ran was called dead by another.
    pub fn false_deaths(&self) -> usize {
        let is_up = |record: &member::Record| {
            self.nodes
                .iter()
                .any(|node| node.is_up && node.kernel.me().tag() == record.tag())
        };
        self.opinions(member::State::Dead)
            .filter(|record| is_up(record))
            .count()
    }

    /// Returns the opinions of a kind that the entries came to.
    pub fn opinions(&self, state: member::State) -> impl Iterator<Item = &member::Record> {
        self.nodes
            .iter()
            .flat_map(|node| &node.opinions)
            .map(|(_, record)| record)
            .filter(move |record| record.state == state)
    }
}
