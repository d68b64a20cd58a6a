//! When requests are meant to start, whatever the answers do.
//!
//! An open loop does not wait for answers: a slow system meets the same arrivals as a fast one, and latency counts
//! from the intended start.

use core::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;

/// How arrivals are spread in time at a given mean rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Process {
    /// One every period.
    #[default]
    Constant,
    /// Exponential gaps, as from many independent callers.
    Poisson,
    /// Groups that arrive together, with constant gaps between the groups.
    Bursts {
        /// Requests in a group.
        size: u32,
    },
}

/// The intended start times of a run, as offsets from its start; endless.
///
/// ```
/// use bergamotshift_load::arrival::{Arrivals, Process};
///
/// let times: Vec<_> = Arrivals::new(Process::Bursts { size: 2 }, 4.0, 1).take(4).collect();
/// assert_eq!(times.iter().map(|time| time.as_millis()).collect::<Vec<_>>(), [0, 0, 500, 500]);
/// ```
#[derive(Clone, Debug)]
pub struct Arrivals {
    process: Process,
    period: f64,
    next: f64,
    count: u64,
    random: Pcg64Mcg,
}

impl Arrivals {
    /// Makes the arrivals of a mean `rate` in requests per second.
    pub fn new(process: Process, rate: f64, seed: u64) -> Self {
        Self {
            process,
            period: 1.0 / rate,
            next: 0.0,
            count: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn gap(&mut self) -> f64 {
        match self.process {
            Process::Constant => self.period,
            Process::Poisson => {
                // In (0, 1], so that the logarithm is finite.
                let uniform = 1.0 - self.random.random::<f64>();
                -uniform.ln() * self.period
            }
            Process::Bursts { size } => {
                let size = u64::from(size.max(1));
                if self.count.is_multiple_of(size) {
                    self.period * size as f64
                } else {
                    0.0
                }
            }
        }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        let time = self.next;
        self.count += 1;
        self.next += self.gap();
        Some(Duration::from_secs_f64(time))
    }
}
