//! The endpoints that the control thread knows, and what each of them is to routing.

use std::collections::BTreeMap;
use std::sync::Arc;

use bergamotshift_config::config::Config;
use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::call::Target;
use bergamotshift_limit::quarantine::Instance;
use bergamotshift_route::registry::Registry;
use bergamotshift_route::view;
use slotmap::SecondaryMap;

use super::faults::Faults;
use crate::observe::metrics;
use crate::observe::metrics::Census;
use crate::sharing;
use crate::snapshot::Endpoint;

/// One life of an endpoint.
#[derive(Debug)]
pub(super) struct Known {
    pub(super) endpoint: Arc<Endpoint>,
    class: name::Class,
    market: Market,
    /// Its place in routing; missing while it cannot be reached.
    pub(super) key: Option<key::Endpoint>,
    /// Set once and for good: a lagging list or report cannot bring a leaving endpoint back.
    pub(super) leaving: bool,
    /// When it is asked for its load again.
    pub(super) due: Instant,
    /// Whether it is being asked.
    pub(super) asked: bool,
    /// Its record of broken attempts.
    pub(super) faults: Faults,
}

impl Known {
    pub(super) fn victim(&self) -> Instance {
        Instance::new(self.endpoint.vm.clone(), self.endpoint.incarnation)
    }
}

/// All endpoints.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    pub(super) registry: Registry,
    pub(super) known: BTreeMap<name::Vm, Known>,
}

impl Fleet {
    /// Takes the endpoints that the configuration lists itself, spoken to over TLS or in clear text.
    pub(super) fn configure(&mut self, config: &Config, tls: bool) {
        for listed in &config.endpoints {
            // What the platform lists goes before what the configuration says of the same VM.
            if self.known.contains_key(&listed.name) {
                continue;
            }
            let endpoint = Endpoint {
                vm: listed.name.clone(),
                incarnation: Incarnation::default(),
                zone: listed.zone.clone(),
                service: listed.service.clone(),
                target: Target::new(listed.address, tls),
                seat: sharing::Seat::default(),
            };
            self.insert(config, endpoint, listed.class.clone(), listed.market);
        }
    }

    /// Adds one life of an endpoint.
    pub(super) fn insert(&mut self, config: &Config, endpoint: Endpoint, class: name::Class, market: Market) {
        self.forget(&endpoint.vm);
        let vm = endpoint.vm.clone();
        let mut known = Known {
            endpoint: Arc::new(endpoint),
            class,
            market,
            key: None,
            leaving: false,
            due: Instant::ZERO,
            asked: false,
            faults: Faults::default(),
        };
        known.key = enter(&mut self.registry, config, &known);
        self.known.insert(vm, known);
    }

    /// Finds the life of an endpoint that a message speaks of.
    pub(super) fn find(&mut self, endpoint: &Endpoint) -> Option<&mut Known> {
        self.known
            .get_mut(&endpoint.vm)
            .filter(|known| known.endpoint.incarnation == endpoint.incarnation)
    }

    /// Marks an endpoint as leaving, for good; returns whether that is news.
    pub(super) fn leave(&mut self, endpoint: &Endpoint) -> bool {
        let Some(known) = self.find(endpoint) else { return false };
        let news = !core::mem::replace(&mut known.leaving, true);
        let key = known.key;
        if let Some(key) = key.filter(|_| news) {
            let _ = self.registry.mark_leaving(key);
        }
        news
    }

    /// Takes an endpoint out of routing until it is reached again; returns whether that is news.
    pub(super) fn lose(&mut self, endpoint: &Endpoint) -> bool {
        let key = self.find(endpoint).and_then(|known| known.key.take());
        if let Some(key) = key {
            self.registry.remove(key);
        }
        key.is_some()
    }

    /// Brings an endpoint that was reached back into routing; returns whether that is news.
    pub(super) fn regain(&mut self, config: &Config, endpoint: &Endpoint, now: Instant) -> bool {
        let Some(known) = self
            .known
            .get_mut(&endpoint.vm)
            .filter(|known| known.endpoint.incarnation == endpoint.incarnation && known.key.is_none())
            .filter(|known| known.faults.is_over(now))
        else {
            return false;
        };
        known.key = enter(&mut self.registry, config, known);
        known.key.is_some()
    }

    /// Suspends an endpoint that breaks too many attempts; returns whether that is news.
    ///
    /// Failure: an endpoint answers its load reports and breaks what it is asked to do, at once. Symptom: it always
    /// looks idle, so routing prefers it and it eats the retry budget. It gets no work for a while that doubles; at
    /// most half of a service's endpoints are suspended, so that a fault of ours cannot take a service down.
    pub(super) fn fault(&mut self, endpoint: &Endpoint, finished: u32, now: Instant) -> bool {
        let of_service = |known: &&Known| known.endpoint.service == endpoint.service;
        let all = self.known.values().filter(of_service).count();
        let suspended = self.known.values().filter(of_service);
        let suspended = suspended.filter(|known| !known.faults.is_over(now)).count();
        let Some(known) = self.find(endpoint) else { return false };
        if !known.faults.note(finished, now) || (suspended + 1) * 2 > all {
            return false;
        }
        known.faults.suspend(now);
        self.lose(endpoint)
    }

    /// Returns how each endpoint in routing is reached.
    pub(super) fn endpoints(&self) -> SecondaryMap<key::Endpoint, Arc<Endpoint>> {
        self.known
            .values()
            .filter_map(|known| Some((known.key?, Arc::clone(&known.endpoint))))
            .collect()
    }

    /// Counts the endpoints by service, zone and state.
    pub(super) fn census(&self) -> Census {
        let mut census = Census::new();
        for known in self.known.values() {
            let state = match known {
                Known { leaving: true, .. } => metrics::State::Leaving,
                Known { key: None, .. } => metrics::State::Unreachable,
                Known { .. } => metrics::State::Live,
            };
            let endpoint = &known.endpoint;
            let place = (endpoint.service.clone(), endpoint.zone.clone(), state);
            *census.entry(place).or_default() += 1;
        }
        census
    }

    fn forget(&mut self, vm: &name::Vm) {
        if let Some(key) = self.known.remove(vm).and_then(|known| known.key) {
            self.registry.remove(key);
        }
    }
}

/// Gives an endpoint its place in routing.
fn enter(registry: &mut Registry, config: &Config, known: &Known) -> Option<key::Endpoint> {
    let endpoint = &known.endpoint;
    let entered = view::Endpoint {
        service: registry.service(&endpoint.service).ok()?,
        zone: registry.zone(&endpoint.zone).ok()?,
        class: registry.class(&known.class).ok()?,
        market: known.market,
        price: config
            .price(&endpoint.zone, &known.class, known.market)
            .unwrap_or_default(),
        ..view::Endpoint::default()
    };
    let key = registry.insert(entered).ok()?;
    if known.leaving {
        let _ = registry.mark_leaving(key);
    }
    Some(key)
}
