//! Simulation of deferred jobs in zones with changing capacity, which measures their latency and recomputation.

use bergamotshift_core::prelude::*;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::steal;
use crate::steal::Balancer;
use crate::steal::Job;
use crate::steal::View;

/// Number of zones.
pub const ZONES: usize = 4;
/// Number of jobs that a zone runs at once when there is no other work.
pub const SLOTS: f64 = 12.0;
/// Number of jobs in one run.
pub const JOBS: u64 = 2_000;

/// Age of the known states of the zones, in seconds.
const REPORT_LAG: usize = 5;
/// Time span in which jobs arrive, in seconds.
const ARRIVAL_SPAN: u64 = 2_700;
/// Approximate mean work of a job, in seconds.
const MEAN_WORK: f64 = 60.0;
/// Share of a job's work that its home zone has cached.
const CACHED_SHARE: f64 = 0.3;
/// Time from arrival to deadline, in seconds.
const DEADLINE_AFTER: u64 = 900;

/// The arrivals and capacities that a balancer is tested with.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Zone in which a job arrives, as a function of its id.
    pub origin: fn(u64) -> usize,
    /// Slots available to deferred jobs, as a function of second and zone. A zone without slots is lost.
    pub slots: fn(u64, usize) -> f64,
}

/// Results of one or more runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Mean time from arrival to end, in seconds.
    pub mean: f64,
    /// Maximum time from arrival to end, in seconds.
    pub longest: f64,
    /// Number of jobs that ended after their deadline.
    pub missed: u64,
    /// Share of all work that was cached in another zone and computed again.
    pub recomputed: f64,
    /// Number of moves of jobs between zones.
    pub moved: u64,
}

/// Runs the balancer registered as `name` with several seeds, or returns `None` when there is none.
///
/// The mean and the recomputed share are averaged over the runs, the counts are summed, and the longest time is the
/// maximum.
pub fn average(case: &Case, name: &str, seeds: u64) -> Option<Figures> {
    let runs = (0..seeds).map(|seed| Some(Simulation::new(case, Some(steal::build(name)?), seed).run()));
    runs.sum()
}

/// Runs several seeds with one shared queue, from which every zone takes jobs as if it had all prompts cached.
///
/// The results are a bound for balancers and are combined as in [`average`].
pub fn bound(case: &Case, seeds: u64) -> Figures {
    (0..seeds).map(|seed| Simulation::new(case, None, seed).run()).sum()
}

impl core::iter::Sum for Figures {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        let (mut sum, mut count) = (Self::default(), 0.0);
        for run in iter {
            sum.mean += run.mean;
            sum.recomputed += run.recomputed;
            sum.longest = sum.longest.max(run.longest);
            sum.missed += run.missed;
            sum.moved += run.moved;
            count += 1.0;
        }
        sum.mean /= count;
        sum.recomputed /= count;
        sum
    }
}

#[derive(Debug)]
struct Arrival {
    second: u64,
    job: Job,
}

#[derive(Debug)]
struct RunningJob {
    job: Job,
    remaining: f64,
}

#[derive(Debug, Default)]
struct Zone {
    waiting: Vec<Job>,
    running: Vec<RunningJob>,
}

#[derive(Debug)]
struct Simulation<'a> {
    case: &'a Case,
    balancer: Option<Box<dyn Balancer>>,
    /// Jobs by id.
    arrivals: Vec<Arrival>,
    /// Ids of the jobs that have not arrived yet, the latest first.
    pending: Vec<usize>,
    zones: Vec<Zone>,
    /// Queue for all zones, used instead of a balancer.
    shared_queue: Vec<Job>,
    /// Ring buffer of the states of all zones in the last seconds.
    reports: Vec<Vec<View>>,
    figures: Figures,
    /// Number of jobs that have ended.
    ended: u64,
    /// Work of the jobs that have ended, in units.
    work: f64,
}

impl<'a> Simulation<'a> {
    fn new(case: &'a Case, balancer: Option<Box<dyn Balancer>>, seed: u64) -> Self {
        let arrivals = arrivals(case, seed);
        let mut pending: Vec<_> = (0..arrivals.len()).collect();
        pending.sort_by_key(|job| core::cmp::Reverse(arrivals[*job].second));
        Self {
            case,
            balancer,
            arrivals,
            pending,
            zones: (0..ZONES).map(|_| Zone::default()).collect(),
            shared_queue: Vec::new(),
            reports: vec![vec![View::default(); ZONES]; REPORT_LAG],
            figures: Figures::default(),
            ended: 0,
            work: 0.0,
        }
    }

    fn run(mut self) -> Figures {
        let mut second = 0;
        while self.ended < JOBS {
            self.step(second);
            second += 1;
        }
        self.figures.mean /= JOBS as f64;
        self.figures.recomputed /= self.work;
        self.figures
    }

    fn step(&mut self, second: u64) {
        let report_index = second as usize % REPORT_LAG;
        let known = core::mem::take(&mut self.reports[report_index]);
        while let Some(job) = self.pending.pop_if(|job| self.arrivals[*job].second <= second) {
            let job = self.arrivals[job].job;
            self.enqueue(second, job.home, job, &known);
        }
        for zone in 0..ZONES {
            let slots = (self.case.slots)(second, zone);
            if slots <= 0.0 {
                self.lose_zone(second, zone, &known);
            }
            let free = (slots - self.zones[zone].running.len() as f64).max(0.0) as usize;
            self.steal(zone, free, &known);
            self.start(zone, free);
        }
        self.work_off(second + 1);
        self.reports[report_index] = (0..ZONES).map(|zone| self.report(second, zone)).collect();
    }

    /// Adds a job to the queue of a zone, or to the shared queue when there is no balancer.
    fn enqueue(&mut self, second: u64, origin: usize, job: Job, known: &[View]) {
        let Some(balancer) = &mut self.balancer else {
            self.shared_queue.push(job);
            return;
        };
        let zone = balancer.place(Instant::from_secs(second), origin, &job, known);
        self.figures.moved += u64::from(zone != origin);
        self.zones[zone].waiting.push(job);
    }

    /// Enqueues the jobs of a lost zone again, with the next zone as their origin.
    fn lose_zone(&mut self, second: u64, zone: usize, known: &[View]) {
        let lost = core::mem::take(&mut self.zones[zone]);
        let running = lost.running.into_iter().map(|run| run.job);
        for job in running.chain(lost.waiting) {
            self.enqueue(second, (zone + 1) % ZONES, job, known);
        }
    }

    /// Lets a zone with more free slots than waiting jobs take jobs from another zone.
    fn steal(&mut self, thief: usize, free: usize, known: &[View]) {
        let unused_slots = free.saturating_sub(self.zones[thief].waiting.len());
        let Some(balancer) = self.balancer.as_mut().filter(|_| unused_slots > 0) else {
            return;
        };
        let mut views = known.to_vec();
        views[thief].free_slots = unused_slots as f64;
        let Some(theft) = balancer.steal(thief, &views) else {
            return;
        };
        let victim = &mut self.zones[theft.victim].waiting;
        let taken = balancer.select(victim, theft.victim, theft.max_jobs);
        self.figures.moved += taken.len() as u64;
        let jobs: Vec<_> = taken.into_iter().map(|job| victim.remove(job)).collect();
        self.zones[thief].waiting.extend(jobs);
    }

    /// Starts jobs by deadline, from the zone's queue or else from the shared queue.
    fn start(&mut self, index: usize, free: usize) {
        let zone = &mut self.zones[index];
        zone.waiting.sort_by_key(|job| job.deadline);
        self.shared_queue.sort_by_key(|job| job.deadline);
        for _ in 0..free {
            let shared = zone.waiting.is_empty();
            let queue = if shared {
                &mut self.shared_queue
            } else {
                &mut zone.waiting
            };
            if queue.is_empty() {
                return;
            }
            let job = queue.remove(0);
            let remaining = job.work_in(if shared { job.home } else { index });
            self.figures.recomputed += remaining - job.work_in(job.home);
            zone.running.push(RunningJob { job, remaining });
        }
    }

    fn work_off(&mut self, second: u64) {
        for zone in &mut self.zones {
            for run in &mut zone.running {
                run.remaining -= 1.0;
            }
            for run in zone.running.extract_if(.., |run| run.remaining <= 0.0) {
                let took = (second - self.arrivals[run.job.id as usize].second) as f64;
                self.figures.mean += took;
                self.figures.longest = self.figures.longest.max(took);
                self.figures.missed += u64::from(Instant::from_secs(second) > run.job.deadline);
                self.work += run.job.work;
                self.ended += 1;
            }
        }
    }

    fn report(&self, second: u64, index: usize) -> View {
        let zone = &self.zones[index];
        View {
            as_of: Instant::from_secs(second + 1),
            waiting: zone.waiting.iter().map(|job| job.work_in(index)).sum(),
            running: zone.running.iter().map(|run| run.remaining).sum(),
            rate: (self.case.slots)(second, index),
            free_slots: 0.0,
        }
    }
}

fn arrivals(case: &Case, seed: u64) -> Vec<Arrival> {
    // The generator drops the lowest bit of its seed.
    let mut rng = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
    let arrival = |id| {
        let second = rng.random_range(0..ARRIVAL_SPAN);
        let work = 1.0 - MEAN_WORK * (1.0 - rng.random::<f64>()).ln();
        let job = Job {
            id,
            work,
            cached_work: work * CACHED_SHARE,
            home: (case.origin)(id),
            deadline: Instant::from_secs(second + DEADLINE_AFTER),
        };
        Arrival { second, job }
    };
    (0..JOBS).map(arrival).collect()
}
