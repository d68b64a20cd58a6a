//! State of the control thread for sharing and admission.

use core::time::Duration;
use std::collections::BTreeMap;
use std::sync::Arc;

use bergamotshift_config::config;
use bergamotshift_config::config::Config;
use bergamotshift_core::prelude::*;
use bergamotshift_limit::demand::Origin;
use bergamotshift_limit::limiter;
use bergamotshift_limit::limiter::Announcement;
use bergamotshift_limit::limiter::Demand;
use bergamotshift_limit::limiter::Kernel;
use bergamotshift_limit::limiter::Organisation;
use bergamotshift_limit::quota::Limits;
use slotmap::SecondaryMap;

use super::Table;
use super::load::Load;
use super::size::Size;
use super::throughput::Throughput;
use crate::api::request;
use crate::snapshot::Snapshot;

/// Controller that applies configuration, load and the demand of other entries to the table that workers use.
#[derive(Debug)]
pub struct Control {
    kernel: Kernel,
    table: Table,
    config: Option<Arc<Config>>,
    throughputs: SecondaryMap<key::Endpoint, Throughput>,
    last_announcement: Instant,
    last_update: Instant,
}

/// Minimum interval between updates of the shares.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum interval between announcements of the demand.
///
/// Portions are derived from announced demand, so an entry without peers also has to announce it, to itself.
const MAX_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);

impl Control {
    /// Creates the controller of an entry; `others` are the other zones whose entries announce their demand to it.
    ///
    /// A zone in `others` keeps its portion of every limit while it is silent. An entry that receives no announcements
    /// passes no zones.
    pub fn new(others: Vec<name::Zone>) -> Self {
        Self {
            kernel: Kernel::new(limiter::Settings::default(), others, 0),
            table: Table::default(),
            config: None,
            throughputs: SecondaryMap::new(),
            last_announcement: Instant::ZERO,
            last_update: Instant::ZERO,
        }
    }

    /// Applies the configuration if it has changed, and returns the table for the workers.
    pub fn update_config(&mut self, now: Instant, config: &Arc<Config>) -> Table {
        let current = self.config.as_ref();
        if current.is_none_or(|current| !Arc::ptr_eq(current, config)) {
            self.configure(now, config);
            self.config = Some(Arc::clone(config));
        }
        self.table.clone()
    }

    fn configure(&mut self, now: Instant, config: &Config) {
        let organisations: Vec<_> = config
            .organisations
            .values()
            .map(|organisation| convert_organisation(organisation, config))
            .collect();
        let services: Vec<_> = config.services.values().map(convert_service).collect();
        let sizes = Arc::clone(&self.table.sizes);
        let size = |service: &config::Service| {
            let known = sizes.get(&service.name).filter(|size| size.kind() == service.kind);
            let size = known.map_or_else(|| Arc::new(Size::new(service.kind)), Arc::clone);
            (service.name.clone(), size)
        };
        self.table = Table {
            limiter: self.kernel.configure(now, &organisations, &services),
            sizes: Arc::new(config.services.values().map(size).collect()),
        };
    }

    /// Updates load, demand and shares; called at each tick of the control thread.
    pub fn tick(&mut self, now: Instant, snapshot: &Snapshot) {
        self.throughputs.retain(|key, _| snapshot.view.find(key).is_some());
        let mut readings = BTreeMap::new();
        for (name, size) in self.table.sizes.iter() {
            let Some(service) = snapshot.services.get(name) else {
                continue;
            };
            let load = Load::of(now, size.kind(), &snapshot.view, service.number, &mut self.throughputs);
            if load.capacity > 0.0 {
                size.set_price(load.price, load.capacity);
                size.set_demand_and_rate(self.kernel.demand(now, name), load.endpoint_rate());
            }
            let reading = load.reading(size.update_means());
            readings.extend(reading.map(|reading| (name.clone(), reading)));
        }
        // Reports are read at each tick, so that the changes since each report are known precisely. An update of the
        // shares takes a millisecond at the largest size and is made less often; in between, the gates are updated with
        // each request.
        if now.since(self.last_update) < UPDATE_INTERVAL {
            return;
        }
        self.last_update = now;
        self.kernel.tick(now, &readings);
        if now.since(self.last_announcement) >= MAX_ANNOUNCEMENT_INTERVAL {
            self.announce(now);
        }
    }

    /// Returns the demand to announce to other entries and zones now.
    pub fn announce(&mut self, now: Instant) -> Announcement {
        self.last_announcement = now;
        self.kernel.announce(now)
    }

    /// Records the demand that another entry of this zone, or another zone, announced; `age` is the age of the figures.
    pub fn observe(&mut self, now: Instant, origin: &Origin, age: Duration, demand: Demand) {
        self.kernel.observe(now, origin, age, demand);
    }

    /// Sets the number of other live entries in this zone.
    pub fn set_peers(&mut self, peers: usize) {
        self.kernel.set_peers(peers);
    }

    /// Removes an entry of this zone that left or failed.
    pub fn remove(&mut self, entry: &name::Entry) {
        self.kernel.remove(entry);
    }
}

fn convert_organisation(organisation: &config::Organisation, config: &Config) -> Organisation {
    let limits = organisation.limits;
    let defaults = Limits::default();
    let services = config.services.keys().filter(|name| organisation.may_use(name));
    Organisation {
        name: organisation.name.clone(),
        weight: f64::from(organisation.weight),
        limits: Limits {
            requests_per_second: limits.requests_per_second,
            burst: limits.burst.map_or(defaults.burst, f64::from),
            tokens_per_second: limits.tokens_per_second,
            spend_per_hour: limits.spend_per_hour,
        },
        services: services.cloned().collect(),
    }
}

fn convert_service(service: &config::Service) -> limiter::Service {
    limiter::Service {
        name: service.name.clone(),
        target: request::latency_target(service),
    }
}
