//! Services as the operators declare them.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;

/// One service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: name::Service,
    /// The most connections that one of its endpoints takes from all callers together.
    pub connections: u32,
    /// What its model engines are like; `None` for a plain service.
    pub engine: Option<Engine>,
    /// How many endpoints may be ordered; `None` when they come and go by themselves.
    pub scale: Option<Scale>,
}

/// What a service's model engines are like.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Engine {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that one engine's memory holds.
    pub memory: u64,
    /// How long a cached token takes from one engine to another, in milliseconds; `None` when it cannot go.
    pub transfer: Option<f64>,
}

/// How many endpoints of a service may be ordered.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Scale {
    /// The fewest in an availability zone, of both markets together.
    pub min: u32,
    /// The most in an availability zone, of both markets together.
    pub max: u32,
    /// How long a new one takes until it serves.
    pub boot: Duration,
    /// What a reclaimable one costs against the other kind, between 0 and 1; `None` when there are none.
    pub reclaimable_price: Option<f64>,
    /// What an endpoint costs in each availability zone, by the second and relative to one another.
    pub zone_prices: BTreeMap<name::Zone, f64>,
}
