//! A small cloud in virtual time.

use core::time::Duration;

use bergamotshift_capacity::prelude::*;
use bergamotshift_core::prelude::*;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

pub const TICK: Duration = Duration::from_secs(15);
pub const DAY: u64 = 24 * 3_600;
const BOOT: Duration = Duration::from_secs(150);
const ZONES: [(&str, u64); 5] = [("a", 900), ("b", 1_000), ("c", 1_050), ("d", 1_200), ("e", 1_000)];
const ON_DEMAND: u64 = 3;

pub fn slot(zone: &str, market: Market) -> Slot {
    Slot::new(name::Zone::new(zone), name::Class::new_static("gpu"), market)
}

/// Zones whose prices differ; on demand costs three times as much. One VM does one unit of work per second.
pub fn offers(zones: usize) -> Vec<Offer> {
    let offer = |(zone, price): (&str, u64), market, factor| Offer {
        slot: slot(zone, market),
        price: Price::from_micros(price * 1_000 * factor),
        rate: 1.0,
    };
    let sold = || ZONES.into_iter().take(zones);
    let reclaimable = sold().map(|zone| offer(zone, Market::Reclaimable, 1));
    let on_demand = sold().map(|zone| offer(zone, Market::OnDemand, ON_DEMAND));
    reclaimable.chain(on_demand).collect()
}

/// A loss of a zone: all its VMs go at `at`, and starts are refused in `refusing` zones for `span`.
#[derive(Clone, Copy, Debug)]
pub struct Loss {
    pub at: u64,
    pub zone: &'static str,
    pub span: u64,
    pub refusing: &'static [&'static str],
}

/// Deferred work that arrives at once.
#[derive(Clone, Copy, Debug)]
pub struct Batch {
    pub at: u64,
    pub deadline: u64,
    pub work: f64,
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub urgent: fn(u64) -> f64,
    pub noise: f64,
    pub zones: usize,
    pub losses: Vec<Loss>,
    pub batches: Vec<Batch>,
    pub span: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Money, in currency units.
    pub cost: f64,
    /// The part of urgent work that found room at once.
    pub in_target: f64,
    /// The part of deferred work that was not done by its deadline.
    pub missed: f64,
    pub starts: u64,
    pub stops: u64,
    /// The cheapest any policy could pay that knows all beforehand; it need not hold anything against losses.
    pub bound: f64,
    /// The same with what carries the loss of any one zone, spread evenly, in parts of VMs and without a start's delay.
    pub spare_bound: f64,
}

struct Machine {
    vm: Vm,
    ready: Instant,
}

struct Cloud {
    machines: Vec<Machine>,
    offers: Vec<Offer>,
    next: u64,
}

impl Cloud {
    fn sold(slot: &Slot, second: u64, losses: &[Loss]) -> bool {
        let refuses = |loss: &&Loss| (loss.at..loss.at + loss.span).contains(&second);
        let zone = slot.zone.as_str();
        !losses.iter().filter(refuses).any(|loss| {
            let gone = loss.zone == zone;
            gone || (slot.reclaimable() && loss.refusing.contains(&zone))
        })
    }

    fn lose(&mut self, zone: &str) -> Vec<Event> {
        let (gone, kept) = core::mem::take(&mut self.machines)
            .into_iter()
            .partition(|machine| machine.vm.slot.zone.as_str() == zone);
        self.machines = kept;
        let gone: Vec<Machine> = gone;
        gone.into_iter()
            .map(|machine| Event::Reclaimed(machine.vm.slot))
            .collect()
    }

    fn start(&mut self, now: Instant, slot: &Slot) {
        self.next += 1;
        let vm = Vm {
            name: name::Vm::new(format!("vm-{:05}", self.next)),
            slot: slot.clone(),
            rate: 1.0,
            phase: Phase::Starting,
        };
        self.machines.push(Machine { vm, ready: now + BOOT });
    }

    fn live(&self) -> f64 {
        let live = |machine: &&Machine| matches!(machine.vm.phase, Phase::Live(_));
        self.machines.iter().filter(live).count() as f64
    }

    fn boot(&mut self, now: Instant) {
        for machine in &mut self.machines {
            if machine.vm.phase == Phase::Starting && now >= machine.ready {
                machine.vm.phase = Phase::Live(now);
            }
            if machine.vm.phase == (Phase::Draining { idle: false }) {
                machine.vm.phase = Phase::Draining { idle: true };
            }
        }
    }

    fn price(&self) -> f64 {
        let price = |machine: &Machine| {
            let offer = self.offers.iter().find(|offer| offer.slot == machine.vm.slot);
            offer.unwrap().price.as_micros() as f64 / 1e6
        };
        self.machines.iter().map(price).sum()
    }
}

/// Replays a scenario with a policy.
pub fn replay(policy: &str, settings: policy::Settings, scenario: &Scenario) -> Figures {
    let mut policy = policy::build(policy, settings).unwrap();
    let mut cloud = Cloud {
        machines: Vec::new(),
        offers: offers(scenario.zones),
        next: 0,
    };
    let mut rng = Pcg64Mcg::new(5);
    let mut figures = Figures::default();
    let (mut asked, mut served, mut drift) = (0.0, 0.0, 0.0_f64);
    let mut waiting: Vec<(Instant, f64)> = Vec::new();
    let prices = || {
        ZONES
            .iter()
            .take(scenario.zones)
            .map(|(_, price)| *price as f64 / 1_000.0)
    };
    let (cheapest, mean) = (
        prices().fold(f64::MAX, f64::min),
        prices().sum::<f64>() / scenario.zones as f64,
    );
    let spread = scenario.zones as f64 / (scenario.zones as f64 - 1.0);
    let hours = TICK.as_secs_f64() / 3_600.0;
    // What runs before the day begins is not measured; the first quarter of an hour fills the fleet.
    let warm = 900;
    for second in (0..scenario.span).step_by(TICK.as_secs() as usize) {
        let now = Instant::from_secs(second);
        for loss in scenario
            .losses
            .iter()
            .filter(|loss| loss.at.next_multiple_of(TICK.as_secs()) == second)
        {
            for event in cloud.lose(loss.zone) {
                policy.event(now, &event);
            }
        }
        cloud.boot(now);
        let batches = scenario
            .batches
            .iter()
            .filter(|batch| batch.at.next_multiple_of(TICK.as_secs()) == second);
        waiting.extend(batches.map(|batch| (Instant::from_secs(batch.deadline), batch.work)));
        drift = drift * 0.8 + rng.random_range(-1.0..1.0) * scenario.noise;
        let urgent = (scenario.urgent)(second) * (1.0 + drift).max(0.0);

        let live = cloud.live();
        let done = work_off(
            now,
            &mut waiting,
            (live - urgent).max(0.0) * TICK.as_secs_f64(),
            &mut figures,
        );
        if second >= warm {
            asked += urgent;
            served += urgent.min(live);
            figures.cost += cloud.price() * hours;
            let deferred = done / 3_600.0;
            figures.bound += (urgent * hours + deferred) * cheapest;
            figures.spare_bound += (urgent * hours * spread).max(urgent * hours + deferred) * mean;
        }

        let deferrable = demand::pace(now, Duration::from_mins(5), waiting.iter().copied());
        let vms: Vec<_> = cloud.machines.iter().map(|machine| machine.vm.clone()).collect();
        let situation = Situation {
            offers: &cloud.offers,
            vms: &vms,
            demand: Demand { urgent, deferrable },
        };
        let actions = policy.plan(now, &situation);
        for action in actions {
            match action {
                Action::Start(slot) if Cloud::sold(&slot, second, &scenario.losses) => {
                    cloud.start(now, &slot);
                    policy.event(now, &Event::Started(slot));
                    figures.starts += 1;
                }
                Action::Start(slot) => policy.event(now, &Event::Refused(slot)),
                Action::Drain(name) => {
                    let machine = cloud.machines.iter_mut().find(|machine| machine.vm.name == name);
                    machine.unwrap().vm.phase = Phase::Draining { idle: false };
                }
                Action::Stop(name) => {
                    cloud.machines.retain(|machine| machine.vm.name != name);
                    figures.stops += 1;
                }
            }
        }
    }
    let work: f64 = scenario.batches.iter().map(|batch| batch.work).sum();
    figures.missed /= work.max(1.0);
    figures.in_target = served / asked;
    figures
}

/// Does deferred work, the earliest deadline first, and counts what its deadline overtakes.
fn work_off(now: Instant, waiting: &mut Vec<(Instant, f64)>, room: f64, figures: &mut Figures) -> f64 {
    waiting.sort_by_key(|(deadline, _)| *deadline);
    let mut left = room;
    for (_, work) in waiting.iter_mut() {
        let step = work.min(left);
        *work -= step;
        left -= step;
    }
    figures.missed += waiting
        .iter()
        .filter(|(deadline, _)| *deadline <= now)
        .map(|(_, work)| *work)
        .sum::<f64>();
    waiting.retain(|(deadline, work)| *work > 1e-6 && *deadline > now);
    room - left
}
