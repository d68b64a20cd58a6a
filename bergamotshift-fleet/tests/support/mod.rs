//! Simulated network with seeded faults, in virtual time, that connects real kernels.
//!
//! Traffic is counted as on the wire: IP and UDP headers, QUIC's short header and seal, acknowledgements (alone, or
//! along with a frame sent within 25 ms) and the handshakes of connections.

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

/// Network faults, equal for all frames.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub loss: f64,
    pub duplicate: f64,
    /// Maximum extra delay.
    pub jitter: Duration,
}

/// One entry of the fleet under test.
pub struct Node {
    pub kernel: Kernel,
    pub zone: usize,
    pub is_up: bool,
    pub paused_until: Instant,
    pub marked: BTreeMap<endpoint::Id, Instant>,
    pub notes_received: BTreeMap<u64, Instant>,
    pub member_changes: Vec<(Instant, member::Record)>,
    pub pauses: Vec<Duration>,
    wake: Instant,
    restarts: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Occurrence {
    Deliver {
        from: usize,
        to: usize,
        restarts: u64,
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

/// Simulated fleet with its network and clock.
pub struct Fleet {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub faults: Faults,
    pub traffic: Traffic,
    pub list: Vec<vm::Listing>,
    pub organisations: usize,
    /// Entries that get no load reports.
    pub without_reports: BTreeSet<usize>,
    /// Cut directions, as (from zone, to zone).
    pub zone_cuts: BTreeSet<(usize, usize)>,
    /// Cut directions, as (from node, to node).
    pub node_cuts: BTreeSet<(usize, usize)>,
    regions: Vec<usize>,
    addresses: BTreeMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(Instant, u64, Occurrence)>>,
    count: u64,
    random: Pcg64Mcg,
}

impl Fleet {
    /// Advances the clock.
    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        self.run_until(end, |_| false);
    }

    /// Runs until `done` holds, checked every 100 ms. Returns the time that it took, or `None` after `limit`.
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
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            if *at > end || stop(self) {
                break;
            }
            let Some(Reverse((at, _, occurrence))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            self.process(occurrence);
        }
        self.now = end;
    }

    fn process(&mut self, occurrence: Occurrence) {
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
                restarts,
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
                            restarts,
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
            Occurrence::Second { node } => self.report_load(node),
        }
    }

    /// Delivers the load reports of the watched endpoints and the entry's own usage, once a second.
    fn report_load(&mut self, node: usize) {
        let next = self.now + Duration::from_secs(1);
        self.schedule(next, Occurrence::Second { node });
        if !self.is_running(node) {
            return;
        }
        let is_without_reports = self.without_reports.contains(&node);
        let watched = self.nodes[node].kernel.watched();
        let watched: Vec<endpoint::Id> = watched.filter(|_| !is_without_reports).cloned().collect();
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

    /// Delivers an event to an entry and executes the resulting actions.
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
                self.nodes[node].notes_received.insert(note.version, now);
            }
            Action::MemberChanged(record) => self.nodes[node].member_changes.push((now, record)),
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
        // A stream retransmits lost frames, so only a cut stops it; retransmissions are not counted.
        if is_cut || (is_datagram && self.random.random_bool(self.faults.loss)) {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.faults.duplicate));
        let restarts = self.nodes[to].restarts;
        for _ in 0..copies {
            let delay = self.delay(from_zone, to_zone) + self.faults.jitter.mul_f64(self.random.random::<f64>());
            let bytes = bytes.to_vec();
            self.schedule(
                self.now + delay,
                Occurrence::Deliver {
                    from,
                    to,
                    restarts,
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
        self.queue.push(Reverse((at, self.count, occurrence)));
    }

    /// Returns whether an entry is up and not paused.
    pub fn is_running(&self, node: usize) -> bool {
        self.nodes[node].is_up && self.nodes[node].paused_until <= self.now
    }

    /// Stops an entry without an announcement.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_up = false;
    }

    /// Pauses an entry; frames that arrive meanwhile are delivered when it resumes.
    pub fn pause(&mut self, node: usize, length: Duration) {
        let until = self.now + length;
        self.nodes[node].paused_until = until;
        self.nodes[node].wake = until;
        self.schedule(until, Occurrence::Wake { node });
    }

    /// Cuts two zones off from each other in both directions.
    pub fn cut_zones(&mut self, left: usize, right: usize) {
        self.zone_cuts.insert((left, right));
        self.zone_cuts.insert((right, left));
    }

    /// Removes the cut between two zones.
    pub fn heal_zones(&mut self, left: usize, right: usize) {
        self.zone_cuts.remove(&(left, right));
        self.zone_cuts.remove(&(right, left));
    }

    /// Returns the running entries.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Node)> {
        self.nodes
            .iter()
            .enumerate()
            .filter(|(index, _)| self.is_running(*index))
    }

    /// Returns whether the live members in every running entry's view are exactly the running entries.
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

    /// Returns how often an entry that is still up was declared dead by another.
    pub fn false_deaths(&self) -> usize {
        let is_up = |record: &member::Record| {
            self.nodes
                .iter()
                .any(|node| node.is_up && node.kernel.me().tag() == record.tag())
        };
        self.member_changes(member::State::Dead)
            .filter(|record| is_up(record))
            .count()
    }

    /// Returns the member changes to `state` that the entries reported.
    pub fn member_changes(&self, state: member::State) -> impl Iterator<Item = &member::Record> {
        self.nodes
            .iter()
            .flat_map(|node| &node.member_changes)
            .map(|(_, record)| record)
            .filter(move |record| record.state == state)
    }
}
