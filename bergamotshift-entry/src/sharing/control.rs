//! What the control thread keeps.

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
use super::flow::Flow;
use super::load::Load;
use super::size::Size;
use crate::api::request;
use crate::snapshot::Snapshot;

/// Follows configuration, load and gossip, and keeps the table that workers ask.
#[derive(Debug)]
pub struct Control {
    kernel: Kernel,
    table: Table,
    followed: Option<Arc<Config>>,
    flows: SecondaryMap<key::Endpoint, Flow>,
    told: Instant,
    divided: Instant,
}

/// The time between two divisions of the shares.
const DIVISION: Duration = Duration::from_millis(200);

/// Portions follow what was told, so an entry that tells nobody tells itself this often.
const SILENCE: Duration = Duration::from_secs(1);

impl Control {
    /// Makes the control of an entry, given the other zones whose entries tell it what they are asked for.
    ///
    /// A zone named here that is silent keeps its portion of every limit; an entry that hears nobody names none.
    pub fn new(others: Vec<name::Zone>) -> Self {
        Self {
            kernel: Kernel::new(limiter::Settings::default(), others, 0),
            table: Table::default(),
            followed: None,
            flows: SecondaryMap::new(),
            told: Instant::ZERO,
            divided: Instant::ZERO,
        }
    }

    /// Follows the configuration in force, when it is another one, and returns the table for workers.
    pub fn update_config(&mut self, now: Instant, config: &Arc<Config>) -> Table {
        let followed = self.followed.as_ref();
        if followed.is_none_or(|followed| !Arc::ptr_eq(followed, config)) {
            self.configure(now, config);
            self.followed = Some(Arc::clone(config));
        }
        self.table.clone()
    }

    fn configure(&mut self, now: Instant, config: &Config) {
        let tenants: Vec<_> = config
            .organisations
            .values()
            .map(|organisation| tenant(organisation, config))
            .collect();
        let services: Vec<_> = config.services.values().map(service).collect();
        let known = Arc::clone(&self.table.sizes);
        let size = |service: &config::Service| {
            let known = known.get(&service.name).filter(|size| size.kind() == service.kind);
            let size = known.map_or_else(|| Arc::new(Size::new(service.kind)), Arc::clone);
            (service.name.clone(), size)
        };
        self.table = Table {
            desk: self.kernel.configure(now, &tenants, &services),
            sizes: Arc::new(config.services.values().map(size).collect()),
        };
    }

    /// Looks at load and demand; called at each tick of the control thread.
    pub fn tick(&mut self, now: Instant, snapshot: &Snapshot) {
        self.flows.retain(|key, _| snapshot.view.find(key).is_some());
        let mut readings = BTreeMap::new();
        for (name, size) in self.table.sizes.iter() {
            let Some(service) = snapshot.services.get(name) else {
                continue;
            };
            let load = Load::of(now, size.kind(), &snapshot.view, service.number, &mut self.flows);
            if load.capacity > 0.0 {
                size.set_price(load.price, load.capacity);
                size.set_demand_and_rate(self.kernel.demand(now, name), load.rate());
            }
            let reading = load.reading(size.tick());
            readings.extend(reading.map(|reading| (name.clone(), reading)));
        }
        // Reports are looked at each time, so that what changed since each is known closely. Dividing the shares takes a
        // millisecond at the largest size, so that is done more rarely; the gates follow each request in between.
        if now.since(self.divided) < DIVISION {
            return;
        }
        self.divided = now;
        self.kernel.tick(now, &readings);
        if now.since(self.told) >= SILENCE {
            self.tell(now);
        }
    }

    /// Returns what other entries and zones should hear now.
    pub fn tell(&mut self, now: Instant) -> Announcement {
        self.told = now;
        self.kernel.announce(now)
    }

    /// Notes what another entry of this zone, or another zone, told; `age` is how long ago.
    pub fn hear(&mut self, now: Instant, origin: &Origin, age: Duration, word: Demand) {
        self.kernel.observe(now, origin, age, word);
    }

    /// Sets how many other entries of this zone are alive.
    pub fn set_peers(&mut self, peers: usize) {
        self.kernel.set_peers(peers);
    }

    /// Forgets an entry of this zone that left or died.
    pub fn remove(&mut self, entry: &name::Entry) {
        self.kernel.remove(entry);
    }
}

fn tenant(organisation: &config::Organisation, config: &Config) -> Organisation {
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

fn service(service: &config::Service) -> limiter::Service {
    limiter::Service {
        name: service.name.clone(),
        target: request::latency_target(service),
    }
}
