//! The immutable picture that worker threads serve requests from.

mod publisher;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::observe::ServiceMetrics;
use crate::sharing;
use bergamotshift_config::config::Config;
use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::call::Target;
use bergamotshift_limit::quarantine;
use bergamotshift_limit::retry;
use bergamotshift_route::View;
use bergamotshift_route::registry::Registry;
use bergamotshift_route::set::Set;
use bergamotshift_route::view;
use slotmap::SecondaryMap;
use smol_str::SmolStr;

pub use self::publisher::Publisher;
pub use self::publisher::Reader;

/// One life of an endpoint, as far as reaching it goes.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The VM's name.
    pub vm: name::Vm,
    /// Which life of that name.
    pub incarnation: Incarnation,
    /// The availability zone.
    pub zone: name::Zone,
    /// The service it runs.
    pub service: name::Service,
    /// Where it listens.
    pub target: Target,
    /// Its place for suspected work.
    pub isolation: sharing::Isolation,
}

/// What the request path needs of a service beside its configuration.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its number in the view.
    pub number: view::Service,
    /// The zones that its rules allow.
    pub zones: Set,
    /// The machine classes that its rules allow.
    pub classes: Set,
    /// The plug-in that speaks to its endpoints.
    pub adapter: SmolStr,
    /// The budget that bounds its retries; it outlives snapshots.
    pub budget: Arc<retry::Budget>,
    /// Its counters.
    pub metrics: Arc<ServiceMetrics>,
    /// When a failed attempt is followed by another.
    pub retry: retry::Policy,
}

/// Everything a worker thread looks at while it serves a request.
#[derive(Debug)]
pub struct Snapshot {
    /// Counts the snapshots of this process.
    pub number: u64,
    /// The configuration in force.
    pub config: Arc<Config>,
    /// What routing knows of the endpoints.
    pub view: View,
    /// How each endpoint is reached.
    pub endpoints: SecondaryMap<key::Endpoint, Arc<Endpoint>>,
    /// The services.
    pub services: BTreeMap<name::Service, Service>,
    /// The zones that each organisation's rules allow.
    pub zones: BTreeMap<name::Organisation, Set>,
    /// The requests suspected of killing endpoints.
    pub quarantine: quarantine::Table,
    /// What organisations may use, and how busy the services are.
    pub sharing: sharing::Table,
    /// Whether endpoints have been looked up at least once, so that callers may come.
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
            services: BTreeMap::new(),
            zones: BTreeMap::new(),
            quarantine: quarantine::Table::default(),
            sharing: sharing::Table::default(),
            ready: false,
        }
    }

    /// Returns the zones in which a service may run for an organisation.
    pub fn zones_for(&self, service: &Service, organisation: &name::Organisation) -> Set {
        let Some(theirs) = self.zones.get(organisation) else {
            return service.zones;
        };
        (0..Set::CAPACITY as u8)
            .filter(|zone| service.zones.contains(*zone) && theirs.contains(*zone))
            .fold(Set::EMPTY, Set::with)
    }
}
