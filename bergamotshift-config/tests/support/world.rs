//! Entries and proposers over a seeded faulty network and platform, in virtual time.

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

use super::platform::Asker;
use super::platform::Call;
use super::platform::Reply;
use super::table::Table;

/// What goes wrong, and how long things take.
#[derive(Clone, Debug)]
pub struct Faults {
    /// The share of messages between entries that are lost.
    pub loss: f64,
    /// The longest way between two entries.
    pub longest: Duration,
    /// The share of answers to writes that are lost after the write took effect.
    pub lost_answers: f64,
    /// Whether the platform is down.
    pub platform_down: bool,
    /// Zones that do not reach the platform.
    pub off_platform: BTreeSet<usize>,
    /// Zones that reach no other zone.
    pub isolated: BTreeSet<usize>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            loss: 0.0,
            longest: Duration::from_millis(3),
            lost_answers: 0.0,
            platform_down: false,
            off_platform: BTreeSet::new(),
            isolated: BTreeSet::new(),
        }
    }
}

/// How long a platform call takes, and how long its caller waits for a lost one.
const PLATFORM: Duration = Duration::from_millis(8);
const TIMEOUT: Duration = Duration::from_secs(1);

/// One entry.
#[derive(Debug)]
pub struct Node {
    pub zone: usize,
    pub member: Option<Member>,
    pub switches: Vec<(Instant, Revision)>,
    pub reads: u64,
    pub writes: u64,
    pub fetches: u64,
    life: u64,
    wake: Instant,
    proposer: Option<Proposer>,
    pub outcomes: Vec<(Instant, Outcome)>,
}

/// What happens at a moment.
#[derive(Clone, Debug)]
enum Happening {
    Wake,
    Platform(Asker, Call),
    Member(member::Event),
    Proposer(proposer::Event),
    Ask { from: usize, digest: Digest },
}

/// The fleet.
#[derive(Debug)]
pub struct World {
    pub now: Instant,
    pub faults: Faults,
    pub table: Table,
    pub nodes: Vec<Node>,
    pub timing: Timing,
    /// The adapters that entries started from now on have; missing means any.
    pub adapters: Option<Vec<&'static str>>,
    objects: BTreeMap<Digest, Manifest>,
    queue: BTreeMap<(Instant, u64), (usize, u64, Happening)>,
    sequence: u64,
    rng: Pcg64Mcg,
}

impl World {
    /// Starts `zones * each` entries.
    pub fn new(zones: usize, each: usize, seed: u64) -> Self {
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
        for place in 0..zones * each {
            world.nodes.push(Node {
                zone: place % zones,
                member: None,
                switches: Vec::new(),
                reads: 0,
                writes: 0,
                fetches: 0,
                life: 0,
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

    /// Returns a zone's name.
    pub fn zone(zone: usize) -> String {
        format!("zone-{zone}")
    }

    /// Starts or restarts an entry; it knows nothing.
    pub fn start(&mut self, node: usize) {
        let settings = member::Settings {
            zone: name::Zone::new(Self::zone(self.nodes[node].zone)),
            timing: self.timing,
            adapters: self.adapters.clone(),
        };
        let member = Member::new(settings, self.now);
        let state = &mut self.nodes[node];
        state.life += 1;
        state.member = Some(member);
        state.proposer = None;
        state.wake = Instant::MAX;
        state.switches.clear();
        self.rank(state_zone(&self.nodes, node));
    }

    /// Kills an entry; what it asked for may still happen.
    pub fn kill(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        state.life += 1;
        state.member = None;
        state.proposer = None;
        self.rank(state_zone(&self.nodes, node));
    }

    /// Lets an entry carry a change.
    pub fn apply(&mut self, node: usize, id: u128, base: &Manifest, ours: &Manifest) {
        let request = Request {
            id: Id::new(id),
            author: format!("operator-{id}").into(),
            at: 0,
            base: base.clone(),
            ours: ours.clone(),
        };
        self.nodes[node].proposer = Some(Proposer::new(request, self.timing, self.now));
        self.deliver(node, Happening::Proposer(proposer::Event::Tick));
    }

    /// Runs for a span of virtual time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        self.run_until(end, |_| false);
        self.now = end;
    }

    /// Runs until something holds; returns whether it came to hold before the limit.
    pub fn run_until(&mut self, end: Instant, holds: impl Fn(&Self) -> bool) -> bool {
        while !holds(self) {
            let Some((&(at, _), _)) = self.queue.first_key_value() else {
                return false;
            };
            if at > end {
                return false;
            }
            let Some(((at, _), (node, life, happening))) = self.queue.pop_first() else {
                return false;
            };
            self.now = at;
            if self.nodes[node].life == life || matches!(happening, Happening::Platform(..)) {
                self.happen(node, life, happening);
            }
        }
        true
    }

    /// Runs until a proposer is done and returns what became of its change.
    pub fn outcome(&mut self, node: usize) -> Outcome {
        let before = self.nodes[node].outcomes.len();
        let end = self.now + Duration::from_mins(5);
        let done = self.run_until(end, |world| world.nodes[node].outcomes.len() > before);
        assert!(done, "the proposer of entry {node} never finished");
        self.nodes[node].outcomes[before].1.clone()
    }

    /// Returns the version in force at an entry.
    pub fn in_force(&self, node: usize) -> u64 {
        let member = self.nodes[node].member.as_ref();
        member
            .and_then(Member::in_force)
            .map_or(0, |revision| revision.version.get())
    }

    /// Returns whether a version, or a higher one, is in force at every entry that lives.
    pub fn everywhere(&self, version: u64) -> bool {
        let live = (0..self.nodes.len()).filter(|node| self.nodes[*node].member.is_some());
        live.map(|node| self.in_force(node)).all(|in_force| in_force >= version)
    }

    /// Returns all rows read, rows written and contents fetched from the platform so far.
    pub fn calls(&self) -> (u64, u64, u64) {
        let sum = |count: fn(&Node) -> u64| self.nodes.iter().map(count).sum();
        (
            sum(|node| node.reads),
            sum(|node| node.writes),
            sum(|node| node.fetches),
        )
    }

    /// Asserts that no entry ever went back.
    pub fn assert_only_upwards(&self) {
        for node in &self.nodes {
            assert!(
                node.switches.is_sorted_by(|a, b| a.1.version < b.1.version),
                "{:?}",
                node.switches
            );
        }
    }

    fn rank(&mut self, zone: usize) {
        let members: Vec<_> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].zone == zone && self.nodes[*node].member.is_some())
            .collect();
        for (rank, node) in members.into_iter().enumerate() {
            self.deliver(node, Happening::Member(member::Event::Ranked(rank as u16)));
        }
    }

    fn deliver(&mut self, node: usize, happening: Happening) {
        self.schedule(self.now, node, happening);
    }

    fn schedule(&mut self, at: Instant, node: usize, happening: Happening) {
        self.sequence += 1;
        let life = self.nodes[node].life;
        self.queue.insert((at, self.sequence), (node, life, happening));
    }

    fn reaches_platform(&self, node: usize) -> bool {
        !self.faults.platform_down && !self.faults.off_platform.contains(&self.nodes[node].zone)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (self.nodes[from].zone, self.nodes[to].zone);
        let isolated = &self.faults.isolated;
        from == to || !(isolated.contains(&from) || isolated.contains(&to))
    }

    fn happen(&mut self, node: usize, life: u64, happening: Happening) {
        match happening {
            Happening::Wake if self.nodes[node].wake <= self.now => {
                self.nodes[node].wake = Instant::MAX;
                self.step(node, member::Event::Tick);
            }
            Happening::Wake => {}
            Happening::Member(event) => self.step(node, event),
            Happening::Proposer(event) => self.advance(node, event),
            Happening::Platform(asker, call) => self.serve(node, life, asker, call),
            Happening::Ask { from, digest } => self.answer(node, from, digest),
        }
    }

    fn step(&mut self, node: usize, event: member::Event) {
        let now = self.now;
        let Some(member) = &mut self.nodes[node].member else {
            return;
        };
        let actions = member.handle(now, event, &mut self.rng);
        let wake = member.wake(now);
        for action in actions {
            self.act(node, action);
        }
        if wake < self.nodes[node].wake || self.nodes[node].wake <= now {
            assert!(wake > now, "entry {node} asks to be woken at once, again and again");
            self.nodes[node].wake = wake;
            self.schedule(wake, node, Happening::Wake);
        }
    }

    fn act(&mut self, node: usize, action: member::Action) {
        match action {
            member::Action::Read(keys) => self.call(node, Asker::Member, Call::Read(keys)),
            member::Action::Write(writes) => self.call(node, Asker::Member, Call::Write(writes)),
            member::Action::Fetch {
                digest,
                from: member::Source::Platform,
            } => {
                self.call(node, Asker::Member, Call::Fetch(digest));
            }
            member::Action::Fetch {
                digest,
                from: member::Source::Peer(peer),
            } => {
                let peer: usize = peer.as_str().parse().expect("entries are called by their numbers");
                self.send(node, peer, Happening::Ask { from: node, digest });
            }
            member::Action::Announce(announcement) => {
                for peer in self.neighbours(node) {
                    let from = name::Entry::new(node.to_string());
                    self.send(
                        node,
                        peer,
                        Happening::Member(member::Event::Announced { from, announcement }),
                    );
                }
            }
            member::Action::Reply { to, announcement } => {
                let peer: usize = to.as_str().parse().expect("entries are called by their numbers");
                let from = name::Entry::new(node.to_string());
                self.send(
                    node,
                    peer,
                    Happening::Member(member::Event::Announced { from, announcement }),
                );
            }
            member::Action::Switch { revision, .. } => {
                let now = self.now;
                self.nodes[node].switches.push((now, revision));
            }
            member::Action::Reject { revision, reason } => panic!("{revision:?} is no configuration: {reason}"),
        }
    }

    /// Draws two entries of the same zone and one of any.
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

    fn send(&mut self, from: usize, to: usize, happening: Happening) {
        let lost = self.rng.random_bool(self.faults.loss) || !self.reaches(from, to);
        let ask = matches!(happening, Happening::Ask { .. });
        let dead = self.nodes[to].member.is_none();
        if !lost && !dead {
            let way = self.faults.longest.mul_f64(self.rng.random_range(0.2..1.0));
            self.schedule(self.now + way, to, happening);
        } else if ask {
            self.schedule(self.now + TIMEOUT, from, Happening::Member(member::Event::FetchFailed));
        }
    }

    fn answer(&mut self, node: usize, from: usize, digest: Digest) {
        let content = self.nodes[node]
            .member
            .as_ref()
            .and_then(|member| member.content(&digest).cloned());
        let event = match content {
            Some(content) if self.reaches(node, from) => member::Event::Fetched(content),
            _ => member::Event::FetchFailed,
        };
        self.schedule(self.now + self.faults.longest, from, Happening::Member(event));
    }

    fn advance(&mut self, node: usize, event: proposer::Event) {
        let now = self.now;
        let Some(proposer) = &mut self.nodes[node].proposer else {
            return;
        };
        let actions = proposer.handle(now, event);
        if let Some(wake) = proposer.wake() {
            self.schedule(wake, node, Happening::Proposer(proposer::Event::Tick));
        }
        for action in actions {
            match action {
                proposer::Action::Read(keys) => self.call(node, Asker::Proposer, Call::Read(keys)),
                proposer::Action::Write(writes) => self.call(node, Asker::Proposer, Call::Write(writes)),
                proposer::Action::Fetch(digest) => self.call(node, Asker::Proposer, Call::Fetch(digest)),
                proposer::Action::Store(manifest) => self.call(node, Asker::Proposer, Call::Store(manifest)),
                proposer::Action::Publish(view) => {
                    self.deliver(node, Happening::Member(member::Event::Published(view)));
                }
                proposer::Action::Finish(outcome) => self.nodes[node].outcomes.push((now, outcome)),
            }
        }
    }

    fn call(&mut self, node: usize, asker: Asker, call: Call) {
        let state = &mut self.nodes[node];
        match &call {
            Call::Read(keys) => state.reads += keys.len() as u64,
            Call::Write(writes) => state.writes += writes.len() as u64,
            Call::Fetch(_) => state.fetches += 1,
            Call::Store(_) => {}
        }
        if self.reaches_platform(node) {
            self.schedule(self.now + PLATFORM / 2, node, Happening::Platform(asker, call));
        } else {
            self.reply(self.now + TIMEOUT, node, asker, call.failure());
        }
    }

    /// Serves a call whose bytes reached the platform, even if its sender is dead by now.
    fn serve(&mut self, node: usize, life: u64, asker: Asker, call: Call) {
        let failed = call.failure();
        let reply = match call {
            Call::Read(keys) => Reply::Rows(keys.iter().map(|key| self.table.get(key)).collect()),
            Call::Write(writes) => Reply::Ended(self.table.transact(&writes)),
            Call::Fetch(digest) => self
                .objects
                .get(&digest)
                .map_or(Reply::Failed, |found| Reply::Content(found.clone())),
            Call::Store(manifest) => {
                self.objects.insert(manifest.digest(), manifest);
                Reply::Stored
            }
        };
        if self.nodes[node].life != life {
            return;
        }
        let lost = matches!(reply, Reply::Ended(_)) && self.rng.random_bool(self.faults.lost_answers);
        if lost || !self.reaches_platform(node) {
            self.reply(self.now + TIMEOUT, node, asker, failed);
        } else {
            self.reply(self.now + PLATFORM / 2, node, asker, reply);
        }
    }

    fn reply(&mut self, at: Instant, node: usize, asker: Asker, reply: Reply) {
        let happening = match asker {
            Asker::Member => Happening::Member(reply.into_member()),
            Asker::Proposer => Happening::Proposer(reply.into_proposer()),
        };
        self.schedule(at, node, happening);
    }
}

fn state_zone(nodes: &[Node], node: usize) -> usize {
    nodes[node].zone
}
