//! The operators' document, which configures how requests are handled.

mod difference;
mod organisation;
mod organisations;
mod route;
mod service;
mod supplement;

use std::collections::HashMap;

use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;

pub use self::difference::Difference;
pub use self::difference::Mismatch;
pub use self::organisation::Limit;
pub use self::organisation::Organisation;
pub use self::organisation::Unit;
pub use self::organisations::Organisations;
pub use self::route::Kind;
pub use self::route::Objective;
pub use self::route::Route;
pub use self::route::Split;
pub use self::service::Engine;
pub use self::service::Scale;
pub use self::service::Service;
pub use self::supplement::Supplement;

/// One version of the operators' document.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Document {
    /// The version number; it increases with each version, not always by one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The organisations.
    pub organisations: Organisations,
    /// Limits on the size of requests.
    pub bounds: Bounds,
}

impl Document {
    /// Returns the different objectives of each service's routes.
    ///
    /// Thousands of routes have a few different objectives, and each request's decisions read them.
    pub fn objectives(&self) -> HashMap<name::Service, Vec<Objective>> {
        let mut objectives: HashMap<_, Vec<Objective>> = HashMap::new();
        for route in &self.routes {
            for split in route.splits.iter().filter(|split| split.weight > 0) {
                if !objectives.contains_key(&split.service) {
                    objectives.insert(split.service.clone(), Vec::new());
                }
                let known = objectives.get_mut(&split.service);
                if let Some(known) = known.filter(|known| !known.contains(&route.objective())) {
                    known.push(route.objective());
                }
            }
        }
        objectives
    }
}

/// Limits on the size of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Bounds {
    /// The maximum size of a request's body, in bytes.
    pub body: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { body: 4 << 20 }
    }
}
