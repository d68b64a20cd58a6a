//! Simulation of entries and proposers in virtual time, with a network and a platform whose faults are seeded.

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_config::accept::Member;
use bergamotshift_config::accept::Proposer;
use bergamotshift_config::accept::Timing;
use bergamotshift_config::accept::member;
use bergamotshift_config::accept::proposer;
use bergamotshift_config::accept::proposer::Outcome;
use bergamotshift_config::accept::proposer::Request;
use bergamotshift_config::accept::record::Id;
use bergamotshift_config::accept::record::Revision;
use bergamotshift_config::digest::Digest;
use bergamotshift_config::manifest::Manifest;
use bergamotshift_core::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::platform::Call;
use super::platform::Caller;
use super::platform::Reply;
use super::table::Table;

/// Faults and delays.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Probability that a message between entries is lost.
    pub loss: f64,
    /// Maximum delay of a message between two entries.
    pub max_delay: Duration,
    /// Probability that the response to a write is lost after the write took effect.
    pub lost_answers: f64,
    /// Whether the platform is down.
    pub platform_down: bool,
    /// Zones that cannot reach the platform.
    pub cut_from_platform: BTreeSet<usize>,
    /// Zones that cannot reach any other zone.
    pub isolated: BTreeSet<usize>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            loss: 0.0,
            max_delay: Duration::from_millis(3),
            lost_answers: 0.0,
            platform_down: false,
            cut_from_platform: BTreeSet::new(),
            isolated: BTreeSet::new(),
        }
    }
}

/// Duration of a call to the platform.
const PLATFORM_ROUND_TRIP: Duration = Duration::from_millis(8);
/// Timeout of a call that is lost.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Simulated entry.
#[derive(Debug)]
pub struct Node {
    pub zone: usize,
    pub member: Option<Member>,
    pub switches: Vec<(Instant, Revision)>,
    pub reads: u64,
    pub writes: u64,
    pub fetches: u64,
    incarnation: u64,
    wake: Instant,
    proposer: Option<Proposer>,
    pub outcomes: Vec<(Instant, Outcome)>,
}

/// Scheduled event of an entry.
#[derive(Clone, Debug)]
enum Event {
    Wake,
    Platform(Caller, Call),
    Member(member::Event),
    Proposer(proposer::Event),
    FetchRequest { from: usize, digest: Digest },
}

/// Simulated fleet and platform.
#[derive(Debug)]
pub struct World {
    pub now: Instant,
    pub faults: Faults,
    pub table: Table,
    pub nodes: Vec<Node>,
    pub timing: Timing,
    /// Adapters of the entries that are started from now on; `None` accepts any.
    pub adapters: Option<Vec<&'static str>>,
    objects: BTreeMap<Digest, Manifest>,
    queue: BTreeMap<(Instant, u64), (usize, u64, Event)>,
    sequence: u64,
    rng: Pcg64Mcg,
}

impl World {
    /// Creates a simulation and starts `zones * entries_per_zone` entries.
    pub fn new(zones: usize, entries_per_zone: usize, seed: u64) -> Self {
        let mut world = Self {
            now: Instant::from_secs(1_000),
            faults: Faults::default(),
            table: Table::default(),
            nodes: Vec::new(),
            timing: Timing::default(),
            adapters: None,
            objects: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        for index in 0..zones * entries_per_zone {
            world.nodes.push(Node {
                zone: index % zones,
                member: None,
                switches: Vec::new(),
                reads: 0,
                writes: 0,
                fetches: 0,
                incarnation: 0,
                wake: Instant::MAX,
                proposer: None,
                outcomes: Vec::new(),
            });
        }
        for node in 0..world.nodes.len() {
            world.start(node);
        }
        world
    }

    /// Returns the name of a zone.
    pub fn zone(zone: usize) -> String {
        format!("zone-{zone}")
    }

    /// Starts or restarts an entry without any state.
    pub fn start(&mut self, node: usize) {
        let settings = member::Settings {
            zone: name::Zone::new(Self::zone(self.nodes[node].zone)),
            timing: self.timing,
            adapters: self.adapters.clone(),
        };
        let member = Member::new(settings, self.now);
        let state = &mut self.nodes[node];
        state.incarnation += 1;
        state.member = Some(member);
        state.proposer = None;
        state.wake = Instant::MAX;
        state.switches.clear();
        self.update_ranks(zone_of(&self.nodes, node));
    }

    /// Kills an entry. Its calls in flight may still take effect.
    pub fn kill(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        state.incarnation += 1;
        state.member = None;
        state.proposer = None;
        self.update_ranks(zone_of(&self.nodes, node));
    }

    /// Starts a proposer with a change at an entry.
    pub fn apply(&mut self, node: usize, id: u128, base: &Manifest, ours: &Manifest) {
        let request = Request {
            id: Id::new(id),
            author: format!("operator-{id}").into(),
            at: 0,
            base: base.clone(),
            ours: ours.clone(),
        };
        self.nodes[node].proposer = Some(Proposer::new(request, self.timing, self.now));
        self.deliver(node, Event::Proposer(proposer::Event::Tick));
    }

    /// Runs for a duration of virtual time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        self.run_until(end, |_| false);
        self.now = end;
    }

    /// Runs until a condition holds; returns whether it held before `end`.
    pub fn run_until(&mut self, end: Instant, holds: impl Fn(&Self) -> bool) -> bool {
        while !holds(self) {
            let Some((&(at, _), _)) = self.queue.first_key_value() else {
                return false;
            };
            if at > end {
                return false;
            }
            let Some(((at, _), (node, incarnation, event))) = self.queue.pop_first() else {
                return false;
            };
            self.now = at;
            if self.nodes[node].incarnation == incarnation || matches!(event, Event::Platform(..)) {
                self.handle(node, incarnation, event);
            }
        }
        true
    }

    /// Runs until the proposer of an entry finishes and returns its outcome.
    pub fn outcome(&mut self, node: usize) -> Outcome {
        let before = self.nodes[node].outcomes.len();
        let end = self.now + Duration::from_mins(5);
        let done = self.run_until(end, |world| world.nodes[node].outcomes.len() > before);
        assert!(done, "the proposer of entry {node} did not finish");
        self.nodes[node].outcomes[before].1.clone()
    }

    /// Returns the version that is in force at an entry, or 0.
    pub fn in_force(&self, node: usize) -> u64 {
        let member = self.nodes[node].member.as_ref();
        member
            .and_then(Member::in_force)
            .map_or(0, |revision| revision.version.get())
    }

    /// Returns whether a version, or a higher one, is in force at every live entry.
    pub fn in_force_everywhere(&self, version: u64) -> bool {
        let live = (0..self.nodes.len()).filter(|node| self.nodes[*node].member.is_some());
        live.map(|node| self.in_force(node)).all(|in_force| in_force >= version)
    }

    /// Returns the numbers of rows read, rows written and contents fetched from the platform so far.
    pub fn calls(&self) -> (u64, u64, u64) {
        let sum = |count: fn(&Node) -> u64| self.nodes.iter().map(count).sum();
        (
            sum(|node| node.reads),
            sum(|node| node.writes),
            sum(|node| node.fetches),
        )
    }

    /// Asserts that each entry switched only to higher versions.
    pub fn assert_versions_increase(&self) {
        for node in &self.nodes {
            assert!(
                node.switches.is_sorted_by(|a, b| a.1.version < b.1.version),
                "{:?}",
                node.switches
            );
        }
    }

    fn update_ranks(&mut self, zone: usize) {
        let members: Vec<_> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].zone == zone && self.nodes[*node].member.is_some())
            .collect();
        for (rank, node) in members.into_iter().enumerate() {
            self.deliver(node, Event::Member(member::Event::Ranked(rank as u16)));
        }
    }

    fn deliver(&mut self, node: usize, event: Event) {
        self.schedule(self.now, node, event);
    }

    fn schedule(&mut self, at: Instant, node: usize, event: Event) {
        self.sequence += 1;
        let incarnation = self.nodes[node].incarnation;
        self.queue.insert((at, self.sequence), (node, incarnation, event));
    }

    fn reaches_platform(&self, node: usize) -> bool {
        !self.faults.platform_down && !self.faults.cut_from_platform.contains(&self.nodes[node].zone)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (self.nodes[from].zone, self.nodes[to].zone);
        let isolated = &self.faults.isolated;
        from == to || !(isolated.contains(&from) || isolated.contains(&to))
    }

    fn handle(&mut self, node: usize, incarnation: u64, event: Event) {
        match event {
            Event::Wake if self.nodes[node].wake <= self.now => {
                self.nodes[node].wake = Instant::MAX;
                self.step_member(node, member::Event::Tick);
            }
            Event::Wake => {}
            Event::Member(event) => self.step_member(node, event),
            Event::Proposer(event) => self.step_proposer(node, event),
            Event::Platform(caller, call) => self.serve(node, incarnation, caller, call),
            Event::FetchRequest { from, digest } => self.answer_fetch(node, from, digest),
        }
    }

    fn step_member(&mut self, node: usize, event: member::Event) {
        let now = self.now;
        let Some(member) = &mut self.nodes[node].member else {
            return;
        };
        let actions = member.handle(now, event, &mut self.rng);
        let wake = member.wake(now);
        for action in actions {
            self.perform(node, action);
        }
        if wake < self.nodes[node].wake || self.nodes[node].wake <= now {
            assert!(wake > now, "entry {node} asks for a wake-up that is already due");
            self.nodes[node].wake = wake;
            self.schedule(wake, node, Event::Wake);
        }
    }

    fn perform(&mut self, node: usize, action: member::Action) {
        match action {
            member::Action::Read(keys) => self.call(node, Caller::Member, Call::Read(keys)),
            member::Action::Write(writes) => self.call(node, Caller::Member, Call::Write(writes)),
            member::Action::Fetch {
                digest,
                from: member::Source::Platform,
            } => {
                self.call(node, Caller::Member, Call::Fetch(digest));
            }
            member::Action::Fetch {
                digest,
                from: member::Source::Peer(peer),
            } => {
                let peer: usize = peer.as_str().parse().expect("names of entries are numbers");
                self.send(node, peer, Event::FetchRequest { from: node, digest });
            }
            member::Action::Announce(announcement) => {
                for peer in self.neighbours(node) {
                    let from = name::Entry::new(node.to_string());
                    self.send(
                        node,
                        peer,
                        Event::Member(member::Event::Announced { from, announcement }),
                    );
                }
            }
            member::Action::Reply { to, announcement } => {
                let peer: usize = to.as_str().parse().expect("names of entries are numbers");
                let from = name::Entry::new(node.to_string());
                self.send(
                    node,
                    peer,
                    Event::Member(member::Event::Announced { from, announcement }),
                );
            }
            member::Action::Switch { revision, .. } => {
                let now = self.now;
                self.nodes[node].switches.push((now, revision));
            }
            member::Action::Reject { revision, reason } => panic!("{revision:?} was rejected: {reason}"),
        }
    }

    /// Selects two random entries of the same zone and one of any zone.
    fn neighbours(&mut self, node: usize) -> Vec<usize> {
        let zone = self.nodes[node].zone;
        let near: Vec<_> = (0..self.nodes.len())
            .filter(|other| *other != node && self.nodes[*other].zone == zone)
            .collect();
        let mut chosen = Vec::new();
        for _ in 0..2 {
            if !near.is_empty() {
                chosen.push(near[self.rng.random_range(0..near.len())]);
            }
        }
        chosen.push(self.rng.random_range(0..self.nodes.len()));
        chosen.retain(|other| *other != node);
        chosen
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        let lost = self.rng.random_bool(self.faults.loss) || !self.reaches(from, to);
        let is_fetch = matches!(event, Event::FetchRequest { .. });
        let is_dead = self.nodes[to].member.is_none();
        if !lost && !is_dead {
            let delay = self.faults.max_delay.mul_f64(self.rng.random_range(0.2..1.0));
            self.schedule(self.now + delay, to, event);
        } else if is_fetch {
            self.schedule(self.now + TIMEOUT, from, Event::Member(member::Event::FetchFailed));
        }
    }

    fn answer_fetch(&mut self, node: usize, from: usize, digest: Digest) {
        let content = self.nodes[node]
            .member
            .as_ref()
            .and_then(|member| member.content(&digest).cloned());
        let event = match content {
            Some(content) if self.reaches(node, from) => member::Event::Fetched(content),
            _ => member::Event::FetchFailed,
        };
        self.schedule(self.now + self.faults.max_delay, from, Event::Member(event));
    }

    fn step_proposer(&mut self, node: usize, event: proposer::Event) {
        let now = self.now;
        let Some(proposer) = &mut self.nodes[node].proposer else {
            return;
        };
        let actions = proposer.handle(now, event);
        if let Some(wake) = proposer.wake() {
            self.schedule(wake, node, Event::Proposer(proposer::Event::Tick));
        }
        for action in actions {
            match action {
                proposer::Action::Read(keys) => self.call(node, Caller::Proposer, Call::Read(keys)),
                proposer::Action::Write(writes) => self.call(node, Caller::Proposer, Call::Write(writes)),
                proposer::Action::Fetch(digest) => self.call(node, Caller::Proposer, Call::Fetch(digest)),
                proposer::Action::Store(manifest) => self.call(node, Caller::Proposer, Call::Store(manifest)),
                proposer::Action::Publish(view) => {
                    self.deliver(node, Event::Member(member::Event::Published(view)));
                }
                proposer::Action::Finish(outcome) => self.nodes[node].outcomes.push((now, outcome)),
            }
        }
    }

    fn call(&mut self, node: usize, caller: Caller, call: Call) {
        let state = &mut self.nodes[node];
        match &call {
            Call::Read(keys) => state.reads += keys.len() as u64,
            Call::Write(writes) => state.writes += writes.len() as u64,
            Call::Fetch(_) => state.fetches += 1,
            Call::Store(_) => {}
        }
        if self.reaches_platform(node) {
            self.schedule(self.now + PLATFORM_ROUND_TRIP / 2, node, Event::Platform(caller, call));
        } else {
            self.reply(self.now + TIMEOUT, node, caller, call.failure());
        }
    }

    /// Performs a call that reached the platform, even if its sender has died since.
    fn serve(&mut self, node: usize, incarnation: u64, caller: Caller, call: Call) {
        let failed = call.failure();
        let reply = match call {
            Call::Read(keys) => Reply::Rows(keys.iter().map(|key| self.table.get(key)).collect()),
            Call::Write(writes) => Reply::Ended(self.table.transact(&writes)),
            Call::Fetch(digest) => self
                .objects
                .get(&digest)
                .map_or(Reply::FetchFailed, |found| Reply::Content(found.clone())),
            Call::Store(manifest) => {
                self.objects.insert(manifest.digest(), manifest);
                Reply::Stored
            }
        };
        if self.nodes[node].incarnation != incarnation {
            return;
        }
        let lost = matches!(reply, Reply::Ended(_)) && self.rng.random_bool(self.faults.lost_answers);
        if lost || !self.reaches_platform(node) {
            self.reply(self.now + TIMEOUT, node, caller, failed);
        } else {
            self.reply(self.now + PLATFORM_ROUND_TRIP / 2, node, caller, reply);
        }
    }

    fn reply(&mut self, at: Instant, node: usize, caller: Caller, reply: Reply) {
        let event = match caller {
            Caller::Member => Event::Member(reply.into_member()),
            Caller::Proposer => Event::Proposer(reply.into_proposer()),
        };
        self.schedule(at, node, event);
    }
}

fn zone_of(nodes: &[Node], node: usize) -> usize {
    nodes[node].zone
}
