//! One entry of a replay: its registry, its view, and deferrable work that waits for room.

use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;
use bergamotshift_route::View;
use bergamotshift_route::registry::Registry;
use bergamotshift_route::view;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;

use crate::engine::Job;
use crate::site::Offer;
use crate::workload::Service;

/// One entry.
pub struct Entry {
    /// What its control task knows.
    pub registry: Registry,
    /// What its threads read.
    pub view: View,
    /// Its generator.
    pub rng: Pcg64Mcg,
    /// Deferrable jobs without room, by deadline.
    pub pending: BTreeSet<(Instant, Job)>,
    /// The VM of each endpoint that it knows.
    pub vms: FxHashMap<key::Endpoint, usize>,
    services: [view::Service; 2],
}

impl Entry {
    /// Makes an entry that knows no endpoint.
    ///
    /// # Panics
    ///
    /// Never: a registry has room for two services.
    pub fn new(entries: u32, seed: u64) -> Self {
        let mut registry = Registry::default();
        registry.set_entries(entries);
        let mut service = |name| {
            registry
                .service(&name::Service::new_static(name))
                .expect("two services fit")
        };
        let services = [service("model"), service("plain")];
        Self {
            view: registry.publish(Instant::ZERO),
            registry,
            rng: Pcg64Mcg::new(u128::from(seed) << 1 | 1),
            pending: BTreeSet::new(),
            vms: FxHashMap::default(),
            services,
        }
    }

    /// Returns the number under which routing knows a service.
    pub const fn service(&self, service: Service) -> view::Service {
        match service {
            Service::Model => self.services[0],
            Service::Plain => self.services[1],
        }
    }

    /// Adds a VM that is ready, and returns the key by which this entry knows it.
    ///
    /// # Panics
    ///
    /// Panics when the site offers more VMs than a registry holds.
    pub fn join(&mut self, vm: usize, offer: &Offer, reclaims: u32) -> key::Endpoint {
        let zone_name = name::Zone::new(format!("zone-{}", offer.zone));
        let class_name = name::Class::new(format!("class-{}", offer.class));
        let endpoint = view::Endpoint {
            service: self.service(offer.service),
            zone: self.registry.zone(&zone_name).expect("zones fit"),
            class: self.registry.class(&class_name).expect("classes fit"),
            market: offer.market,
            price: offer.price,
            reclaims_per_mille_hour: if offer.market == Market::Reclaimable {
                reclaims
            } else {
                0
            },
            speed: offer.speed,
            ..view::Endpoint::default()
        };
        let key = self.registry.insert(endpoint).expect("the site fits a registry");
        self.vms.insert(key, vm);
        key
    }

    /// Forgets a VM that is gone.
    pub fn forget(&mut self, key: key::Endpoint) {
        self.registry.remove(key);
        self.vms.remove(&key);
    }

    /// Publishes what is known.
    pub fn publish(&mut self, now: Instant) {
        self.view = self.registry.publish(now);
    }
}
