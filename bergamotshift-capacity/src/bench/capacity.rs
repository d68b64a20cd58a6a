//! Simulation of a capacity policy over a day, which measures its cost and the urgent work kept in target.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::market;
use super::market::Loss;
use super::platform::Platform;
use crate::demand;
use crate::demand::Demand;
use crate::market::Offer;
use crate::policy;
use crate::policy::Situation;

/// Length of a day, in seconds.
pub const DAY: u64 = 24 * 3_600;

const TICK: u64 = 15;
const SECONDS_PER_HOUR: f64 = 3_600.0;
const TICK_HOURS: f64 = TICK as f64 / SECONDS_PER_HOUR;
/// Time at the start of a run in which the fleet is built up and nothing is measured, in seconds.
const WARM_UP: u64 = 900;
/// Share of the noise of one tick that carries over to the next.
const NOISE_PERSISTENCE: f64 = 0.8;

/// A batch of deferred work that arrives at once. Times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Batch {
    /// Time of arrival.
    pub at: u64,
    /// Time by which the work has to be done.
    pub deadline: u64,
    /// Amount of work, in units.
    pub work: f64,
}

/// The load and the losses that a policy is tested with.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Urgent work in units per second, as a function of the time in seconds.
    pub urgent: fn(u64) -> f64,
    /// Maximum random change of the urgent work in one tick, as a share of it.
    pub noise: f64,
    /// Number of zones that sell VMs.
    pub zones: usize,
    /// Losses of zones.
    pub losses: Vec<Loss>,
    /// Batches of deferred work.
    pub batches: Vec<Batch>,
    /// Duration of the run, in seconds.
    pub span: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            urgent: |_| 1.5,
            noise: 0.05,
            zones: 4,
            losses: Vec::new(),
            batches: Vec::new(),
            span: DAY,
        }
    }
}

/// Results of a run. Costs are in currency units.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Cost of the VMs.
    pub cost: f64,
    /// Share of urgent work for which there was capacity at once.
    pub in_target: f64,
    /// Share of deferred work that was not done by its deadline.
    pub missed: f64,
    /// Number of VMs bought.
    pub starts: u64,
    /// Number of VMs given back.
    pub stops: u64,
    /// Lower bound of the cost with perfect foresight, fractional VMs and no spare capacity.
    pub bound: f64,
    /// Same as `bound`, but with the capacity to survive the loss of any one zone, spread evenly over the zones.
    pub spare_bound: f64,
}

/// Runs a scenario with the policy registered as `name`, or returns `None` when there is none.
pub fn run(name: &str, settings: policy::Settings, scenario: &Scenario) -> Option<Figures> {
    let mut policy = policy::build(name, settings)?;
    let mut platform = Platform::new(scenario.zones);
    let mut load = Load::new(scenario);
    let mut meter = Meter::new(&platform.offers, scenario.zones);
    for second in (0..scenario.span).step_by(TICK as usize) {
        let now = Instant::from_secs(second);
        for loss in scenario.losses.iter().filter(|loss| due(loss.at, second)) {
            for event in platform.lose_zone(loss.zone) {
                policy.event(now, &event);
            }
        }
        platform.advance(now);
        let urgent = load.advance(second);
        let live = platform.live();
        let done = load.work_off(now, (live - urgent) * TICK as f64);
        if second >= WARM_UP {
            meter.record(urgent, done, live, platform.price());
        }
        let situation = Situation {
            offers: &platform.offers,
            vms: &platform.vms,
            demand: load.demand(now, urgent),
        };
        for action in policy.plan(now, &situation) {
            if let Some(event) = platform.carry_out(now, action, &scenario.losses) {
                policy.event(now, &event);
            }
        }
    }
    Some(meter.figures(&platform, &load))
}

/// Returns whether an event at time `at` falls on the tick at `second`.
const fn due(at: u64, second: u64) -> bool {
    at.next_multiple_of(TICK) == second
}

/// Generator of urgent work and queue of deferred work.
#[derive(Debug)]
struct Load<'a> {
    scenario: &'a Scenario,
    rng: Pcg64Mcg,
    drift: f64,
    waiting: Vec<(Instant, f64)>,
    missed: f64,
}

impl<'a> Load<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        const SEED: u128 = 5;
        Self {
            scenario,
            rng: Pcg64Mcg::new(SEED),
            drift: 0.0,
            waiting: Vec::new(),
            missed: 0.0,
        }
    }

    /// Adds deferred work that has arrived, and returns the current urgent work.
    fn advance(&mut self, second: u64) -> f64 {
        let batches = self.scenario.batches.iter().filter(|batch| due(batch.at, second));
        let batches = batches.map(|batch| (Instant::from_secs(batch.deadline), batch.work));
        self.waiting.extend(batches);
        self.drift = self.drift * NOISE_PERSISTENCE + self.rng.random_range(-1.0..1.0) * self.scenario.noise;
        (self.scenario.urgent)(second) * (1.0 + self.drift).max(0.0)
    }

    fn demand(&self, now: Instant, urgent: f64) -> Demand {
        const MIN_REMAINING: Duration = Duration::from_mins(5);
        let deferrable = demand::required_rate(now, MIN_REMAINING, self.waiting.iter().copied());
        Demand { urgent, deferrable }
    }

    /// Does up to `capacity` units of deferred work, the earliest deadline first, and returns the amount done.
    fn work_off(&mut self, now: Instant, capacity: f64) -> f64 {
        const DONE: f64 = 1e-6;
        self.waiting.sort_by_key(|(deadline, _)| *deadline);
        let mut left = capacity.max(0.0);
        for (_, work) in &mut self.waiting {
            let step = work.min(left);
            *work -= step;
            left -= step;
        }
        let late = self.waiting.iter().filter(|(deadline, _)| *deadline <= now);
        self.missed += late.map(|(_, work)| work).sum::<f64>();
        self.waiting.retain(|(deadline, work)| *work > DONE && *deadline > now);
        capacity.max(0.0) - left
    }
}

/// Accumulator of the figures.
#[derive(Debug)]
struct Meter {
    figures: Figures,
    asked: f64,
    served: f64,
    cheapest: f64,
    mean: f64,
    /// Factor by which capacity has to exceed the urgent work so that any one zone can be lost.
    redundancy: f64,
}

impl Meter {
    fn new(offers: &[Offer], zones: usize) -> Self {
        let reclaimable = || offers.iter().filter(|offer| offer.pool.reclaimable());
        let prices = || reclaimable().map(|offer| market::currency_units(offer.price));
        let zones = zones as f64;
        Self {
            figures: Figures::default(),
            asked: 0.0,
            served: 0.0,
            cheapest: prices().fold(f64::MAX, f64::min),
            mean: prices().sum::<f64>() / zones,
            redundancy: zones / (zones - 1.0),
        }
    }

    fn record(&mut self, urgent: f64, done: f64, live: f64, price: f64) {
        self.asked += urgent;
        self.served += urgent.min(live);
        let all = urgent * TICK_HOURS + done / SECONDS_PER_HOUR;
        self.figures.cost += price * TICK_HOURS;
        self.figures.bound += all * self.cheapest;
        self.figures.spare_bound += all.max(urgent * TICK_HOURS * self.redundancy) * self.mean;
    }

    fn figures(self, platform: &Platform, load: &Load<'_>) -> Figures {
        let deferred: f64 = load.scenario.batches.iter().map(|batch| batch.work).sum();
        Figures {
            in_target: self.served / self.asked,
            missed: if deferred > 0.0 { load.missed / deferred } else { 0.0 },
            starts: platform.starts,
            stops: platform.stops,
            ..self.figures
        }
    }
}
