//! The entry's metrics.

use core::fmt;
use core::sync::atomic::AtomicI64;

use bergamotshift_core::prelude::*;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct Service {
    service: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct Failure {
    code: &'static str,
    outcome: &'static str,
}

/// The counters of one service, looked up when a snapshot is made so that no request has to.
#[derive(Clone, Debug, Default)]
pub struct ServiceMetrics {
    /// Requests let in.
    pub requests: Counter,
    /// Attempts sent towards endpoints.
    pub attempts: Counter,
    /// Attempts that brought no whole answer.
    pub broken: Counter,
    /// Streams that went on at another endpoint.
    pub resumed: Counter,
}

/// All metrics of one entry.
pub struct Metrics {
    registry: Registry,
    requests: Family<Service, Counter>,
    attempts: Family<Service, Counter>,
    broken: Family<Service, Counter>,
    resumed: Family<Service, Counter>,
    failures: Family<Failure, Counter>,
    /// Requests being served.
    pub active: Gauge<i64, AtomicI64>,
    /// Snapshots published.
    pub snapshots: Counter,
}

impl Metrics {
    /// Registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("bergamotshift");
        let requests = Family::default();
        let attempts = Family::default();
        let broken = Family::default();
        let resumed = Family::default();
        let failures = Family::default();
        let active = Gauge::default();
        let snapshots = Counter::default();
        registry.register("requests", "Requests let in", requests.clone());
        registry.register("attempts", "Attempts sent towards endpoints", attempts.clone());
        registry.register(
            "broken_attempts",
            "Attempts that brought no whole answer",
            broken.clone(),
        );
        registry.register(
            "resumed_streams",
            "Streams that went on at another endpoint",
            resumed.clone(),
        );
        registry.register("failures", "Answers that told a caller of a failure", failures.clone());
        registry.register("active_requests", "Requests being served", active.clone());
        registry.register("snapshots", "Snapshots published to worker threads", snapshots.clone());
        Self {
            registry,
            requests,
            attempts,
            broken,
            resumed,
            failures,
            active,
            snapshots,
        }
    }

    /// Returns the counters of a service.
    pub fn service(&self, name: &name::Service) -> ServiceMetrics {
        let label = Service {
            service: name.as_str().to_owned(),
        };
        ServiceMetrics {
            requests: self.requests.get_or_create_owned(&label),
            attempts: self.attempts.get_or_create_owned(&label),
            broken: self.broken.get_or_create_owned(&label),
            resumed: self.resumed.get_or_create_owned(&label),
        }
    }

    /// Counts an answer that told a caller of a failure.
    pub fn failed(&self, code: &'static str, outcome: Outcome) {
        let outcome = outcome.as_str();
        self.failures.get_or_create(&Failure { code, outcome }).inc();
    }

    /// Returns all metrics in the text format.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric cannot be written.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        text::encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}
