//! Typed configuration, merged from all files of the folder.

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

/// Configuration of the system, merged from all files and validated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Availability zones.
    pub zones: BTreeMap<name::Zone, Zone>,
    /// Machine classes and their prices.
    pub classes: BTreeMap<name::Class, Class>,
    /// Prices of a class in one zone, where they differ from the prices of the class.
    pub prices: Vec<ZonePrice>,
    /// Services that callers can send requests to.
    pub services: BTreeMap<name::Service, Service>,
    /// Rules for certain requests of a service.
    pub routes: Vec<Route>,
    /// Organisations whose callers are accepted.
    pub organisations: BTreeMap<name::Organisation, Organisation>,
    /// Endpoints of sites that have no VM list.
    pub endpoints: Vec<Endpoint>,
}

impl Config {
    /// Returns the service for a host and path.
    ///
    /// A service that lists the host precedes one that lists no hosts; next, the longest path prefix wins. A model
    /// service that lists no hosts is found only by [`Config::service_for_model`].
    pub fn service_for(&self, host: &str, path: &str) -> Option<&Service> {
        self.services
            .values()
            .filter_map(|service| service.rank(host, path).map(|rank| (rank, service)))
            // The first of equal ranks wins, so the result depends only on the order of names.
            .reduce(|best, next| if next.0 > best.0 { next } else { best })
            .map(|(_, service)| service)
    }

    /// Returns the service that serves a model.
    pub fn service_for_model(&self, model: &str) -> Option<&Service> {
        self.services
            .values()
            .find(|service| service.models.iter().any(|name| name.as_str() == model))
    }

    /// Returns the organisation that a bearer token belongs to.
    ///
    /// The token is compared with every digest in constant time, so the duration reveals nothing about the digests.
    pub fn organisation_by_token(&self, token: &str) -> Option<&Organisation> {
        let digest = Digest::of(token);
        let mut found = None;
        for organisation in self.organisations.values() {
            let mut matches_key = Choice::from(0);
            for key in &organisation.keys {
                matches_key |= key.ct_eq(&digest);
            }
            if bool::from(matches_key) {
                found = Some(organisation);
            }
        }
        found
    }

    /// Returns the most specific rule for a request of a service: an exact path first, then the longest prefix.
    pub fn route(&self, service: &name::Service, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.service == *service)
            .filter_map(|route| route.rank(method, path).map(|rank| (rank, route)))
            .reduce(|best, next| if next.0 > best.0 { next } else { best })
            .map(|(_, route)| route)
    }

    /// Returns the handling of a request, determined by its route, its service and the defaults.
    pub fn handling(&self, service: &Service, method: &str, path: &str) -> Handling {
        Handling::new(service, self.route(&service.name, method, path), method, path)
    }

    /// Returns the price of one hour of a VM of a machine class in a zone.
    pub fn price(&self, zone: &name::Zone, class: &name::Class, market: Market) -> Option<Price> {
        let class = self.classes.get(class)?;
        let zone_price = self
            .prices
            .iter()
            .find(|price| price.zone == *zone && price.class == class.name);
        Some(match market {
            Market::Reclaimable => zone_price
                .and_then(|price| price.reclaimable)
                .unwrap_or(class.price_reclaimable),
            Market::OnDemand => zone_price
                .and_then(|price| price.on_demand)
                .unwrap_or(class.price_on_demand),
        })
    }

    /// Returns the zones in which a service may run for an organisation: those that exist and that both allow.
    pub fn zones_for(&self, service: &Service, organisation: &Organisation) -> Vec<&name::Zone> {
        let allowed = |list: &[name::Zone], zone: &name::Zone| list.is_empty() || list.contains(zone);
        self.zones
            .keys()
            .filter(|zone| allowed(&service.zones, zone) && allowed(&organisation.zones, zone))
            .collect()
    }
}

impl fmt::Display for Config {
    /// Formats the whole configuration as one TOML file.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let document = Document {
            zone: self.zones.values().collect(),
            class: self.classes.values().collect(),
            price: &self.prices,
            service: self.services.values().collect(),
            route: &self.routes,
            organisation: self.organisations.values().collect(),
            endpoint: &self.endpoints,
        };
        let text = toml::to_string(&document).or(Err(fmt::Error))?;
        f.write_str(&text)
    }
}

/// TOML file that contains all sections.
#[derive(Serialize)]
struct Document<'a> {
    zone: Vec<&'a Zone>,
    class: Vec<&'a Class>,
    price: &'a [ZonePrice],
    service: Vec<&'a Service>,
    route: &'a [Route],
    organisation: Vec<&'a Organisation>,
    endpoint: &'a [Endpoint],
}
