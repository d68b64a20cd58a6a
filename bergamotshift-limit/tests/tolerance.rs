//! Clients of a server that fails when it rejects too many requests within a second.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::throttle::RateLimit;
use bergamotshift_limit::tolerance::Client;
use bergamotshift_limit::tolerance::Room;
use bergamotshift_limit::tolerance::Tolerance;
use quickcheck::quickcheck;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const SPAN_MS: u64 = 8_000;

/// Time from which the server lets fewer wait.
const SHRINKS_MS: u64 = 3_000;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// What happens at a time.
enum Event {
    /// A client has a request.
    Arrival(usize),
    /// A client learns whether its request was taken.
    Answer(usize, bool),
    /// A request ends at the server.
    End,
}

/// Server and its clients, in virtual time.
struct Model {
    generator: Pcg64Mcg,
    clients: Vec<Tolerance>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    slots: u32,
    tolerated: u32,
    is_announced: bool,
    running: u32,
    /// Numbers of running requests of the last time, which clients see late.
    reported: VecDeque<(u64, u32)>,
    rejections: Vec<u64>,
    served: usize,
}

impl Model {
    fn new(seed: u64, clients: usize) -> Self {
        let mut generator = Pcg64Mcg::seed_from_u64(seed);
        let slots = generator.random_range(4..64);
        let tolerated = generator.random_range(1..20);
        let client = |rank| {
            let tolerance = Tolerance::default();
            tolerance.set_client(Client {
                rank,
                count: clients,
                shift: seed,
                ..Client::default()
            });
            tolerance
        };
        let mut model = Self {
            clients: (0..clients).map(client).collect(),
            generator,
            events: BTreeMap::new(),
            sequence: 0,
            slots,
            tolerated,
            is_announced: true,
            running: 0,
            reported: VecDeque::new(),
            rejections: Vec::new(),
            served: 0,
        };
        for client in 0..clients {
            model.plan(0, 200, Event::Arrival(client));
        }
        model
    }

    fn plan(&mut self, now: u64, within: u64, event: Event) {
        let at = now + self.generator.random_range(1..=within);
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    /// Returns the number of requests that the server takes, of which some wait.
    fn room(&self, now: u64) -> u32 {
        if now < SHRINKS_MS { 2 * self.slots } else { self.slots }
    }

    fn arrive(&mut self, now: u64, client: usize) {
        self.plan(now, 60, Event::Arrival(client));
        let known = self
            .reported
            .iter()
            .rev()
            .find(|(then, _)| now.saturating_sub(*then) >= 250);
        let room = Room {
            running: known.map_or(0, |(_, running)| *running),
            slots: self.slots,
        };
        let tolerance = &self.clients[client];
        // Each answer repeats the announcement.
        if self.is_announced {
            tolerance.update(RateLimit::named(f64::from(self.tolerated), at(now)));
        }
        if tolerance.closed_until(at(now), room).is_some() {
            return;
        }
        tolerance.begin(at(now), room);
        let is_taken = self.running < self.room(now);
        if is_taken {
            self.running += 1;
            self.served += 1;
            self.plan(now, 2_000, Event::End);
        } else {
            self.rejections.push(now);
        }
        self.plan(now, 40, Event::Answer(client, is_taken));
    }

    fn play(&mut self) {
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > SPAN_MS {
                return;
            }
            match event {
                Event::Arrival(client) => self.arrive(now, client),
                Event::Answer(client, is_taken) => self.clients[client].settle(at(now), !is_taken),
                Event::End => self.running -= 1,
            }
            self.reported.push_back((now, self.running));
            while self.reported.front().is_some_and(|(then, _)| now - then > 1_000) {
                self.reported.pop_front();
            }
        }
    }

    /// Returns the largest number of rejections within a second.
    fn worst(&self) -> usize {
        let within = |start: &u64| {
            self.rejections
                .iter()
                .filter(|at| (*start..*start + 1_000).contains(at))
                .count()
        };
        self.rejections.iter().map(within).max().unwrap_or_default()
    }
}

quickcheck! {
    /// Guards against a server that fails because clients that cannot hear each other are rejected too often in a second,
    /// also when it suddenly lets fewer wait.
    fn no_server_rejects_more_than_it_tolerates(seed: u64, clients: u8) -> bool {
        let mut model = Model::new(seed, 1 + usize::from(clients) % 66);
        model.play();
        model.worst() <= model.tolerated as usize && model.served > 0
    }
}

/// Guards against a model that finds nothing: without the announcement the bound is broken.
#[test]
fn the_model_finds_a_server_that_rejects_too_many() {
    let mut model = Model::new(1, 66);
    model.is_announced = false;
    model.play();
    assert!(model.worst() > model.tolerated as usize);
}

fn client(rank: usize, count: usize) -> Client {
    Client {
        rank,
        count,
        ..Client::default()
    }
}

/// Guards against clients that go on holding back when the server no longer announces a tolerance.
#[test]
fn the_end_of_the_notice_ends_its_effects() {
    let tolerance = Tolerance::default();
    tolerance.set_client(client(3, 8));
    let full = Room { running: 6, slots: 6 };
    assert_eq!(tolerance.closed_until(at(100), full), None);
    assert!(tolerance.update(RateLimit::named(1.0, at(100))));
    tolerance.begin(at(100), full);
    tolerance.settle(at(110), true);
    assert!(tolerance.closed_until(at(120), full).is_some());
    // An answer to a request that was sent before the notice does not lift it.
    assert!(!tolerance.update(RateLimit::lifted(at(90))));
    assert!(tolerance.update(RateLimit::lifted(at(130))));
    assert_eq!(tolerance.closed_until(at(140), full), None);
}

/// Guards against clients that hold back for good, because they get no answers that could end the notice.
#[test]
fn a_notice_that_is_not_repeated_ends() {
    let tolerance = Tolerance::default();
    let full = Room { running: 6, slots: 6 };
    tolerance.update(RateLimit::named(1.0, at(0)));
    assert!(tolerance.closed_until(at(4_000), full).is_some());
    assert_eq!(tolerance.closed_until(at(6_000), full), None);
}

/// Guards against clients that never get a turn.
#[test]
fn each_client_of_many_gets_a_turn() {
    let half_full = Room { running: 3, slots: 6 };
    for count in [8, 66, 986] {
        for rank in [0, 1, count / 2, count - 1] {
            let tolerance = Tolerance::default();
            tolerance.set_client(client(rank, count));
            let mut open = (0..=count as u64 * 20).map(|step| {
                let now = at(5_000 + 100 * step);
                tolerance.update(RateLimit::named(3.0, now));
                tolerance.closed_until(now, half_full)
            });
            assert!(open.any(|closed| closed.is_none()), "client {rank} of {count}");
        }
    }
}
