//! A service whose new version is rolled out, in virtual time.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_rollout::director::Step;
use bergamotshift_rollout::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// The time between two looks of the director.
pub const LOOK: Duration = Duration::from_millis(250);

/// How many looks pass until entries heard of a directive, and until the director heard of an answer.
const LAG: usize = 3;

/// How a new version is bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// It is sound.
    None,
    /// It fails a share of its answers.
    Errors,
    /// It is several times slower.
    Slow,
    /// It fails on one route alone.
    OneRoute,
    /// It begins to fail after some seconds.
    Late,
    /// It fails once more than half of its places are taken.
    UnderLoad,
}

/// A service and its callers.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    pub seed: u64,
    /// Requests a second.
    pub rate: f64,
    /// Endpoints of each version.
    pub endpoints: usize,
    /// Requests that an endpoint runs at once.
    pub slots: u32,
    /// Seconds from the order to its time limit.
    pub seconds: u64,
    pub fault: Fault,
    /// The part of the answers that a bad version fails.
    pub share: f64,
    /// The part of the answers that both versions fail for some seconds in the middle.
    pub wave: f64,
    /// The part of each version's endpoints that fail two answers in five.
    pub grey: f64,
}

impl Default for Scene {
    fn default() -> Self {
        Self {
            seed: 1,
            rate: 150.0,
            endpoints: 20,
            slots: 16,
            seconds: 14,
            fault: Fault::None,
            share: 0.45,
            wave: 0.0,
            grey: 0.0,
        }
    }
}

/// What came of a rollout.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ending {
    pub state: Option<State>,
    /// When the operators were told.
    pub after: Duration,
    /// Requests of the service until the time limit, and those that the new version got.
    pub requests: u32,
    pub exposed: u32,
    /// When the new version gave its 50th bad answer, and when it got its last request.
    pub fiftieth: Option<Duration>,
    pub last: Duration,
}

const ROUTES: [u32; 3] = [11, 12, 13];

/// Each answer takes this many seconds, so that endpoints have requests under way.
const TAKES: f64 = 0.5;

struct World {
    scene: Scene,
    random: Pcg64,
    evidence: Vec<Evidence>,
    ending: Ending,
    bad: u32,
}

/// Plays a rollout to its time limit.
pub fn play(scene: Scene) -> Ending {
    let order = Order {
        service: name::Service::new("planner"),
        to: "v2".into(),
        duration: Duration::from_secs(scene.seconds),
        number: 1,
    };
    let mut director = Director::new(Settings::default(), order, None);
    let mut world = World {
        scene,
        random: Pcg64::seed_from_u64(scene.seed),
        evidence: vec![Evidence::new(1); LAG],
        ending: Ending::default(),
        bad: 0,
    };
    let mut steps: Vec<Step> = Vec::new();
    let looks = scene.seconds * 1_000 / LOOK.as_millis() as u64;
    for look in 0..looks {
        let age = LOOK * look as u32;
        let heard = world.evidence[world.evidence.len() - LAG].clone();
        let running = scene.rate * TAKES;
        let observation = Observation {
            age,
            evidence: heard,
            stable_endpoints: scene.endpoints,
            canary_endpoints: scene.endpoints,
            stable_in_flight: if steps.last().is_some_and(|step| step.share >= 1_000) {
                0
            } else {
                running as u32
            },
            slots: scene.slots,
        };
        let step = director.observe(Instant::ZERO + age, &observation);
        if step.state.is_final() && world.ending.state.is_none() {
            world.ending.state = Some(step.state);
            world.ending.after = age;
            director.set_final_state(step.state);
        }
        steps.push(step);
        let known = steps.len().checked_sub(LAG).map(|place| steps[place]);
        world.serve(age, known);
    }
    world.ending
}

impl World {
    /// Serves the requests of one look by what the entries know.
    fn serve(&mut self, age: Duration, known: Option<Step>) {
        let mut evidence = self.evidence.last().cloned().unwrap_or_default();
        let (phase, share) = known.map_or((Phase::Canary, 0), |step| (step.phase, step.share));
        let mean = self.scene.rate * LOOK.as_secs_f64();
        let arrivals = mean as u32 + u32::from(self.random.random_bool(mean.fract()));
        for _ in 0..arrivals {
            self.ending.requests += 1;
            let place = self.random.random_range(0..1_000);
            let is_canary = phase == Phase::Completed || place < share;
            let (group, running) = self.endpoint(is_canary, phase, share);
            if is_canary {
                self.ending.exposed += 1;
                self.ending.last = age;
            }
            let route = ROUTES[self.random.random_range(0..ROUTES.len())];
            let is_bad = self.is_bad(age, group, route, running);
            if is_bad && is_canary {
                self.bad += 1;
                if self.bad == 50 {
                    self.ending.fiftieth = Some(age);
                }
            }
            let slower = if is_canary && self.scene.fault == Fault::Slow {
                5.0
            } else {
                1.0
            };
            let spread: f64 = self.random.random_range(0.5..2.0);
            if is_bad {
                evidence.record(route, group, Answer::Bad);
            } else {
                evidence.record(route, group, Answer::Latency(spread * slower));
                evidence.record(route, group, Answer::Good);
            }
        }
        self.evidence.push(evidence);
    }

    /// Returns who answers a request, and how many requests that endpoint has under way.
    fn endpoint(&mut self, is_canary: bool, phase: Phase, share: u16) -> (Group, f64) {
        if !is_canary {
            return (Group::Stable, 0.0);
        }
        let share = f64::from(share) / 1e3;
        let endpoints = match phase {
            Phase::Stress => 1,
            Phase::Canary => ((self.scene.endpoints as f64 * share) as usize).max(1),
            _ => self.scene.endpoints,
        };
        let one = self.random.random_range(0..endpoints);
        let running = self.scene.rate * share * TAKES / endpoints as f64;
        (Group::canary(one as u64), running)
    }

    fn is_bad(&mut self, age: Duration, group: Group, route: u32, running: f64) -> bool {
        let mut chance: f64 = if route == ROUTES[0] { 0.1 } else { 0.004 };
        let middle = Duration::from_secs(self.scene.seconds / 3);
        if (middle..middle + Duration::from_secs(3)).contains(&age) {
            chance = chance.max(self.scene.wave);
        }
        let grey = match group {
            Group::Stable => self.random.random_bool(self.scene.grey),
            Group::Canary(one) => {
                let mut luck = Pcg64::seed_from_u64(self.scene.seed << 8 | u64::from(one));
                luck.random_bool(self.scene.grey)
            }
        };
        if grey {
            chance = chance.max(0.4);
        }
        let is_faulty = match self.scene.fault {
            Fault::None | Fault::Slow => false,
            Fault::Errors => true,
            Fault::OneRoute => route == ROUTES[2],
            Fault::Late => age >= Duration::from_secs(3),
            Fault::UnderLoad => running > f64::from(self.scene.slots) / 2.0,
        };
        if is_faulty && group != Group::Stable {
            chance = chance.max(self.scene.share);
        }
        self.random.random_bool(chance)
    }
}
