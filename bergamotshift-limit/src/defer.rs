//! Start times of deferred jobs.
//!
//! A deferred job waits for spare capacity, but no longer than its deadline allows.
//!
//! ```
//! use bergamotshift_core::prelude::*;
//! use bergamotshift_limit::admission::{self, Gate};
//! use bergamotshift_limit::defer::{Job, Release, Settings, release};
//! use core::time::Duration;
//!
//! let gate = Gate::new(admission::Settings::default());
//! gate.set(Instant::ZERO, 1_000.0, [Duration::ZERO; 3], 1.0);
//! let rebuild = Job { deadline: Instant::from_secs(3_600), span: Duration::from_secs(60) };
//! assert_eq!(release(Instant::ZERO, rebuild, &gate, Settings::default()), Release::Start(Urgency::Deferrable));
//! ```

use core::time::Duration;

use bergamotshift_core::prelude::*;

use crate::admission::Gate;

/// Deferred job that has not started yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Time by which the job has to be done.
    pub deadline: Instant,
    /// Expected run time of the job.
    pub span: Duration,
}

/// Parameters for the release of deferred jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Longest wait of deferrable work at which a service counts as having spare capacity.
    pub max_wait: Duration,
    /// Reserve before the deadline, as a fraction of the expected run time.
    pub margin: f64,
    /// Longest time until a job is checked again.
    pub recheck: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_wait: Duration::from_millis(500),
            margin: 0.5,
            recheck: Duration::from_secs(30),
        }
    }
}

/// Decision on a waiting job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Release {
    /// The job starts now with this urgency.
    Start(Urgency),
    /// The job is checked again after this time.
    Wait(Duration),
}

/// Decides whether a waiting job starts.
///
/// While there is slack before its deadline, the job starts only if the service has spare capacity. A job that always
/// yields would miss its deadline on a service that is full of more urgent work, so when the slack is used up, the job
/// starts with normal urgency and waits only for urgent work.
pub fn release(now: Instant, job: Job, gate: &Gate, settings: Settings) -> Release {
    let reserve = job.span.mul_f64(1.0 + settings.margin);
    let normal = gate.wait(now, Urgency::Normal);
    let latest = job.deadline - reserve - normal;
    if now >= latest {
        return Release::Start(Urgency::Normal);
    }
    let wait = gate.wait(now, Urgency::Deferrable);
    if wait <= settings.max_wait {
        return Release::Start(Urgency::Deferrable);
    }
    let until_spare = wait.saturating_sub(settings.max_wait);
    Release::Wait(until_spare.min(latest.since(now)).min(settings.recheck))
}
