//! Balancing of deferred jobs between zones.
//!
//! Balancers register themselves by name. `push` places a job on arrival, based on what the receiving entry knows of
//! the zones. `steal` leaves a job where it arrived until a zone with free slots takes it. `local` never moves a job.
//! [`DEFAULT`] is the balancer that the measurements favour.
//!
//! ```
//! use bergamotshift_capacity::steal::{self, View};
//! use bergamotshift_core::prelude::*;
//!
//! let full = View { waiting: 100.0, rate: 10.0, ..View::default() };
//! let idle = View { rate: 10.0, free_slots: 4.0, ..View::default() };
//! let mut balancer = steal::build("steal").expect("the balancer is registered");
//! let theft = balancer.steal(1, &[full, idle]).expect("zone 0 has waiting jobs");
//! assert_eq!(theft.victim, 0);
//! ```

mod both;
mod local;
mod pull;
mod push;

use core::fmt;

use bergamotshift_core::plugin;
use bergamotshift_core::prelude::*;

/// Name of the default balancer.
pub const DEFAULT: &str = "steal";

/// A waiting deferred job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Id of the job.
    pub id: u64,
    /// Work of the job when nothing is cached, in units.
    pub work: f64,
    /// Part of the work that is saved in the zone that has the prompt's prefix cached, in units.
    pub cached_work: f64,
    /// Index of the zone that has the prompt's prefix cached.
    pub home: usize,
    /// Time by which the job has to be done.
    pub deadline: Instant,
}

impl Job {
    /// Returns the work that the job takes in a zone.
    pub fn work_in(&self, zone: usize) -> f64 {
        if zone == self.home {
            self.work - self.cached_work
        } else {
            self.work
        }
    }
}

/// State of a zone at an earlier time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct View {
    /// Time of the state.
    pub as_of: Instant,
    /// Work of the waiting jobs, in units.
    pub waiting: f64,
    /// Remaining work of the running jobs, in units.
    pub running: f64,
    /// Capacity for deferred jobs, in units of work per second.
    pub rate: f64,
    /// Number of jobs that could start at once.
    pub free_slots: f64,
}

impl View {
    /// Returns the time that the waiting work takes, in seconds.
    pub fn wait_seconds(&self) -> f64 {
        self.seconds_for(self.waiting)
    }

    /// Returns the time that `work` units take in the zone, in seconds.
    fn seconds_for(&self, work: f64) -> f64 {
        if work > 0.0 {
            work / self.rate.max(f64::MIN_POSITIVE)
        } else {
            0.0
        }
    }
}

/// A decision of one zone to take jobs from another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Theft {
    /// Index of the zone to take jobs from.
    pub victim: usize,
    /// Maximum number of jobs to take.
    pub max_jobs: usize,
}

/// A strategy that decides in which zone deferred jobs wait.
pub trait Balancer: fmt::Debug {
    /// Returns the zone in which a job that arrived in zone `origin` waits.
    fn place(&mut self, now: Instant, origin: usize, job: &Job, zones: &[View]) -> usize;

    /// Returns the theft that zone `thief` with free slots should make, if any.
    fn steal(&mut self, thief: usize, zones: &[View]) -> Option<Theft>;

    /// Returns the indices of the victim's waiting jobs to take, in descending order.
    fn select(&self, waiting: &[Job], victim: usize, max_jobs: usize) -> Vec<usize>;
}

/// The descriptor under which a balancer is registered.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Name that selects the balancer in the settings.
    pub name: &'static str,
    /// Constructor of the balancer.
    pub build: fn() -> Box<dyn Balancer>,
}

impl plugin::Named for Kind {
    fn name(&self) -> &'static str {
        self.name
    }
}

plugin::inventory::collect!(Kind);

/// Builds the balancer registered as `name`, or returns `None` when there is none.
pub fn build(name: &str) -> Option<Box<dyn Balancer>> {
    plugin::find::<Kind>(name).map(|kind| (kind.build)())
}
