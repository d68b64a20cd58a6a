//! What a duty's holder sees of its service.

use std::collections::BTreeMap;

use bergamotshift_capacity::demand::Demand;
use bergamotshift_capacity::market::Offer;
use bergamotshift_capacity::market::Pool;
use bergamotshift_config::config::Config;
use bergamotshift_config::config::Service;
use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::call::Target;

use crate::snapshot::Snapshot;

/// An endpoint that answers.
#[derive(Clone, Debug)]
pub struct Reached {
    /// Which life of its VM.
    pub incarnation: Incarnation,
    /// Where it takes orders.
    pub target: Target,
    /// Whether nothing runs there.
    pub idle: bool,
}

/// A service at one moment.
#[derive(Clone, Debug, Default)]
pub struct Picture {
    /// What can be bought.
    pub offers: Vec<Offer>,
    /// The work asked for.
    pub demand: Demand,
    /// The endpoints that answer.
    pub reached: BTreeMap<name::Vm, Reached>,
}

impl Picture {
    /// Takes a service's picture; there is none before one of its endpoints has said what it can do.
    pub fn take(snapshot: &Snapshot, service: &Service) -> Option<Self> {
        let (urgent, rate) = snapshot.sharing.demand_and_rate(&service.name)?;
        let numbers = snapshot.services.get(&service.name)?;
        let mut reached = BTreeMap::new();
        for row in snapshot.view.rows() {
            let Some((report, _)) = row.report().filter(|_| row.endpoint().service == numbers.number) else {
                continue;
            };
            let Some(endpoint) = snapshot.endpoints.get(row.key()) else {
                continue;
            };
            let idle = report.running + report.waiting + row.counter().in_flight() == 0;
            let seen = Reached {
                incarnation: endpoint.incarnation,
                target: endpoint.target.clone(),
                idle,
            };
            reached.insert(endpoint.vm.clone(), seen);
        }
        Some(Self {
            offers: offers(&snapshot.config, service, rate),
            demand: Demand {
                urgent,
                deferrable: 0.0,
            },
            reached,
        })
    }
}

/// Returns what the configuration lets a service buy.
fn offers(config: &Config, service: &Service, rate: f64) -> Vec<Offer> {
    let allowed = |zone: &&name::Zone| service.zones.is_empty() || service.zones.contains(zone);
    let fits = |class: &&name::Class| service.classes.is_empty() || service.classes.contains(class);
    let mut offers = Vec::new();
    for zone in config.zones.keys().filter(allowed) {
        for class in config.classes.keys().filter(fits) {
            for market in [Market::Reclaimable, Market::OnDemand] {
                let price = config.price(zone, class, market);
                let pool = Pool::new(zone.clone(), class.clone(), market);
                offers.extend(price.map(|price| Offer { pool, price, rate }));
            }
        }
    }
    offers
}
