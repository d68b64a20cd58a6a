//! State of a service, as its capacity duty observes it.

use std::collections::BTreeMap;

use bergamotshift_capacity::demand::Demand;
use bergamotshift_capacity::market::Offer;
use bergamotshift_capacity::market::Pool;
use bergamotshift_config::config::Config;
use bergamotshift_config::config::Service;
use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::call::Target;

use crate::snapshot::Snapshot;

/// Endpoint that answers.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Incarnation of its VM.
    pub incarnation: Incarnation,
    /// Address that takes orders.
    pub target: Target,
    /// Whether no request runs, waits or is in flight there.
    pub idle: bool,
}

/// State of a service at one time.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    /// VMs that can be bought, with price and rate.
    pub offers: Vec<Offer>,
    /// Demand for the service's work.
    pub demand: Demand,
    /// Endpoints that answer, by VM.
    pub endpoints: BTreeMap<name::Vm, Endpoint>,
}

impl Observation {
    /// Reads a service's state from a snapshot, or returns `None` while no endpoint of it has reported.
    pub fn new(snapshot: &Snapshot, service: &Service) -> Option<Self> {
        let (urgent, rate) = snapshot.sharing.demand_and_rate(&service.name)?;
        let numbers = snapshot.services.get(&service.name)?;
        let mut endpoints = BTreeMap::new();
        for row in snapshot.view.rows() {
            let Some((report, _)) = row.report().filter(|_| row.endpoint().service == numbers.number) else {
                continue;
            };
            let Some(endpoint) = snapshot.endpoints.get(row.key()) else {
                continue;
            };
            let idle = report.running + report.waiting + row.counter().in_flight() == 0;
            let observed = Endpoint {
                incarnation: endpoint.incarnation,
                target: endpoint.target.clone(),
                idle,
            };
            endpoints.insert(endpoint.vm.clone(), observed);
        }
        Some(Self {
            offers: offers(&snapshot.config, service, rate),
            demand: Demand {
                urgent,
                deferrable: 0.0,
            },
            endpoints,
        })
    }
}

/// Returns the VMs that a service may buy: those in allowed zones, of allowed classes, that have a price.
fn offers(config: &Config, service: &Service, rate: f64) -> Vec<Offer> {
    let is_allowed_zone = |zone: &&name::Zone| service.zones.is_empty() || service.zones.contains(zone);
    let is_allowed_class = |class: &&name::Class| service.classes.is_empty() || service.classes.contains(class);
    let mut offers = Vec::new();
    for zone in config.zones.keys().filter(is_allowed_zone) {
        for class in config.classes.keys().filter(is_allowed_class) {
            for market in [Market::Reclaimable, Market::OnDemand] {
                let price = config.price(zone, class, market);
                let pool = Pool::new(zone.clone(), class.clone(), market);
                offers.extend(price.map(|price| Offer { pool, price, rate }));
            }
        }
    }
    offers
}
