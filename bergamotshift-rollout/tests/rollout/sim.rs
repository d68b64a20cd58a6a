//! Simulation of a rollout in virtual time.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_rollout::director::Step;
use bergamotshift_rollout::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// Time between two observations of the director.
pub const INTERVAL: Duration = Duration::from_millis(250);

/// Number of intervals until entries receive a directive, and until the director receives an answer.
const LAG: usize = 3;

/// Fault of a new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The version is good.
    None,
    /// The version fails a share of its answers.
    Errors,
    /// The version is several times slower.
    Slow,
    /// The version fails on a single route.
    OneRoute,
    /// The version begins to fail after some seconds.
    Late,
    /// The version fails once more than half of its slots are in use.
    UnderLoad,
}

/// Service and its callers.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub seed: u64,
    /// Requests per second.
    pub rate: f64,
    /// Number of endpoints of each version.
    pub endpoints: usize,
    /// Number of requests that an endpoint runs concurrently.
    pub slots: u32,
    /// Time from the order to its time limit, in seconds.
    pub seconds: u64,
    pub fault: Fault,
    /// Part of the answers that a bad version fails.
    pub share: f64,
    /// Part of the answers that both versions fail for some seconds in the middle.
    pub wave: f64,
    /// Part of each version's endpoints that fail two answers in five.
    pub grey: f64,
}

impl Default for Scenario {
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

/// Result of a rollout.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    pub state: Option<State>,
    /// Time of the report to the operators.
    pub after: Duration,
    /// Number of requests until the time limit, and of those that the new version got.
    pub requests: u32,
    pub exposed: u32,
    /// Time of the 50th bad answer of the new version, and of its last request.
    pub fiftieth: Option<Duration>,
    pub last: Duration,
}

const ROUTES: [u32; 3] = [11, 12, 13];

/// Duration of each answer in seconds, which determines the requests in flight.
const ANSWER_SECONDS: f64 = 0.5;

struct World {
    scenario: Scenario,
    random: Pcg64,
    evidence: Vec<Evidence>,
    summary: Summary,
    bad: u32,
}

/// Runs a rollout to its time limit.
pub fn run(scenario: Scenario) -> Summary {
    let order = Order {
        service: name::Service::new("planner"),
        to: "v2".into(),
        duration: Duration::from_secs(scenario.seconds),
        number: 1,
        era: 0,
    };
    let mut director = Director::new(Settings::default(), order, None);
    let mut world = World {
        scenario,
        random: Pcg64::seed_from_u64(scenario.seed),
        evidence: vec![Evidence::new(1); LAG],
        summary: Summary::default(),
        bad: 0,
    };
    let mut steps: Vec<Step> = Vec::new();
    let intervals = scenario.seconds * 1_000 / INTERVAL.as_millis() as u64;
    for interval in 0..intervals {
        let age = INTERVAL * interval as u32;
        let received = world.evidence[world.evidence.len() - LAG].clone();
        let running = scenario.rate * ANSWER_SECONDS;
        let observation = Observation {
            age,
            evidence: received,
            stable_endpoints: scenario.endpoints,
            canary_endpoints: scenario.endpoints,
            stable_in_flight: if steps.last().is_some_and(|step| step.share >= 1_000) {
                0
            } else {
                running as u32
            },
            slots: scenario.slots,
        };
        let step = director.observe(Instant::ZERO + age, &observation);
        if step.state.is_final() && world.summary.state.is_none() {
            world.summary.state = Some(step.state);
            world.summary.after = age;
            director.set_final_state(step.state);
        }
        steps.push(step);
        let known = steps.len().checked_sub(LAG).map(|index| steps[index]);
        world.serve(age, known);
    }
    world.summary
}

impl World {
    /// Serves the requests of one interval by the directive that the entries know.
    fn serve(&mut self, age: Duration, known: Option<Step>) {
        let mut evidence = self.evidence.last().cloned().unwrap_or_default();
        let (phase, share) = known.map_or((Phase::Canary, 0), |step| (step.phase, step.share));
        let mean = self.scenario.rate * INTERVAL.as_secs_f64();
        let arrivals = mean as u32 + u32::from(self.random.random_bool(mean.fract()));
        for _ in 0..arrivals {
            self.summary.requests += 1;
            let draw = self.random.random_range(0..1_000);
            let is_canary = phase == Phase::Completed || draw < share;
            let (group, running) = self.endpoint(is_canary, phase, share);
            if is_canary {
                self.summary.exposed += 1;
                self.summary.last = age;
            }
            let route = ROUTES[self.random.random_range(0..ROUTES.len())];
            let is_bad = self.is_bad(age, group, route, running);
            if is_bad && is_canary {
                self.bad += 1;
                if self.bad == 50 {
                    self.summary.fiftieth = Some(age);
                }
            }
            let slowdown = if is_canary && self.scenario.fault == Fault::Slow {
                5.0
            } else {
                1.0
            };
            let spread: f64 = self.random.random_range(0.5..2.0);
            if is_bad {
                evidence.record(route, group, Answer::Bad);
            } else {
                evidence.record(route, group, Answer::Latency(spread * slowdown));
                evidence.record(route, group, Answer::Good);
            }
        }
        self.evidence.push(evidence);
    }

    /// Returns the group of the endpoint that answers a request, and the number of requests in flight there.
    fn endpoint(&mut self, is_canary: bool, phase: Phase, share: u16) -> (Group, f64) {
        if !is_canary {
            return (Group::Stable, 0.0);
        }
        let share = f64::from(share) / 1e3;
        let endpoints = match phase {
            Phase::Stress => 1,
            Phase::Canary => ((self.scenario.endpoints as f64 * share) as usize).max(1),
            _ => self.scenario.endpoints,
        };
        let endpoint = self.random.random_range(0..endpoints);
        let running = self.scenario.rate * share * ANSWER_SECONDS / endpoints as f64;
        (Group::canary(endpoint as u64), running)
    }

    fn is_bad(&mut self, age: Duration, group: Group, route: u32, running: f64) -> bool {
        let mut probability: f64 = if route == ROUTES[0] { 0.1 } else { 0.004 };
        let middle = Duration::from_secs(self.scenario.seconds / 3);
        if (middle..middle + Duration::from_secs(3)).contains(&age) {
            probability = probability.max(self.scenario.wave);
        }
        let grey = match group {
            Group::Stable => self.random.random_bool(self.scenario.grey),
            Group::Canary(group) => {
                let mut random = Pcg64::seed_from_u64(self.scenario.seed << 8 | u64::from(group));
                random.random_bool(self.scenario.grey)
            }
        };
        if grey {
            probability = probability.max(0.4);
        }
        let is_faulty = match self.scenario.fault {
            Fault::None | Fault::Slow => false,
            Fault::Errors => true,
            Fault::OneRoute => route == ROUTES[2],
            Fault::Late => age >= Duration::from_secs(3),
            Fault::UnderLoad => running > f64::from(self.scenario.slots) / 2.0,
        };
        if is_faulty && group != Group::Stable {
            probability = probability.max(self.scenario.share);
        }
        self.random.random_bool(probability)
    }
}
