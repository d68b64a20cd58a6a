//! When a deferred job starts.
//!
//! It waits for room that nobody else wants, and no longer than its deadline allows.
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

/// A deferred job that waits to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// When it has to be done.
    pub deadline: Instant,
    /// How long it is expected to take once it has started.
    pub span: Duration,
}

/// How long deferred jobs hold back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The wait of deferred work up to which a service counts as having room.
    pub room: Duration,
    /// What is kept before the deadline, as a part of the expected time.
    pub margin: f64,
    /// The longest time until a job is looked at again.
    pub recheck: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            room: Duration::from_millis(500),
            margin: 0.5,
            recheck: Duration::from_secs(30),
        }
    }
}

/// What a waiting job does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Release {
    /// It starts, with this urgency.
    Start(Urgency),
    /// It is looked at again after this time.
    Wait(Duration),
}

/// Decides on a waiting job.
///
/// Failure: the service is full of more urgent work all day, and a job that always yields never starts. Symptom: it
/// misses its deadline, although it was known for hours. While there is slack it starts only into room; when the
/// slack is used up it starts as normal work, which waits for urgent work alone.
pub fn release(now: Instant, job: Job, gate: &Gate, settings: Settings) -> Release {
    let kept = job.span.mul_f64(1.0 + settings.margin);
    let normal = gate.wait(now, Urgency::Normal);
    let latest = job.deadline - kept - normal;
    if now >= latest {
        return Release::Start(Urgency::Normal);
    }
    let wait = gate.wait(now, Urgency::Deferrable);
    if wait <= settings.room {
        return Release::Start(Urgency::Deferrable);
    }
    let until_room = wait.saturating_sub(settings.room);
    Release::Wait(until_room.min(latest.since(now)).min(settings.recheck))
}
