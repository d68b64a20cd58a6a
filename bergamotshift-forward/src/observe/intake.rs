//! Metrics of what callers make the process hold.

use core::sync::atomic::AtomicI64;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Metrics of what callers make the process hold.
#[derive(Debug, Default)]
pub struct Intake {
    /// Bytes held by the bodies of requests.
    bodies: Gauge<i64, AtomicI64>,
    /// Number of unfinished bodies that lost their room to others.
    pub yielded: Counter,
    /// Number of callers' connections that were closed because there were too many.
    pub closed: Counter,
}

impl Intake {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        let help = "Bytes held by the bodies of requests";
        registry.register("body_bytes", help, self.bodies.clone());
        let help = "Unfinished bodies that lost their room to others";
        registry.register("bodies_yielded", help, self.yielded.clone());
        let help = "Connections of callers that were closed because there were too many";
        registry.register("callers_closed", help, self.closed.clone());
    }

    /// Sets the bytes held by the bodies of requests.
    pub fn set_held(&self, bytes: usize) {
        self.bodies.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }
}
