//! In which zone deferred jobs wait, and whether they move.
//!
//! Balancers register themselves. They differ in who acts: `push` places a job by what the arrival's entry knows of
//! the zones, `steal` leaves it where it arrived until a zone with room takes it, `local` never moves it. [`DEFAULT`]
//! is the one that the measurements in the decision page speak for.
//!
//! ```
//! use bergamotshift_capacity::steal::{self, View};
//! use bergamotshift_core::prelude::*;
//!
//! let full = View { waiting: 100.0, rate: 10.0, ..View::default() };
//! let idle = View { rate: 10.0, free_slots: 4.0, ..View::default() };
//! let mut thief = steal::build("steal").expect("it registers itself");
//! let theft = thief.steal(1, &[full, idle]).expect("there is something to take");
//! assert_eq!(theft.victim, 0);
//! ```

mod both;
mod local;
mod pull;
mod push;

use core::fmt;

use bergamotshift_core::plugin;
use bergamotshift_core::prelude::*;

/// The name of the balancer that is used unless settings choose another.
pub const DEFAULT: &str = "steal";

/// A deferred job that waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Which job.
    pub id: u64,
    /// Its work, in units, where nothing of it is cached.
    pub work: f64,
    /// How much of that is saved in the zone that has its prompt's prefix cached.
    pub cached_work: f64,
    /// The zone that has it cached, by index.
    pub home: usize,
    /// When it has to be done.
    pub deadline: Instant,
}

impl Job {
    /// Returns the work it takes in a zone.
    pub fn work_in(&self, zone: usize) -> f64 {
        if zone == self.home {
            self.work - self.cached_work
        } else {
            self.work
        }
    }
}

/// What is known of a zone, some time late.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct View {
    /// When that was.
    pub as_of: Instant,
    /// Work that waits there, in units.
    pub waiting: f64,
    /// Work that is left of the jobs that run there, in units.
    pub running: f64,
    /// Units of work per second that deferred jobs get there.
    pub rate: f64,
    /// Jobs that could start there at once.
    pub free_slots: f64,
}

impl View {
    /// Returns how long the waiting work lasts, in seconds.
    pub fn wait_seconds(&self) -> f64 {
        self.seconds_for(self.waiting)
    }

    /// Returns how long this much work lasts there, in seconds.
    fn seconds_for(&self, work: f64) -> f64 {
        if work > 0.0 {
            work / self.rate.max(f64::MIN_POSITIVE)
        } else {
            0.0
        }
    }
}

/// A zone's wish to take jobs from another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Theft {
    /// Whose jobs, by index.
    pub victim: usize,
    /// The most jobs to take.
    pub max_jobs: usize,
}

/// Decides where deferred jobs wait.
pub trait Balancer: fmt::Debug {
    /// Returns the zone in which a job that arrived in `origin` waits.
    fn place(&mut self, now: Instant, origin: usize, job: &Job, zones: &[View]) -> usize;

    /// Returns from whom a zone with room takes jobs.
    fn steal(&mut self, thief: usize, zones: &[View]) -> Option<Theft>;

    /// Returns which of the victim's waiting jobs go, by index, in descending order.
    fn select(&self, waiting: &[Job], victim: usize, max_jobs: usize) -> Vec<usize>;
}

/// A balancer that can be chosen by name.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// Makes one.
    pub build: fn() -> Box<dyn Balancer>,
}

impl plugin::Named for Kind {
    fn name(&self) -> &'static str {
        self.name
    }
}

plugin::inventory::collect!(Kind);

/// Makes the balancer of this name, if one registered itself under it.
pub fn build(name: &str) -> Option<Box<dyn Balancer>> {
    plugin::find::<Kind>(name).map(|kind| (kind.build)())
}
