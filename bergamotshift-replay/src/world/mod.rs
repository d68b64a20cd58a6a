//! The replayed world: entries that run the real kernel, engines, VMs and the platform, in virtual time.

mod clock;
mod dispatch;
mod entry;
mod fleet;
mod reclaim;
mod scale;
mod vm;

use core::time::Duration;
use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::quarantine;
use bergamotshift_limit::quarantine::Quarantine;
use bergamotshift_route::Policy;
use bergamotshift_route::flight;
use bergamotshift_route::policy;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashSet;

use crate::error::Error;
use crate::scenario::Fault;
use crate::scenario::Scenario;
use crate::site::Holding;
use crate::site::Site;
use crate::tally::Report;
use crate::tally::Tally;
use crate::workload::Request;
use crate::workload::Workload;
use clock::Agenda;
use clock::Event;
use entry::Entry;
use scale::Scaler;
use vm::Vm;

/// How often an engine reports its load.
const REPORT_EVERY: Duration = Duration::from_millis(500);
/// How late reports and cache events are.
const LAG: Duration = Duration::from_millis(300);
/// How late they are while they are stale.
const STALE_LAG: Duration = Duration::from_secs(10);
/// Share of cache events that are lost, in thousandths.
const LOST_PERMILLE: u64 = 50;
/// The same while they are stale.
const STALE_LOST_PERMILLE: u64 = 500;
/// How often an entry publishes its view.
const PUBLISH_EVERY: Duration = Duration::from_millis(250);

/// A request in progress.
#[derive(Debug)]
struct Task {
    request: Request,
    entry: usize,
    /// Tokens that the caller has received before the present attempt.
    received: u32,
    first: Option<Instant>,
    /// The endpoint of the present attempt.
    vm: Option<usize>,
    flight: Option<flight::Guard>,
    exclude: Vec<key::Endpoint>,
    /// Counts attempts: a step planned for an earlier one is void.
    epoch: u32,
    /// Whether its KV cache travels with it.
    imported: bool,
    /// Whether it runs under suspicion.
    suspect: bool,
    /// When it last ran on an endpoint that crashed; zero for never.
    accused: Instant,
    ended: bool,
}

/// Everything in one run.
pub(crate) struct World {
    scenario: Scenario,
    site: Site,
    workload: Workload,
    policy: Box<dyn Policy>,
    /// Whether the policy holds deferrable work back, so that capacity for it is planned by its deadline.
    defers: bool,
    agenda: Agenda,
    arrivals: std::vec::IntoIter<Request>,
    tasks: Vec<Task>,
    open: usize,
    entries: Vec<Entry>,
    vms: Vec<Vm>,
    scaler: Scaler,
    quarantine: Quarantine,
    quarantine_table: quarantine::Table,
    /// VMs that run a suspect.
    suspects: BTreeSet<usize>,
    /// Crashes up to this moment are explained by a request that is refused by now.
    explained: Instant,
    computed: FxHashSet<u64>,
    rng: Pcg64Mcg,
    tally: Tally,
    closed_zones: Vec<u8>,
    prefix: Vec<u64>,
}

impl World {
    /// Makes the world of a scenario at its start.
    pub fn new(scenario: &Scenario) -> Result<Self, Error> {
        let unknown = || Error::Policy(scenario.policy.clone());
        let policy = policy::build(&scenario.policy).ok_or_else(unknown)?;
        let site = scenario.load.site();
        let workload = scenario.workload();
        let arrivals = workload.draw(scenario.seed);
        let vms = site
            .offers
            .iter()
            .flat_map(|offer| (0..offer.count).map(|_| Vm::new(*offer)))
            .collect();
        let entries = (0..site.entries)
            .map(|number| {
                Entry::new(
                    site.entries,
                    crate::workload::mix(scenario.seed ^ u64::from(number) << 8),
                )
            })
            .collect();
        let rate = fleet::expected_rate(&arrivals);
        let mut world = Self {
            scenario: scenario.clone(),
            policy,
            defers: scenario.policy == policy::DEFAULT,
            agenda: Agenda::default(),
            arrivals: arrivals.into_iter(),
            tasks: Vec::new(),
            open: 0,
            entries,
            vms,
            scaler: Scaler::new(scenario.heat, rate),
            quarantine: Quarantine::new(quarantine::Settings::default()),
            quarantine_table: quarantine::Table::default(),
            suspects: BTreeSet::new(),
            explained: Instant::ZERO,
            computed: FxHashSet::default(),
            rng: Pcg64Mcg::new(u128::from(scenario.seed) << 1 | 1),
            tally: Tally::default(),
            closed_zones: Vec::new(),
            prefix: Vec::new(),
            site,
            workload,
        };
        world.begin();
        Ok(world)
    }

    /// Runs to the end and reports.
    pub fn run(mut self) -> Report {
        let mut end = Instant::ZERO;
        while let Some((now, event)) = self.agenda.next() {
            self.handle(now, event);
            if self.arrivals.len() == 0 && self.open == 0 {
                end = now;
                break;
            }
        }
        if !self.is_elastic() {
            // A fixed fleet is held whatever it does; it is paid for while requests arrive.
            end = Instant::ZERO + self.workload.span;
        }
        let cost = self.vms.iter_mut().map(|vm| vm.settle(end)).sum();
        let hours = self.vms.iter().map(Vm::hours).sum();
        self.tally.report(self.scenario, cost, hours)
    }

    fn begin(&mut self) {
        self.hold_at_start();
        for entry in 0..self.entries.len() {
            self.entries[entry].publish(Instant::ZERO);
            // Entries started at different moments, so they publish at different moments.
            let offset = PUBLISH_EVERY * entry as u32 / self.entries.len() as u32;
            self.agenda.add(Instant::ZERO + offset, Event::Publish { entry });
        }
        self.plan_faults();
        self.agenda.add(Instant::ZERO + scale::TICK, Event::Scale);
        self.plan_arrival();
    }

    fn plan_faults(&mut self) {
        /// Shares of the span, in thousandths; the peak lies between 500 and 670.
        const PEAK: u64 = 550;
        const EARLY: u64 = 300;
        const CALLER_SENDS: u32 = 12;
        let peak = self.scenario.moment(PEAK);
        match self.scenario.fault {
            Fault::Calm | Fault::Stale | Fault::Platform => {}
            Fault::Zone => self.agenda.add(peak, Event::Reclaim { zone: 1 }),
            Fault::TwoWaves => {
                self.agenda.add(peak, Event::Reclaim { zone: 1 });
                self.agenda
                    .add(peak + Duration::from_mins(1), Event::Reclaim { zone: 0 });
            }
            Fault::Poison => {
                let sends_left = CALLER_SENDS;
                self.agenda
                    .add(self.scenario.moment(EARLY), Event::Poison { sends_left });
            }
        }
    }

    /// Returns whether a fault that lasts is under way.
    fn suffers(&self, fault: Fault, now: Instant) -> bool {
        const FROM: u64 = 300;
        const UNTIL: u64 = 633;
        self.scenario.fault == fault && (self.scenario.moment(FROM)..self.scenario.moment(UNTIL)).contains(&now)
    }

    fn plan_arrival(&mut self) {
        if let Some(request) = self.arrivals.as_slice().first() {
            self.agenda.add(request.at, Event::Arrive);
        }
    }

    fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Arrive => self.arrive(now),
            Event::Engine { vm, generation } => self.engine(vm, generation, now),
            Event::Report { vm, life } => self.make_report(vm, life, now),
            Event::Deliver {
                vm,
                life,
                report,
                change,
            } => self.deliver(vm, life, report, change.as_ref(), now),
            Event::Publish { entry } => self.publish(entry, now),
            Event::Send { job } => self.send(job, now),
            Event::Step { job, epoch, action } => self.step(job, epoch, action, now),
            Event::Scale => self.scale(now),
            Event::Ready { vm, life } => self.ready(vm, life, now),
            Event::Learn { vm, life } => self.learn(vm, life, now),
            Event::Cut { vm, life } => self.cut(vm, life, true, now),
            Event::Reclaim { zone } => self.reclaim_zone(zone, now),
            Event::Plan { zone } => self.plan_zone(zone, now),
            Event::Poison { sends_left } => self.poison(sends_left, now),
        }
    }

    fn is_elastic(&self) -> bool {
        self.site.holding == Holding::Elastic
    }
}
