//! Endpoints known to the control thread, and their state in routing.

use std::collections::BTreeMap;
use std::sync::Arc;

use bergamotshift_config::config::Config;
use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::call::Target;
use bergamotshift_limit::quarantine::Instance;
use bergamotshift_limit::silence::Pulse;
use bergamotshift_route::registry::Registry;
use bergamotshift_route::view;
use slotmap::SecondaryMap;

use super::faults::Faults;
use crate::observe::metrics;
use crate::observe::metrics::Census;
use crate::sharing;
use crate::snapshot::Endpoint;

/// State of one incarnation of an endpoint.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) endpoint: Arc<Endpoint>,
    class: name::Class,
    market: Market,
    /// Key in the routing registry; `None` while the endpoint is unreachable or suspended.
    pub(super) key: Option<key::Endpoint>,
    /// Whether the endpoint is leaving; never reset, so that a lagging list or report cannot bring it back.
    pub(super) leaving: bool,
    /// Time from which the endpoint's load is probed again.
    pub(super) next_probe: Instant,
    /// Whether a periodic load probe is in flight.
    pub(super) is_probing: bool,
    /// Failed attempts and suspensions.
    pub(super) faults: Faults,
}

impl Record {
    /// Returns the instance under which the quarantine counts the endpoint's death.
    pub(super) fn instance(&self) -> Instance {
        Instance::new(self.endpoint.vm.clone(), self.endpoint.incarnation)
    }
}

/// Known endpoints and the routing registry.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    pub(super) registry: Registry,
    pub(super) records: BTreeMap<name::Vm, Record>,
}

impl Fleet {
    /// Adds the endpoints that are listed in the configuration; `tls` selects TLS instead of clear text.
    pub(super) fn add_configured(&mut self, config: &Config, tls: bool) {
        for listed in &config.endpoints {
            // The platform's list takes precedence over the configuration for the same VM.
            if self.records.contains_key(&listed.name) {
                continue;
            }
            let endpoint = Endpoint {
                vm: listed.name.clone(),
                incarnation: Incarnation::default(),
                zone: listed.zone.clone(),
                service: listed.service.clone(),
                target: Target::new(listed.address, tls),
                isolation: sharing::Isolation::default(),
                pulse: Arc::default(),
                statement: Arc::default(),
            };
            self.insert(config, endpoint, listed.class.clone(), listed.market);
        }
    }

    /// Adds an incarnation of an endpoint, replacing the previous one of the same VM.
    pub(super) fn insert(&mut self, config: &Config, endpoint: Endpoint, class: name::Class, market: Market) {
        self.remove(&endpoint.vm);
        let vm = endpoint.vm.clone();
        let mut record = Record {
            endpoint: Arc::new(endpoint),
            class,
            market,
            key: None,
            leaving: false,
            next_probe: Instant::ZERO,
            is_probing: false,
            faults: Faults::default(),
        };
        record.key = register(&mut self.registry, config, &record);
        self.records.insert(vm, record);
    }

    /// Returns the record of an endpoint if the incarnation matches.
    pub(super) fn find(&mut self, endpoint: &Endpoint) -> Option<&mut Record> {
        self.records
            .get_mut(&endpoint.vm)
            .filter(|record| record.endpoint.incarnation == endpoint.incarnation)
    }

    /// Marks an endpoint as leaving permanently; returns whether it was not marked before.
    pub(super) fn mark_leaving(&mut self, endpoint: &Endpoint) -> bool {
        let Some(record) = self.find(endpoint) else {
            return false;
        };
        let is_new = !core::mem::replace(&mut record.leaving, true);
        let key = record.key;
        if let Some(key) = key.filter(|_| is_new) {
            let _ = self.registry.mark_leaving(key);
        }
        is_new
    }

    /// Removes an endpoint from routing until it is reachable again; returns whether it was in routing.
    pub(super) fn mark_unreachable(&mut self, endpoint: &Endpoint) -> bool {
        let key = self.find(endpoint).and_then(|record| record.key.take());
        if let Some(key) = key {
            self.registry.remove(key);
        }
        key.is_some()
    }

    /// Puts a reachable endpoint back into routing unless it is suspended; returns whether it was added.
    pub(super) fn mark_reachable(&mut self, config: &Config, endpoint: &Endpoint, now: Instant) -> bool {
        let Some(record) = self
            .records
            .get_mut(&endpoint.vm)
            .filter(|record| record.endpoint.incarnation == endpoint.incarnation && record.key.is_none())
            .filter(|record| record.faults.allows_requests(now))
        else {
            return false;
        };
        record.key = register(&mut self.registry, config, record);
        record.key.is_some()
    }

    /// Records a failed attempt and suspends the endpoint after too many; returns whether that removed it from routing.
    ///
    /// An endpoint that answers load probes but fails its requests immediately always looks idle, so routing would
    /// prefer it and its failures would use up the retry budget. Each suspension is twice as long as the one before.
    /// At most half of a service's endpoints are suspended, so that a fault of the entry cannot take a service down.
    pub(super) fn record_failure(&mut self, endpoint: &Endpoint, finished: u32, now: Instant) -> bool {
        let of_service = |record: &&Record| record.endpoint.service == endpoint.service;
        let all = self.records.values().filter(of_service).count();
        let suspended = self.records.values().filter(of_service);
        let suspended = suspended.filter(|record| !record.faults.allows_requests(now)).count();
        let Some(record) = self.find(endpoint) else {
            return false;
        };
        if !record.faults.record(finished, now) || (suspended + 1) * 2 > all {
            return false;
        }
        record.faults.suspend(now);
        self.mark_unreachable(endpoint)
    }

    /// Returns the endpoints in routing by their keys.
    pub(super) fn endpoints(&self) -> SecondaryMap<key::Endpoint, Arc<Endpoint>> {
        self.records
            .values()
            .filter_map(|record| Some((record.key?, Arc::clone(&record.endpoint))))
            .collect()
    }

    /// Returns the signs of life of all endpoints by service.
    pub(super) fn pulses(&self) -> BTreeMap<name::Service, Vec<Arc<Pulse>>> {
        let mut pulses = BTreeMap::<_, Vec<_>>::new();
        for record in self.records.values() {
            let service = pulses.entry(record.endpoint.service.clone()).or_default();
            service.push(Arc::clone(&record.endpoint.pulse));
        }
        pulses
    }

    /// Returns the number of endpoints by service, zone and state.
    pub(super) fn census(&self) -> Census {
        let mut census = Census::new();
        for record in self.records.values() {
            let state = match record {
                Record { leaving: true, .. } => metrics::State::Leaving,
                Record { key: None, .. } => metrics::State::Unreachable,
                Record { .. } => metrics::State::Live,
            };
            let endpoint = &record.endpoint;
            let place = (endpoint.service.clone(), endpoint.zone.clone(), state);
            *census.entry(place).or_default() += 1;
        }
        census
    }

    /// Removes the endpoint on a VM, from routing too.
    fn remove(&mut self, vm: &name::Vm) {
        if let Some(key) = self.records.remove(vm).and_then(|record| record.key) {
            self.registry.remove(key);
        }
    }
}

/// Adds an endpoint to the routing registry; returns `None` if the registry is full.
fn register(registry: &mut Registry, config: &Config, record: &Record) -> Option<key::Endpoint> {
    let endpoint = &record.endpoint;
    let row = view::Endpoint {
        service: registry.service(&endpoint.service).ok()?,
        zone: registry.zone(&endpoint.zone).ok()?,
        class: registry.class(&record.class).ok()?,
        market: record.market,
        price: config
            .price(&endpoint.zone, &record.class, record.market)
            .unwrap_or_default(),
        ..view::Endpoint::default()
    };
    let key = registry.insert(row).ok()?;
    if record.leaving {
        let _ = registry.mark_leaving(key);
    }
    Some(key)
}
