//! Immutable state from which worker threads serve requests.

mod publisher;
mod statement;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::observe::ServiceMetrics;
use crate::sharing;
use bergamotshift_config::config::Config;
use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::call::Target;
use bergamotshift_limit::quarantine;
use bergamotshift_limit::retry;
use bergamotshift_limit::silence::Pulse;
use bergamotshift_route::View;
use bergamotshift_route::registry::Registry;
use bergamotshift_route::set::Set;
use bergamotshift_route::view;
use slotmap::SecondaryMap;
use smol_str::SmolStr;

pub use self::publisher::Publisher;
pub use self::publisher::Reader;
pub use self::statement::Statement;

/// One incarnation of an endpoint, with its address.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name of its VM.
    pub vm: name::Vm,
    /// Incarnation of its VM.
    pub incarnation: Incarnation,
    /// Availability zone of its VM.
    pub zone: name::Zone,
    /// Service that it runs.
    pub service: name::Service,
    /// Address on which it listens.
    pub target: Target,
    /// Lock for the single request suspected of killing endpoints that may run there.
    pub isolation: sharing::Isolation,
    /// Signs of life in its answers to this entry.
    pub pulse: Arc<Pulse>,
    /// Version that it stated.
    pub statement: Arc<Statement>,
}

/// State of a service on the request path, in addition to its configuration.
#[derive(Clone, Debug)]
pub struct Service {
    /// Number of the service in the view.
    pub number: view::Service,
    /// Zones that its rules allow.
    pub zones: Set,
    /// Machine classes that its rules allow.
    pub classes: Set,
    /// Plug-in name of the adapter for its endpoints.
    pub adapter: SmolStr,
    /// Retry budget, which is shared by successive snapshots.
    pub budget: Arc<retry::Budget>,
    /// Metrics of the service.
    pub metrics: Arc<ServiceMetrics>,
    /// Policy for retries of failed attempts.
    pub retry: retry::Policy,
}

/// State that a worker thread reads while it serves a request.
#[derive(Debug)]
pub struct Snapshot {
    /// Number of this snapshot within the process.
    pub number: u64,
    /// Configuration in force.
    pub config: Arc<Config>,
    /// Routing state of the endpoints.
    pub view: View,
    /// Endpoints, with their addresses.
    pub endpoints: SecondaryMap<key::Endpoint, Arc<Endpoint>>,
    /// Signs of life of all known endpoints by service, with those that are out of routing.
    pub pulses: BTreeMap<name::Service, Vec<Arc<Pulse>>>,
    /// Services by name.
    pub services: BTreeMap<name::Service, Service>,
    /// Zones that each organisation's rules allow; an organisation that is missing here may use all zones of a service.
    pub zones: BTreeMap<name::Organisation, Set>,
    /// Requests suspected of killing endpoints.
    pub quarantine: quarantine::Table,
    /// Parts of prompts that are refused as they crash endpoints.
    pub parts: quarantine::part::Table,
    /// Limits and shares of organisations, and load of services.
    pub sharing: sharing::Table,
    /// Whether endpoints have been looked up at least once, so that callers can be served.
    pub ready: bool,
}

impl Snapshot {
    /// Returns the snapshot that worker threads see before the control thread has published its first.
    pub fn empty(config: &Arc<Config>) -> Self {
        Self {
            number: 0,
            config: Arc::clone(config),
            view: Registry::default().publish(Instant::ZERO),
            endpoints: SecondaryMap::new(),
            pulses: BTreeMap::new(),
            services: BTreeMap::new(),
            zones: BTreeMap::new(),
            quarantine: quarantine::Table::default(),
            parts: quarantine::part::Table::default(),
            sharing: sharing::Table::default(),
            ready: false,
        }
    }

    /// Returns whether a later incarnation of an endpoint is known.
    pub fn is_replaced(&self, endpoint: &Endpoint) -> bool {
        let mut others = self.endpoints.values();
        others.any(|other| other.vm == endpoint.vm && other.incarnation > endpoint.incarnation)
    }

    /// Returns the zones in which a service may run for an organisation.
    pub fn zones_for(&self, service: &Service, organisation: &name::Organisation) -> Set {
        let Some(allowed) = self.zones.get(organisation) else {
            return service.zones;
        };
        (0..Set::CAPACITY as u8)
            .filter(|zone| service.zones.contains(*zone) && allowed.contains(*zone))
            .fold(Set::EMPTY, Set::with)
    }
}
