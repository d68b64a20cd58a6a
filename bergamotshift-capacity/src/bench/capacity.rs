//! A capacity policy over a day: what it costs, and how much urgent work it keeps in target.

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

/// A day, in seconds.
pub const DAY: u64 = 24 * 3_600;

const TICK: u64 = 15;
const SECONDS_PER_HOUR: f64 = 3_600.0;
const HOURS: f64 = TICK as f64 / SECONDS_PER_HOUR;
/// What runs before the day begins is not measured; this time fills the fleet.
const WARM: u64 = 900;
/// How much of the noise of one tick is left at the next.
const PERSISTENCE: f64 = 0.8;

/// Deferred work that arrives at once; times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Batch {
    /// When it arrives.
    pub at: u64,
    /// When it has to be done.
    pub deadline: u64,
    /// How much it is, in units.
    pub work: f64,
}

/// What a policy is put through.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Urgent work, in units per second, by second.
    pub urgent: fn(u64) -> f64,
    /// The largest change of it by chance, in one tick, as a part of it.
    pub noise: f64,
    /// How many zones sell VMs.
    pub zones: usize,
    /// Zones that are lost.
    pub losses: Vec<Loss>,
    /// Deferred work.
    pub batches: Vec<Batch>,
    /// How long it lasts, in seconds.
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

/// What a policy achieved; money is in currency units.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// What the VMs cost.
    pub cost: f64,
    /// The part of urgent work that found room at once.
    pub in_target: f64,
    /// The part of deferred work that was not done by its deadline.
    pub missed: f64,
    /// VMs bought.
    pub starts: u64,
    /// VMs given back.
    pub stops: u64,
    /// The cheapest that any policy could pay that knows all beforehand, in parts of VMs and without any spare.
    pub bound: f64,
    /// The same with what carries the loss of any one zone, spread evenly.
    pub spare_bound: f64,
}

/// Runs a scenario with the policy of this name, if there is one.
pub fn run(name: &str, settings: policy::Settings, scenario: &Scenario) -> Option<Figures> {
    let mut policy = policy::build(name, settings)?;
    let mut platform = Platform::new(scenario.zones);
    let mut load = Load::new(scenario);
    let mut meter = Meter::new(&platform.offers, scenario.zones);
    for second in (0..scenario.span).step_by(TICK as usize) {
        let now = Instant::from_secs(second);
        for loss in scenario.losses.iter().filter(|loss| due(loss.at, second)) {
            for event in platform.lose(loss.zone) {
                policy.event(now, &event);
            }
        }
        platform.advance(now);
        let urgent = load.advance(second);
        let live = platform.live();
        let done = load.work_off(now, (live - urgent) * TICK as f64);
        if second >= WARM {
            meter.note(urgent, done, live, platform.price());
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

/// Returns whether something that happens at `at` falls on this tick.
const fn due(at: u64, second: u64) -> bool {
    at.next_multiple_of(TICK) == second
}

/// Work as it comes and waits.
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

    /// Lets deferred work arrive, and returns the urgent work of the moment.
    fn advance(&mut self, second: u64) -> f64 {
        let batches = self.scenario.batches.iter().filter(|batch| due(batch.at, second));
        let batches = batches.map(|batch| (Instant::from_secs(batch.deadline), batch.work));
        self.waiting.extend(batches);
        self.drift = self.drift * PERSISTENCE + self.rng.random_range(-1.0..1.0) * self.scenario.noise;
        (self.scenario.urgent)(second) * (1.0 + self.drift).max(0.0)
    }

    fn demand(&self, now: Instant, urgent: f64) -> Demand {
        const LEAST: Duration = Duration::from_mins(5);
        let deferrable = demand::pace(now, LEAST, self.waiting.iter().copied());
        Demand { urgent, deferrable }
    }

    /// Does deferred work, the earliest deadline first, and returns how much was done.
    fn work_off(&mut self, now: Instant, room: f64) -> f64 {
        const DONE: f64 = 1e-6;
        self.waiting.sort_by_key(|(deadline, _)| *deadline);
        let mut left = room.max(0.0);
        for (_, work) in &mut self.waiting {
            let step = work.min(left);
            *work -= step;
            left -= step;
        }
        let late = self.waiting.iter().filter(|(deadline, _)| *deadline <= now);
        self.missed += late.map(|(_, work)| work).sum::<f64>();
        self.waiting.retain(|(deadline, work)| *work > DONE && *deadline > now);
        room.max(0.0) - left
    }
}

/// Adds the figures up.
#[derive(Debug)]
struct Meter {
    figures: Figures,
    asked: f64,
    served: f64,
    cheapest: f64,
    mean: f64,
    /// How many times the urgent work has to be there so that any one zone can go.
    spread: f64,
}

impl Meter {
    fn new(offers: &[Offer], zones: usize) -> Self {
        let reclaimable = || offers.iter().filter(|offer| offer.pool.reclaimable());
        let prices = || reclaimable().map(|offer| market::units(offer.price));
        let zones = zones as f64;
        Self {
            figures: Figures::default(),
            asked: 0.0,
            served: 0.0,
            cheapest: prices().fold(f64::MAX, f64::min),
            mean: prices().sum::<f64>() / zones,
            spread: zones / (zones - 1.0),
        }
    }

    fn note(&mut self, urgent: f64, done: f64, live: f64, price: f64) {
        self.asked += urgent;
        self.served += urgent.min(live);
        let all = urgent * HOURS + done / SECONDS_PER_HOUR;
        self.figures.cost += price * HOURS;
        self.figures.bound += all * self.cheapest;
        self.figures.spare_bound += all.max(urgent * HOURS * self.spread) * self.mean;
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
