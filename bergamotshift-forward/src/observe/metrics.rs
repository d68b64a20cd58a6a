//! Metrics of an entry, in the `OpenMetrics` format.

use core::fmt;
use core::sync::atomic::AtomicI64;
use core::sync::atomic::AtomicU64;

use bergamotshift_core::prelude::*;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::Intake;
use super::Shortage;
use super::Speeds;

/// Upper bounds of the latency buckets, in seconds; they are finer around the objectives of 0.1 to 1.2 s that operators
/// set.
const LATENCY_BUCKETS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0,
];

/// Labels of a completed request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct Outcome {
    /// Name of the route, or `none`.
    pub route: String,
    /// Outcome of the request.
    pub outcome: &'static str,
}

/// Labels of a call to an external system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct Call {
    call: &'static str,
    outcome: &'static str,
}

/// Label of a service with a canary version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct Canary {
    service: String,
}

/// Label of a permit to send a request to an endpoint with a rate limit, of a tunnel through another entry, and of a
/// replacement of a silent attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct Permit {
    outcome: &'static str,
}

/// Label of attempts that were given up.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct GivenUp {
    cause: &'static str,
}

/// Labels of a stream that its caller took up.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct Source {
    source: &'static str,
}

/// All metrics of one entry.
pub struct Metrics {
    registry: Registry,
    requests: Family<Outcome, Counter>,
    calls: Family<Call, Counter>,
    canaries: Family<Canary, Gauge>,
    permits: Family<Permit, Counter>,
    tunnels: Family<Permit, Counter>,
    origins: Family<Source, Counter>,
    given_up: Family<GivenUp, Counter>,
    replacements: Family<Permit, Counter>,
    /// Metrics of admission in a shortage.
    pub shortage: Shortage,
    /// Metrics of what callers make the process hold.
    pub intake: Intake,
    /// Metrics of learned speeds.
    pub speeds: Speeds,
    /// Time to the first event of a stream, or to the head of an answer that is no stream, in seconds.
    pub latency: Histogram,
    /// Time until a request was refused, in seconds.
    pub refusal: Histogram,
    /// Number of requests in flight.
    pub active: Gauge<i64, AtomicI64>,
    /// Number of requests sent to endpoints, including retries.
    pub sends: Counter<u64, AtomicU64>,
    /// Number of connections opened to endpoints.
    pub connections: Counter<u64, AtomicU64>,
    /// Number of streams that were resumed at another endpoint.
    pub resumed: Counter<u64, AtomicU64>,
    /// Version of the operators' document in force.
    pub document_version: Gauge<i64, AtomicI64>,
    /// Whether another entry has a newer document.
    pub document_behind: Gauge<i64, AtomicI64>,
    /// Time since the document was last known to be current, in seconds.
    pub document_age: Gauge<f64, AtomicU64>,
    /// Time since the registrations were last known to be current, in seconds.
    pub registrations_age: Gauge<f64, AtomicU64>,
    /// Number of endpoints that accept requests.
    pub endpoints: Gauge<i64, AtomicI64>,
    /// Number of other entries with a recent state.
    pub peers: Gauge<i64, AtomicI64>,
    /// Whether this entry holds the duties.
    pub duty_holder: Gauge<i64, AtomicI64>,
    /// Whether this entry is the keeper of its zone.
    pub zone_keeper: Gauge<i64, AtomicI64>,
    /// Number of queries that the keeper of the zone did not answer.
    pub keeper_unanswered: Counter<u64, AtomicU64>,
    /// Number of permit queries that an entry did not answer.
    pub permits_unanswered: Counter<u64, AtomicU64>,
    /// Whether this entry is cut off from endpoints that its callers need.
    pub stranded: Gauge<i64, AtomicI64>,
    /// Number of registrations and rollout orders that could not be read.
    pub registrations_unread: Counter<u64, AtomicU64>,
    /// Number of whole lists of registrations that were not sent to another entry, as the limit was reached.
    pub registrations_withheld: Counter<u64, AtomicU64>,
    /// Number of times that this entry found the store restored from a copy.
    pub store_restores: Counter<u64, AtomicU64>,
    /// Number of the store's answers that were older than what this entry knew.
    pub answers_dropped: Counter<u64, AtomicU64>,
    /// Number of reports that an endpoint died while it ran a request of this entry.
    pub endpoint_deaths: Counter<u64, AtomicU64>,
    /// Number of requests that are suspected of crashing endpoints.
    pub suspected: Gauge<i64, AtomicI64>,
    /// Number of requests that are refused because they crash endpoints.
    pub quarantined: Gauge<i64, AtomicI64>,
    /// Number of parts of prompts that were lost with endpoints.
    pub suspected_parts: Gauge<i64, AtomicI64>,
    /// Number of parts of prompts that are refused because they crash endpoints.
    pub refused_parts: Gauge<i64, AtomicI64>,
    /// Number of services whose endpoints this entry does not reach.
    pub cut_off: Gauge<i64, AtomicI64>,
    /// Number of tunnels to endpoints that were opened for other entries.
    pub relays: Counter<u64, AtomicU64>,
    /// Time to open a tunnel through another entry, in seconds.
    pub relay_latency: Histogram,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("bergamotshift_forward"),
            requests: Family::default(),
            calls: Family::default(),
            canaries: Family::default(),
            permits: Family::default(),
            tunnels: Family::default(),
            origins: Family::default(),
            given_up: Family::default(),
            replacements: Family::default(),
            shortage: Shortage::default(),
            intake: Intake::default(),
            speeds: Speeds::default(),
            latency: Histogram::new(LATENCY_BUCKETS),
            refusal: Histogram::new(LATENCY_BUCKETS),
            active: Gauge::default(),
            sends: Counter::default(),
            connections: Counter::default(),
            resumed: Counter::default(),
            document_version: Gauge::default(),
            document_behind: Gauge::default(),
            document_age: Gauge::default(),
            registrations_age: Gauge::default(),
            endpoints: Gauge::default(),
            peers: Gauge::default(),
            duty_holder: Gauge::default(),
            zone_keeper: Gauge::default(),
            keeper_unanswered: Counter::default(),
            permits_unanswered: Counter::default(),
            stranded: Gauge::default(),
            registrations_unread: Counter::default(),
            registrations_withheld: Counter::default(),
            store_restores: Counter::default(),
            answers_dropped: Counter::default(),
            endpoint_deaths: Counter::default(),
            suspected: Gauge::default(),
            quarantined: Gauge::default(),
            suspected_parts: Gauge::default(),
            refused_parts: Gauge::default(),
            cut_off: Gauge::default(),
            relays: Counter::default(),
            relay_latency: Histogram::new(LATENCY_BUCKETS),
        };
        let registry = &mut metrics.registry;
        registry.register("requests", "Requests by route and outcome", metrics.requests.clone());
        registry.register(
            "outside_calls",
            "Calls of the store and the cloud",
            metrics.calls.clone(),
        );
        let help = "Thousandths of the requests that go to a new version";
        registry.register("canary_share", help, metrics.canaries.clone());
        let help = "Permits to send to an endpoint that names a rate";
        registry.register("permits", help, metrics.permits.clone());
        let help = "Time to the first event or the whole answer";
        registry.register("latency_seconds", help, metrics.latency.clone());
        registry.register("refusal_seconds", "Time until a refusal", metrics.refusal.clone());
        registry.register("active_requests", "Requests under way", metrics.active.clone());
        registry.register("sends", "Requests sent to endpoints", metrics.sends.clone());
        let help = "Connections opened to endpoints";
        registry.register("connections", help, metrics.connections.clone());
        registry.register(
            "resumed_streams",
            "Streams that went on elsewhere",
            metrics.resumed.clone(),
        );
        registry.register("endpoints", "Endpoints that take work", metrics.endpoints.clone());
        registry.register("peers", "Other entries heard of lately", metrics.peers.clone());
        registry.register(
            "duty_holder",
            "Whether this entry holds the duties",
            metrics.duty_holder.clone(),
        );
        registry.register(
            "zone_keeper",
            "Whether this entry keeps its zone",
            metrics.zone_keeper.clone(),
        );
        registry.register(
            "keeper_unanswered",
            "Questions that the keeper of the zone did not answer",
            metrics.keeper_unanswered.clone(),
        );
        registry.register(
            "permits_unanswered",
            "Questions for a permit that an entry did not answer",
            metrics.permits_unanswered.clone(),
        );
        registry.register(
            "stranded",
            "Whether this entry is cut off from endpoints that its callers need",
            metrics.stranded.clone(),
        );
        metrics.register_engines();
        metrics.register_copies();
        metrics.register_suspicions();
        metrics.register_paths();
        metrics
    }

    /// Registers the metrics of decisions about model engines.
    fn register_engines(&mut self) {
        self.intake.register(&mut self.registry);
        self.speeds.register(&mut self.registry);
        self.shortage.register(&mut self.registry);
    }

    /// Registers the metrics of requests that are suspected of crashing endpoints.
    fn register_suspicions(&mut self) {
        let metrics = self;
        let registry = &mut metrics.registry;
        let help = "Reports that an endpoint died while it ran a request of this entry";
        registry.register("endpoint_deaths", help, metrics.endpoint_deaths.clone());
        let help = "Requests that are suspected of crashing endpoints";
        registry.register("suspected_requests", help, metrics.suspected.clone());
        let help = "Requests that are refused because they crash endpoints";
        registry.register("quarantined_requests", help, metrics.quarantined.clone());
        let help = "Parts of prompts that were lost with endpoints";
        registry.register("suspected_parts", help, metrics.suspected_parts.clone());
        let help = "Parts of prompts that are refused because they crash endpoints";
        registry.register("refused_parts", help, metrics.refused_parts.clone());
    }

    /// Registers the metrics of paths to endpoints, directly and through other entries.
    fn register_paths(&mut self) {
        let metrics = self;
        let registry = &mut metrics.registry;
        let help = "Services whose endpoints this entry does not reach";
        registry.register("cut_off", help, metrics.cut_off.clone());
        let help = "Tunnels to endpoints that were opened for other entries";
        registry.register("relays", help, metrics.relays.clone());
        let help = "Tunnels through other entries, by outcome";
        registry.register("tunnels", help, metrics.tunnels.clone());
        let help = "Streams that their callers took up, by where the version was known from";
        registry.register("streams_taken_up", help, metrics.origins.clone());
        let help = "Attempts that were given up, by cause";
        registry.register("attempts_given_up", help, metrics.given_up.clone());
        let help = "Replacements of silent attempts, by outcome";
        registry.register("replacements", help, metrics.replacements.clone());
        let help = "Time to open a tunnel through another entry";
        registry.register("relay_latency_seconds", help, metrics.relay_latency.clone());
    }

    /// Registers the metrics of this entry's copies of the store's contents.
    fn register_copies(&mut self) {
        let metrics = self;
        let registry = &mut metrics.registry;
        registry.register(
            "document_version",
            "The document in force",
            metrics.document_version.clone(),
        );
        registry.register(
            "document_behind",
            "Whether another entry has a newer document",
            metrics.document_behind.clone(),
        );
        let help = "Time since the document was last known to be current";
        registry.register("document_age_seconds", help, metrics.document_age.clone());
        let help = "Time since the registrations were last known to be current";
        registry.register("registrations_age_seconds", help, metrics.registrations_age.clone());
        registry.register(
            "registrations_unread",
            "Registrations that could not be read",
            metrics.registrations_unread.clone(),
        );
        let help = "Whole lists of registrations that another entry has to ask for again";
        registry.register("registrations_withheld", help, metrics.registrations_withheld.clone());
        let help = "Times that the store was found restored from a copy";
        registry.register("store_restores", help, metrics.store_restores.clone());
        let help = "Answers of the store that were older than what was known";
        registry.register("store_answers_dropped", help, metrics.answers_dropped.clone());
    }

    /// Counts a completed request.
    pub fn count_request(&self, route: &str, outcome: &'static str) {
        let label = Outcome {
            route: route.to_owned(),
            outcome,
        };
        self.requests.get_or_create(&label).inc();
    }

    /// Counts a call to an external system.
    pub fn count_call(&self, call: &'static str, succeeded: bool) {
        let outcome = if succeeded { "ok" } else { "failed" };
        self.calls.get_or_create(&Call { call, outcome }).inc();
    }

    /// Counts a permit to send a request to an endpoint with a rate limit.
    pub fn count_permit(&self, outcome: &'static str) {
        self.permits.get_or_create(&Permit { outcome }).inc();
    }

    /// Counts a stream that its caller took up, by where its version was known from.
    pub fn count_origin(&self, source: &'static str) {
        self.origins.get_or_create(&Source { source }).inc();
    }

    /// Counts a replacement of a silent attempt.
    pub fn count_replacement(&self, outcome: &'static str) {
        self.replacements.get_or_create(&Permit { outcome }).inc();
    }

    /// Counts an attempt at an endpoint that was given up.
    pub fn count_given_up(&self, cause: &'static str) {
        self.given_up.get_or_create(&GivenUp { cause }).inc();
    }

    /// Counts a request for a tunnel through another entry.
    pub fn count_tunnel(&self, outcome: &'static str) {
        self.tunnels.get_or_create(&Permit { outcome }).inc();
    }

    /// Sets the share of a service's requests that goes to its canary version, in thousandths.
    pub fn set_canary_share(&self, service: &name::Service, share: u16) {
        let service = service.as_str().to_owned();
        self.canaries.get_or_create(&Canary { service }).set(share.into());
    }

    /// Returns all metrics in the `OpenMetrics` text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string never fails.
        let _ = text::encode(&mut text, &self.registry);
        text
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
