//! The registry, and a description of each metric in it.

use prometheus_client::encoding::EncodeMetric;
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::TypedMetric;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::family::MetricConstructor;
use prometheus_client::registry::Metric;
use prometheus_client::registry::Registry;

use super::label::Label;

/// What every metric's name begins with.
const PREFIX: &str = "bergamotshift";

/// What a metric is called and what kind it is of.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Description {
    /// The full name of its samples, without the endings of a histogram's.
    pub name: String,
    /// `counter`, `gauge` or `histogram`.
    pub kind: &'static str,
    /// The names of its labels.
    pub labels: &'static [&'static str],
}

/// Takes metrics in, and describes those without any value so far too.
#[derive(Debug)]
pub(super) struct Register {
    pub(super) registry: Registry,
    pub(super) descriptions: Vec<Description>,
}

impl Default for Register {
    fn default() -> Self {
        Self {
            registry: Registry::with_prefix(PREFIX),
            descriptions: Vec::new(),
        }
    }
}

impl Register {
    /// Registers a metric without labels.
    pub(super) fn metric<M>(&mut self, name: &str, help: &str, metric: &M)
    where
        M: Metric + TypedMetric + Clone,
    {
        self.describe::<M>(name, &[]);
        self.registry.register(name, help, metric.clone());
    }

    /// Registers a metric with labels.
    pub(super) fn family<L, M, C>(&mut self, name: &str, help: &str, family: &Family<L, M, C>)
    where
        L: Label + Clone + core::hash::Hash + Eq + core::fmt::Debug + Send + Sync + 'static,
        M: EncodeMetric + TypedMetric + core::fmt::Debug + Send + Sync + 'static,
        C: MetricConstructor<M> + Clone + core::fmt::Debug + Send + Sync + 'static,
    {
        self.describe::<M>(name, L::NAMES);
        self.registry.register(name, help, family.clone());
    }

    fn describe<M: TypedMetric>(&mut self, name: &str, labels: &'static [&'static str]) {
        let (kind, ending) = match M::TYPE {
            MetricType::Counter => ("counter", "_total"),
            MetricType::Histogram => ("histogram", ""),
            _ => ("gauge", ""),
        };
        self.descriptions.push(Description {
            name: format!("{PREFIX}_{name}{ending}"),
            kind,
            labels,
        });
    }
}
