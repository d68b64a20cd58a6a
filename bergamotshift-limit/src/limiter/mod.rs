//! Limits, shares and admission of one entry, put together.
//!
//! The control thread keeps a [`Kernel`]: it follows the configuration, hears load and gossip, and ticks. Workers ask
//! the [`Table`] that each configuration gives; its cells change under them, the table itself does not.
//!
//! ```
//! use bergamotshift_core::prelude::*;
//! use bergamotshift_limit::admission::{Decision, Request};
//! use bergamotshift_limit::limiter::{Kernel, Organisation, Service, Settings};
//! use bergamotshift_limit::quota::{Cost, Limits};
//! use core::time::Duration;
//! use rand_pcg::Pcg64Mcg;
//!
//! let mut kernel = Kernel::new(Settings::default(), vec![], 0);
//! let (hotel, planner) = (name::Organisation::from("hotel"), name::Service::from("planner-llm"));
//! let limits = Limits { requests_per_second: Some(1.0), burst: 1.0, ..Limits::default() };
//! let organisations = [Organisation { name: hotel.clone(), weight: 1.0, limits, services: vec![planner.clone()] }];
//! let services = [Service { name: planner.clone(), target: Duration::from_secs(2) }];
//! let table = kernel.configure(Instant::ZERO, &organisations, &services);
//!
//! let request = Request {
//!     urgency: Urgency::Urgent,
//!     target: Duration::from_secs(2),
//!     deadline: Instant::from_secs(30),
//!     deferrable: false,
//!     work: 100,
//! };
//! let mut rng = Pcg64Mcg::new(1);
//! let mut ask = || table.decide(Instant::ZERO, &hotel, &planner, request, Cost::default(), &mut rng);
//! assert_eq!(ask(), Some(Decision::Admit));
//! assert!(matches!(ask(), Some(Decision::Refuse { .. })));
//! ```

mod kernel;
mod table;

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

pub use self::kernel::Kernel;
pub use self::table::Table;
use crate::admission;
use crate::demand;
use crate::demand::Rates;
use crate::quota::Limits;
use crate::share;

/// How the parts are set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How demand is told and aged.
    pub demand: demand::Settings,
    /// How services are shared.
    pub share: share::Settings,
    /// When services count as contended.
    pub gate: admission::Settings,
    /// The age at which load reports say no more than that.
    pub memory: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            demand: demand::Settings::default(),
            share: share::Settings::default(),
            gate: admission::Settings::default(),
            memory: Duration::from_secs(5),
        }
    }
}

/// An organisation, as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: name::Organisation,
    /// Its weight against the others.
    pub weight: f64,
    /// What it may use in all.
    pub limits: Limits,
    /// The services that it may use.
    pub services: Vec<name::Service>,
}

/// A service, as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: name::Service,
    /// Its latency target.
    pub target: Duration,
}

/// What is known of a service's load, some time late.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reading {
    /// Units of work per second, over all endpoints that can be reached from here.
    pub capacity: f64,
    /// The waits then, by [`Urgency`], each including more urgent work.
    pub waits: [Duration; 3],
    /// What of the waits runs at once in free slots and makes nobody wait.
    pub concurrency: Duration,
    /// How long ago that was.
    pub age: Duration,
}

/// What an entry, or a zone as a sum, is asked for.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Demand {
    /// Requests per second.
    pub requests: Rates,
    /// Work per second, by service.
    pub work: BTreeMap<name::Service, Rates>,
}

/// What an entry tells, by who should hear it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Announcement {
    /// For the other entries of its zone.
    pub entry: Demand,
    /// For the other zones.
    pub zone: Demand,
}
