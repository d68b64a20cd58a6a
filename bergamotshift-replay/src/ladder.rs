//! Cost at the latency target: one policy over a ladder of fleets, from roomy to tight.
//!
//! Each rung replays the same requests while the capacity loop plans to use a larger share of the engines' time. Cost
//! falls and latency grows from rung to rung; the cost at the target is that of the cheapest rung that still meets it.

use std::sync::Mutex;

use crate::error::Error;
use crate::scenario::Fault;
use crate::scenario::Load;
use crate::scenario::Scenario;
use crate::tally::Report;

/// The shares of the engines' time that the rungs plan to use.
pub const HEATS: [f64; 8] = [0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0];

/// The share of urgent model requests that must be in target.
pub const TARGET: f64 = 0.95;

/// The share of all requests that may miss their deadline on a rung that meets the target.
pub const MISSES: f64 = 0.001;

/// One policy's rungs, in the order of their heat.
#[derive(Clone, Debug, PartialEq)]
pub struct Ladder {
    /// The policy.
    pub policy: String,
    /// The rungs.
    pub rungs: Vec<Report>,
}

impl Ladder {
    /// Returns the cheapest rung with at least this share of urgent model requests in target and hardly a deadline
    /// missed.
    pub fn at_target(&self, share: f64) -> Option<&Report> {
        let in_time = |rung: &Report| rung.deadline_misses as f64 <= MISSES * rung.requests as f64;
        let met = self
            .rungs
            .iter()
            .filter(|rung| rung.urgent_model_in_target >= share && in_time(rung));
        met.min_by(|left, right| left.cost_per_million.total_cmp(&right.cost_per_million))
    }
}

/// What a comparison runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The workload.
    pub load: Load,
    /// What goes wrong.
    pub fault: Fault,
    /// The seed.
    pub seed: u64,
    /// The rungs.
    pub heats: Vec<f64>,
    /// How many runs go on at once.
    pub threads: usize,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            load: Load::OranjehalDay,
            fault: Fault::Calm,
            seed: 1,
            heats: HEATS.to_vec(),
            threads: 2,
        }
    }
}

impl Plan {
    /// Returns a plan for the workload; the target size holds its fleet fixed, so it has one rung.
    pub fn of(load: Load, fault: Fault) -> Self {
        let heats = if load == Load::TargetSize {
            vec![1.0]
        } else {
            HEATS.to_vec()
        };
        Self {
            load,
            fault,
            heats,
            ..Self::default()
        }
    }

    fn scenario(&self, policy: &str, heat: f64) -> Scenario {
        Scenario {
            load: self.load,
            fault: self.fault,
            policy: policy.to_owned(),
            heat,
            seed: self.seed,
            ..Scenario::default()
        }
    }

    /// Replays every rung of every policy named.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Policy`] when a name is not registered.
    ///
    /// # Panics
    ///
    /// Panics when a run panics.
    pub fn run(&self, policies: &[&str]) -> Result<Vec<Ladder>, Error> {
        let scenarios: Vec<Scenario> = policies
            .iter()
            .flat_map(|policy| self.heats.iter().map(|&heat| self.scenario(policy, heat)))
            .collect();
        let next = Mutex::new(0..scenarios.len());
        let done = Mutex::new(vec![None; scenarios.len()]);
        std::thread::scope(|scope| {
            for _ in 0..self.threads.max(1) {
                scope.spawn(|| {
                    loop {
                        let turn = next.lock().expect("no run panics").next();
                        let Some(turn) = turn else { return };
                        let report = crate::run(&scenarios[turn]);
                        done.lock().expect("no run panics")[turn] = Some(report);
                    }
                });
            }
        });
        let reports = done.into_inner().expect("no run panics").into_iter().flatten();
        let reports: Vec<Report> = reports.collect::<Result<_, Error>>()?;
        let ladder = |(policy, rungs): (&&str, &[Report])| Ladder {
            policy: (*policy).to_owned(),
            rungs: rungs.to_vec(),
        };
        Ok(policies
            .iter()
            .zip(reports.chunks(self.heats.len().max(1)))
            .map(ladder)
            .collect())
    }
}
