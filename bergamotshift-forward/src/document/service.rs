//! Services, and the scaling of their endpoints.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// A service, which is run by any number of endpoints.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Service {
    /// The name of the service.
    pub name: name::Service,
    /// The maximum number of connections that one of its endpoints accepts from all clients together.
    pub connections: u32,
    /// The properties of its model engines; `None` for a service without models.
    pub engine: Option<Engine>,
    /// The bounds of scaling; `None` when this system does not scale the service.
    pub scale: Option<Scale>,
    /// The path at which its endpoints state their health and their incarnation; `None` if it is not known. Entries tell each
    /// other in a [`Supplement`](super::Supplement).
    #[serde(skip)]
    pub health: Option<SmolStr>,
}

/// The properties of a service's model engines.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Engine {
    /// The number of requests that one engine runs concurrently.
    pub slots: u32,
    /// The number of tokens that one engine's memory holds.
    pub memory: u64,
    /// The time to transfer a cached token from one engine to another, in milliseconds; `None` when engines cannot
    /// transfer their caches.
    pub transfer: Option<f64>,
}

/// The bounds and costs of scaling a service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Scale {
    /// The minimum number of endpoints in an availability zone, on both markets together.
    pub min: u32,
    /// The maximum number of endpoints in an availability zone, on both markets together.
    pub max: u32,
    /// The time until a new endpoint serves requests.
    pub boot: Duration,
    /// The price of a reclaimable endpoint relative to an on-demand one, between 0 and 1; `None` when there are no
    /// reclaimable ones.
    pub reclaimable_price: Option<f64>,
    /// The relative price per second of an endpoint in each availability zone.
    pub zone_prices: BTreeMap<name::Zone, f64>,
}
