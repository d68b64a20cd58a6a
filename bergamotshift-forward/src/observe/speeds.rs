//! Metrics of learned speeds.

use core::sync::atomic::AtomicU64;

use bergamotshift_core::prelude::*;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label of a measurement or a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct Event {
    outcome: &'static str,
}

/// Label of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct Service {
    service: String,
}

/// Metrics of learned speeds.
#[derive(Debug, Default)]
pub struct Speeds {
    samples: Family<Event, Counter>,
    changes: Family<Event, Counter>,
    reading: Family<Service, Gauge<f64, AtomicU64>>,
    overhead: Family<Service, Gauge<f64, AtomicU64>>,
}

impl Speeds {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        let help = "Measurements of first events, by what became of them";
        registry.register("speed_samples", help, self.samples.clone());
        let help = "Changes of what is known of speeds that were logged";
        registry.register("speed_changes", help, self.changes.clone());
        let help = "Learned prompt tokens per millisecond of a service";
        registry.register("reading_tokens_per_ms", help, self.reading.clone());
        let help = "Learned time to the first event beside reading";
        registry.register("reading_overhead_ms", help, self.overhead.clone());
    }

    /// Counts a measurement of a first event, by what became of it.
    pub fn count_sample(&self, outcome: &'static str) {
        self.samples.get_or_create(&Event { outcome }).inc();
    }

    /// Counts a change of what is known of speeds.
    pub fn count_change(&self, outcome: &'static str) {
        self.changes.get_or_create(&Event { outcome }).inc();
    }

    /// Sets the learned figures of a service.
    pub fn set(&self, service: &name::Service, tokens_per_ms: f64, overhead_ms: f64) {
        let service = Service {
            service: service.as_str().to_owned(),
        };
        self.reading.get_or_create(&service).set(tokens_per_ms);
        self.overhead.get_or_create(&service).set(overhead_ms);
    }
}
