//! Reports as text and JSON.

use core::fmt;

use serde::Serialize;

use crate::bound::Bound;
use crate::ladder::Ladder;
use crate::ladder::Plan;
use crate::ladder::TARGET;
use crate::scenario::Scenario;
use crate::tally::Report;

/// One line of a table: a policy at its cheapest rung that meets the target, or else at its best.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Line {
    /// The policy.
    pub policy: String,
    /// Whether the target is met on this line.
    pub meets_target: bool,
    /// The run.
    pub report: Report,
}

/// Policies side by side under one workload and fault.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Table {
    /// The workload's name.
    pub load: String,
    /// The fault's name.
    pub fault: String,
    /// The clairvoyant bound on the cost per million tokens.
    pub bound_per_million: f64,
    /// One line for each policy.
    pub lines: Vec<Line>,
}

impl Table {
    /// Makes the table of a plan's ladders at the latency target.
    pub fn new(plan: &Plan, ladders: &[Ladder]) -> Self {
        Self::at(TARGET, plan, ladders)
    }

    /// Makes the table of a plan's ladders where this share of urgent model requests must be in target.
    pub fn at(share: f64, plan: &Plan, ladders: &[Ladder]) -> Self {
        let scenario = Scenario {
            load: plan.load,
            fault: plan.fault,
            seed: plan.seed,
            ..Scenario::default()
        };
        Self {
            load: plan.load.name().to_owned(),
            fault: plan.fault.name().to_owned(),
            bound_per_million: Bound::of(&scenario).cost_per_million(),
            lines: ladders.iter().filter_map(|ladder| line(ladder, share)).collect(),
        }
    }

    /// Returns the table as JSON.
    ///
    /// # Panics
    ///
    /// Never: a table holds numbers and text only.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("numbers and text have a JSON form")
    }
}

fn line(ladder: &Ladder, target: f64) -> Option<Line> {
    let met = ladder.at_target(target);
    let share = |report: &&Report| report.urgent_model_in_target;
    let best = || {
        ladder
            .rungs
            .iter()
            .max_by(|left, right| share(left).total_cmp(&share(right)))
    };
    let report = met.or_else(best)?.clone();
    Some(Line {
        policy: ladder.policy.clone(),
        meets_target: met.is_some(),
        report,
    })
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} / {}; bound {:.3} per million",
            self.load, self.fault, self.bound_per_million
        )?;
        writeln!(
            f,
            "{:<18} {:>4} {:>6} {:>7} {:>7} {:>8} {:>7} {:>7} {:>6} {:>6} {:>6} {:>8}",
            "policy",
            "heat",
            "target",
            "cost/M",
            "first95",
            "between",
            "again",
            "moved",
            "cache",
            "missed",
            "failed",
            "fairness"
        )?;
        for line in &self.lines {
            let report = &line.report;
            let mark = if line.meets_target { ' ' } else { '!' };
            writeln!(
                f,
                "{:<18} {:>4.1} {:>5.1}%{mark}{:>7.3} {:>7.0} {:>8.1} {:>7.2} {:>7.2} {:>6.2} {:>6} {:>6} {:>8.4}",
                line.policy,
                report.scenario.heat,
                report.urgent_model_in_target * 100.0,
                report.cost_per_million,
                report.first_token_p95_ms,
                report.between_tokens_p95_ms,
                report.recomputed_prompt_millions,
                report.recomputed_moved_millions,
                report.cache_share,
                report.deadline_misses,
                report.failed,
                report.fairness,
            )?;
        }
        Ok(())
    }
}
