//! Deferred jobs: accepted durably, run by any entry, and fetched or cancelled through any entry.
//!
//! A caller that sends `Prefer: respond-async` gets 202 with the job's path once the job is stored in the table. Every
//! entry scans the table for open jobs on its control thread and runs some of them.

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

/// Path prefix under which jobs are fetched and cancelled; the job's identifier follows.
pub const PATH: &str = "/v1/jobs/";

/// Settings of the scan for deferred jobs and of their runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between two scans for open jobs.
    pub scan_interval: Duration,
    /// Maximum number of jobs that the entry runs at a time; with 0 it does not scan for jobs.
    pub max_running: usize,
    /// Settings of a job's lease and retries.
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
