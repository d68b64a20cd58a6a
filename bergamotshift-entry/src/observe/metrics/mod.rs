//! The entry's metrics.
//!
//! The operators' page lists each of them; a test holds it against [`Metrics::descriptions`].

mod histogram;
mod label;
mod registry;
mod service;

use core::fmt;
use core::sync::atomic::AtomicI64;
use core::time::Duration;
use std::collections::BTreeMap;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

pub use self::histogram::Histogram;
pub use self::registry::Description;
use self::registry::Register;
pub use self::service::Record;
pub use self::service::ServiceMetrics;
use self::service::Services;

/// How an endpoint stands, as far as work for it goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It gets work.
    Live,
    /// It is leaving and gets no new work.
    Leaving,
    /// It cannot be reached, or is suspended.
    Unreachable,
}

impl State {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Unreachable => "unreachable",
        }
    }
}

/// Endpoints counted by service, zone and state.
pub type Census = BTreeMap<(name::Service, name::Zone, State), u32>;

/// All metrics of one entry.
pub struct Metrics {
    registry: Registry,
    descriptions: Vec<Description>,
    services: Services,
    failures: Family<label::Failure, Counter>,
    endpoints: Family<label::Endpoints, Gauge>,
    control: Family<label::Control, Counter>,
    platform: Family<label::Platform, Counter>,
    /// Requests being served.
    pub active: Gauge<i64, AtomicI64>,
    /// Snapshots published.
    pub snapshots: Counter,
    /// Requests under suspicion of killing endpoints.
    pub quarantined: Gauge,
    /// The version of the configuration in force; 0 for one that came from a folder.
    pub config: Gauge,
    /// Whether callers may come.
    pub ready: Gauge,
    /// Certificates that replaced the one in use.
    pub certificates: Counter,
    /// Whether the certificate that is there now cannot be used.
    pub certificate_refused: Gauge,
    /// Time that the control thread spends on the messages of one turn.
    pub turn: Histogram,
    /// Time that calls of the platform take.
    pub platform_time: Histogram,
}

impl Metrics {
    /// Registers all metrics.
    pub fn new() -> Self {
        let mut register = Register::default();
        let services = Services::default();
        let failures = Family::default();
        let endpoints = Family::default();
        let control = Family::default();
        let platform = Family::default();
        let active = Gauge::default();
        let snapshots = Counter::default();
        let quarantined = Gauge::default();
        let config = Gauge::default();
        let ready = Gauge::default();
        let certificates = Counter::default();
        let certificate_refused = Gauge::default();
        let turn = Histogram::default();
        let platform_time = Histogram::default();
        services.register(&mut register);
        register.family("failures", "Answers that told a caller of a failure", &failures);
        register.metric("active_requests", "Requests being served", &active);
        register.family("endpoints", "Endpoints that this entry knows", &endpoints);
        let help = "Requests under suspicion of killing endpoints";
        register.metric("quarantined_requests", help, &quarantined);
        let help = "Version of the configuration in force; 0 for one that came from a folder";
        register.metric("config_version", help, &config);
        register.metric("ready", "Whether callers may come", &ready);
        let help = "Certificates that replaced the one in use";
        register.metric("certificates", help, &certificates);
        let help = "Whether the certificate that is there now cannot be used, so that the one before stays";
        register.metric("certificate_refused", help, &certificate_refused);
        register.metric("snapshots", "Snapshots published to worker threads", &snapshots);
        register.family("control_messages", "Messages to the control thread", &control);
        let help = "Time that the control thread spends on the messages of one turn";
        register.metric("control_turn_seconds", help, &turn);
        register.family("platform_calls", "Calls of the platform", &platform);
        let help = "Time that calls of the platform take";
        register.metric("platform_call_seconds", help, &platform_time);
        Self {
            registry: register.registry,
            descriptions: register.descriptions,
            services,
            failures,
            endpoints,
            control,
            platform,
            active,
            snapshots,
            quarantined,
            config,
            ready,
            certificates,
            certificate_refused,
            turn,
            platform_time,
        }
    }

    /// Returns the metrics of a service.
    pub fn service(&self, name: &name::Service) -> Arc<ServiceMetrics> {
        Arc::new(self.services.of(name))
    }

    /// Counts an answer that told a caller of a failure.
    pub fn failed(&self, code: &'static str, outcome: Outcome) {
        let outcome = outcome.as_str();
        self.failures.get_or_create(&label::Failure { code, outcome }).inc();
    }

    /// Sets how many endpoints there are in place of the census before.
    pub fn count_endpoints(&self, before: &Census, census: &Census) {
        let label = |(service, zone, state): &(name::Service, name::Zone, State)| label::Endpoints {
            service: service.as_str().to_owned(),
            zone: zone.as_str().to_owned(),
            state: state.as_str(),
        };
        for place in before.keys().filter(|place| !census.contains_key(*place)) {
            self.endpoints.remove(&label(place));
        }
        for (place, count) in census {
            if before.get(place) != Some(count) {
                self.endpoints.get_or_create(&label(place)).set(i64::from(*count));
            }
        }
    }

    /// Counts a message to the control thread.
    pub fn message(&self, kind: &'static str) {
        self.control.get_or_create(&label::Control { kind }).inc();
    }

    /// Counts a call of a part of the platform.
    pub fn platform_call(&self, part: &'static str, call: &'static str, result: &'static str, time: Duration) {
        self.platform
            .get_or_create(&label::Platform { part, call, result })
            .inc();
        self.platform_time.observe(time);
    }

    /// Describes each metric.
    pub fn descriptions(&self) -> &[Description] {
        &self.descriptions
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
