//! Deferred jobs: accepted durably, run by any entry, fetched and cancelled through any entry.
//!
//! A caller asks with `Prefer: respond-async` and gets 202 with the job's address once the job is in the table. Every
//! entry looks for open jobs on its control thread and runs some of them.

mod accept;
mod error;
mod run;
mod scan;
mod serve;

use core::time::Duration;

use bergamotshift_claim::job;

pub use self::accept::accept;
pub use self::accept::prefers_async;
pub use self::error::Error;
pub use self::scan::scan;
pub use self::serve::serve;

/// Where jobs are fetched and cancelled; the job's identifier follows.
pub const PATH: &str = "/v1/jobs/";

/// How deferred jobs are found and run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The time between two looks for open jobs.
    pub scan_interval: Duration,
    /// The most jobs that one entry runs at a time; an entry with 0 looks for none.
    pub max_running: usize,
    /// How a job is leased.
    pub runner: job::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            scan_interval: Duration::from_secs(5),
            max_running: 16,
            runner: job::Settings::default(),
        }
    }
}
