//! Metrics of admission in a shortage.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Label of a decision or of a promise.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct Outcome {
    outcome: &'static str,
}

/// Metrics of admission in a shortage.
#[derive(Debug, Default)]
pub struct Shortage {
    decisions: Family<Outcome, Counter>,
    promises: Family<Outcome, Counter>,
}

impl Shortage {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        let help = "Decisions on requests where the rules for a shortage apply";
        registry.register("shortage_decisions", help, self.decisions.clone());
        let help = "Promises to refused callers, by what became of them";
        registry.register("promises", help, self.promises.clone());
    }

    /// Counts a decision on a request where the rules for a shortage apply.
    pub fn count_decision(&self, outcome: &'static str) {
        self.decisions.get_or_create(&Outcome { outcome }).inc();
    }

    /// Counts promises to refused callers by what became of them.
    pub fn count_promises(&self, outcome: &'static str, count: u64) {
        if count > 0 {
            self.promises.get_or_create(&Outcome { outcome }).inc_by(count);
        }
    }
}
