//! The typed configuration, as one merged whole.

use core::fmt;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;
use serde::Serialize;
use subtle::Choice;

mod endpoint;
mod organisation;
mod route;
mod service;
mod value;
mod zone;

pub use endpoint::Endpoint;
pub use organisation::Limits;
pub use organisation::Organisation;
pub use route::Handling;
pub use route::Route;
pub use service::Kind;
pub use service::Retry;
pub use service::Service;
pub use service::Target;
pub use zone::Class;
pub use zone::Zone;
pub use zone::ZonePrice;

use crate::digest::Digest;

/// Everything that operators set, merged from all files and checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// The availability zones.
    pub zones: BTreeMap<name::Zone, Zone>,
    /// The machine classes and what they cost.
    pub classes: BTreeMap<name::Class, Class>,
    /// Prices that differ from the class's own in one zone.
    pub prices: Vec<ZonePrice>,
    /// The services that callers reach.
    pub services: BTreeMap<name::Service, Service>,
    /// Rules for some of a service's requests.
    pub routes: Vec<Route>,
    /// The organisations whose callers are let in.
    pub organisations: BTreeMap<name::Organisation, Organisation>,
    /// Endpoints of sites without a VM list.
    pub endpoints: Vec<Endpoint>,
}

impl Config {
    /// Finds the service that answers for a host and path.
    ///
    /// A service that names the host goes before one that names no hosts; among plain services the longest path prefix
    /// wins. Model services are found by [`Config::service_for_model`] unless they name hosts.
    pub fn service_for(&self, host: &str, path: &str) -> Option<&Service> {
        self.services
            .values()
            .filter_map(|service| service.rank(host, path).map(|rank| (rank, service)))
            // The first of equals wins, so the order of names decides and not chance.
            .reduce(|best, next| if next.0 > best.0 { next } else { best })
            .map(|(_, service)| service)
    }

    /// Finds the service that serves a model.
    pub fn service_for_model(&self, model: &str) -> Option<&Service> {
        self.services
            .values()
            .find(|service| service.models.iter().any(|name| name.as_str() == model))
    }

    /// Finds the organisation that a bearer token belongs to.
    ///
    /// Every digest is compared in constant time, so the time taken tells nothing of any of them.
    pub fn organisation_by_token(&self, token: &str) -> Option<&Organisation> {
        let digest = Digest::of(token);
        let mut found = None;
        for organisation in self.organisations.values() {
            let mut same = Choice::from(0);
            for key in &organisation.keys {
                same |= key.same(&digest);
            }
            if bool::from(same) {
                found = Some(organisation);
            }
        }
        found
    }

    /// Finds the most specific rule for a service's request: an exact path first, then the longest prefix.
    pub fn route(&self, service: &name::Service, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.service == *service)
            .filter_map(|route| route.rank(method, path).map(|rank| (rank, route)))
            .reduce(|best, next| if next.0 > best.0 { next } else { best })
            .map(|(_, route)| route)
    }

    /// Returns how a request is to be handled, from its route, its service and the defaults.
    pub fn handling(&self, service: &Service, method: &str, path: &str) -> Handling {
        Handling::new(service, self.route(&service.name, method, path), method, path)
    }

    /// Returns what an hour of a machine class costs in a zone.
    pub fn price(&self, zone: &name::Zone, class: &name::Class, market: Market) -> Option<Price> {
        let class = self.classes.get(class)?;
        let special = self
            .prices
            .iter()
            .find(|price| price.zone == *zone && price.class == class.name);
        Some(match market {
            Market::Reclaimable => special
                .and_then(|price| price.reclaimable)
                .unwrap_or(class.price_reclaimable),
            Market::OnDemand => special
                .and_then(|price| price.on_demand)
                .unwrap_or(class.price_on_demand),
        })
    }

    /// Returns the zones a service may run in for an organisation: those that both allow, and that exist.
    pub fn zones_for(&self, service: &Service, organisation: &Organisation) -> Vec<&name::Zone> {
        let allowed = |list: &[name::Zone], zone: &name::Zone| list.is_empty() || list.contains(zone);
        self.zones
            .keys()
            .filter(|zone| allowed(&service.zones, zone) && allowed(&organisation.zones, zone))
            .collect()
    }
}

impl fmt::Display for Config {
    /// Writes the whole configuration as one TOML file.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = Whole {
            zone: self.zones.values().collect(),
            class: self.classes.values().collect(),
            price: &self.prices,
            service: self.services.values().collect(),
            route: &self.routes,
            organisation: self.organisations.values().collect(),
            endpoint: &self.endpoints,
        };
        let text = toml::to_string(&whole).or(Err(fmt::Error))?;
        f.write_str(&text)
    }
}

/// The sections as one file holds them.
#[derive(Serialize)]
struct Whole<'a> {
    zone: Vec<&'a Zone>,
    class: Vec<&'a Class>,
    price: &'a [ZonePrice],
    service: Vec<&'a Service>,
    route: &'a [Route],
    organisation: Vec<&'a Organisation>,
    endpoint: &'a [Endpoint],
}
