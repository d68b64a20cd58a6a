//! Bounds that a change of policy must stay within, kept in a committed file.
//!
//! The file holds what a run measured and how much worse it may become. Runs are exact in virtual time, so a breach is
//! a change of behaviour and never noise.

use core::fmt;
use core::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::scenario::Fault;
use crate::scenario::Load;
use crate::scenario::Scenario;
use crate::tally::Report;

/// How much worse than measured a run may be.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Margin {
    /// Lost share of urgent requests in target.
    pub urgent: f64,
    /// Added cost per million tokens, as a share.
    pub cost: f64,
    /// Added recomputed tokens, as a share.
    pub recomputed: f64,
    /// Added missed deadlines.
    pub misses: u64,
}

/// What one run measured.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Measured {
    /// Share of urgent model requests in target.
    pub urgent: f64,
    /// Cost per million tokens in target.
    pub cost: f64,
    /// Recomputed tokens in millions.
    pub recomputed: f64,
    /// Missed deadlines.
    pub misses: u64,
    /// Requests without a whole answer.
    pub failed: u64,
}

impl From<&Report> for Measured {
    fn from(report: &Report) -> Self {
        let round = |value: f64| (value * 1e4).round() / 1e4;
        Self {
            urgent: round(report.urgent_model_in_target),
            cost: round(report.cost_per_million),
            recomputed: round(report.recomputed_millions()),
            misses: report.deadline_misses,
            failed: report.failed,
        }
    }
}

/// One run of the file.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// The workload.
    pub load: Load,
    /// What goes wrong.
    pub fault: Fault,
    /// The planned use of the engines' time.
    pub heat: f64,
    /// How long requests arrive, in seconds.
    pub span: u64,
    /// What was measured when the bound was set.
    pub measured: Measured,
}

/// The file.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// How much worse a run may be.
    pub margin: Margin,
    /// The runs.
    pub run: Vec<Run>,
}

/// A figure that is worse than its bound.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// The run.
    pub run: String,
    /// The figure.
    pub figure: &'static str,
    /// What it is now.
    pub now: f64,
    /// What it may be.
    pub bound: f64,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} is {:.4}, bound {:.4}",
            self.run, self.figure, self.now, self.bound
        )
    }
}

impl Run {
    /// Replays the run under a policy.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Policy`] when the policy is not registered.
    pub fn replay(&self, policy: &str) -> Result<Report, Error> {
        crate::run(&Scenario {
            load: self.load,
            fault: self.fault,
            heat: self.heat,
            policy: policy.to_owned(),
            span: Some(Duration::from_secs(self.span)),
            ..Scenario::default()
        })
    }

    /// Returns every figure of a new measurement that is out of bounds.
    pub fn breaches(&self, now: &Measured, margin: &Margin) -> Vec<Breach> {
        let before = &self.measured;
        let misses = (before.misses + margin.misses) as f64;
        // A share is worse when it is lower, so it is compared by what it lacks.
        let figures = [
            (
                "urgent out of target",
                1.0 - now.urgent,
                1.0 - before.urgent + margin.urgent,
            ),
            ("cost per million", now.cost, before.cost * (1.0 + margin.cost)),
            (
                "recomputed millions",
                now.recomputed,
                before.recomputed * (1.0 + margin.recomputed),
            ),
            ("missed deadlines", now.misses as f64, misses),
            ("failed requests", now.failed as f64, before.failed as f64),
        ];
        let worse = figures.into_iter().filter(|(_, now, bound)| now > bound);
        worse
            .map(|(figure, now, bound)| Breach {
                run: format!("{}/{}", self.load.name(), self.fault.name()),
                figure,
                now,
                bound,
            })
            .collect()
    }
}
