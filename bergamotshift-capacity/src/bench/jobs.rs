//! Deferred jobs in zones whose room changes: how long they take, and what is computed a second time.

use bergamotshift_core::prelude::*;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::steal;
use crate::steal::Balancer;
use crate::steal::Job;
use crate::steal::View;

/// How many zones there are.
pub const ZONES: usize = 4;
/// How many jobs a zone runs at once when nothing else does.
pub const SLOTS: f64 = 12.0;
/// How many jobs one run has.
pub const JOBS: u64 = 2_000;

/// How old figures of other zones are, in seconds.
const REPORT_LAG: usize = 5;
/// The time in which jobs arrive, in seconds.
const ARRIVAL_SPAN: u64 = 2_700;
/// The mean work of a job, in seconds.
const MEAN_WORK: f64 = 60.0;
/// The part of a job's work that its home zone has cached.
const CACHED_SHARE: f64 = 0.3;
/// From arrival to deadline, in seconds.
const DEADLINE_AFTER: u64 = 900;

/// What balancers are put through.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// The zone in which a job arrives, by its number.
    pub origin: fn(u64) -> usize,
    /// Slots left to deferred jobs, by second and zone; a zone without any is lost.
    pub room: fn(u64, usize) -> f64,
}

/// What became of the jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Seconds from arrival to end, on average.
    pub mean: f64,
    /// Seconds from arrival to end, at most.
    pub longest: f64,
    /// Jobs that ended after their deadline.
    pub missed: u64,
    /// The part of all work that was cached elsewhere and computed a second time.
    pub recomputed: f64,
    /// How many times a job moved between zones.
    pub moved: u64,
}

/// Averages several seeds with the balancer of this name, if there is one; the longest and the counts are of all runs.
pub fn average(case: &Case, name: &str, seeds: u64) -> Option<Figures> {
    let runs = (0..seeds).map(|seed| Some(Simulation::new(case, Some(steal::build(name)?), seed).run()));
    runs.sum()
}

/// Averages several seeds with one queue, from which every zone takes at once as if it had everything cached.
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
    /// Jobs by number, and the numbers in the order of their arrival.
    arrivals: Vec<Arrival>,
    pending: Vec<usize>,
    zones: Vec<Zone>,
    shared_queue: Vec<Job>,
    reports: Vec<Vec<View>>,
    figures: Figures,
    ended: u64,
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
        let slot = second as usize % REPORT_LAG;
        let known = core::mem::take(&mut self.reports[slot]);
        while let Some(job) = self.pending.pop_if(|job| self.arrivals[*job].second <= second) {
            let job = self.arrivals[job].job;
            self.enqueue(second, job.home, job, &known);
        }
        for zone in 0..ZONES {
            let room = (self.case.room)(second, zone);
            if room <= 0.0 {
                self.lose_zone(second, zone, &known);
            }
            let free = (room - self.zones[zone].running.len() as f64).max(0.0) as usize;
            self.steal(zone, free, &known);
            self.start(zone, free);
        }
        self.work_off(second + 1);
        self.reports[slot] = (0..ZONES).map(|zone| self.report(second, zone)).collect();
    }

    /// Puts a job into a queue.
    fn enqueue(&mut self, second: u64, origin: usize, job: Job, known: &[View]) {
        let Some(balancer) = &mut self.balancer else {
            self.shared_queue.push(job);
            return;
        };
        let zone = balancer.place(Instant::from_secs(second), origin, &job, known);
        self.figures.moved += u64::from(zone != origin);
        self.zones[zone].waiting.push(job);
    }

    /// Lets the jobs of a lost zone start anew from the next one.
    fn lose_zone(&mut self, second: u64, zone: usize, known: &[View]) {
        let lost = core::mem::take(&mut self.zones[zone]);
        let running = lost.running.into_iter().map(|run| run.job);
        for job in running.chain(lost.waiting) {
            self.enqueue(second, (zone + 1) % ZONES, job, known);
        }
    }

    /// Lets a zone with more room than jobs take some from another.
    fn steal(&mut self, thief: usize, free: usize, known: &[View]) {
        let room = free.saturating_sub(self.zones[thief].waiting.len());
        let Some(balancer) = self.balancer.as_mut().filter(|_| room > 0) else {
            return;
        };
        let mut views = known.to_vec();
        views[thief].free_slots = room as f64;
        let Some(theft) = balancer.steal(thief, &views) else {
            return;
        };
        let victim = &mut self.zones[theft.victim].waiting;
        let taken = balancer.select(victim, theft.victim, theft.max_jobs);
        self.figures.moved += taken.len() as u64;
        let jobs: Vec<_> = taken.into_iter().map(|job| victim.remove(job)).collect();
        self.zones[thief].waiting.extend(jobs);
    }

    /// Starts jobs by deadline, from the zone's queue or from the one for all.
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
            rate: (self.case.room)(second, index),
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
