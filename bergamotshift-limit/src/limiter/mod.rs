//! Limits, shares and admission of one entry combined.
//!
//! The control thread keeps a [`Kernel`], which applies the configuration, load readings and the announcements of other
//! entries. Workers use the [`Table`] that it returns for each configuration. A table is immutable; the control thread
//! updates the allowances and accounts behind it.
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
//! let mut decide = || table.decide(Instant::ZERO, &hotel, &planner, request, Cost::default(), &mut rng);
//! assert_eq!(decide(), Some(Decision::Admit));
//! assert!(matches!(decide(), Some(Decision::Refuse { .. })));
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

/// Settings of the parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Demand reports and portions.
    pub demand: demand::Settings,
    /// Shares of services.
    pub share: share::Settings,
    /// Admission to services.
    pub gate: admission::Settings,
    /// Maximum age of a load report; older reports are treated as this old.
    pub max_report_age: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            demand: demand::Settings::default(),
            share: share::Settings::default(),
            gate: admission::Settings::default(),
            max_report_age: Duration::from_secs(5),
        }
    }
}

/// Configuration of an organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: name::Organisation,
    /// Weight relative to the other organisations.
    pub weight: f64,
    /// Limits over the whole fleet.
    pub limits: Limits,
    /// Services that the organisation may use.
    pub services: Vec<name::Service>,
}

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: name::Service,
    /// Latency target of the service.
    pub target: Duration,
}

/// Load of a service at an earlier time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reading {
    /// Units of work per second, over all endpoints that can be reached from here.
    pub capacity: f64,
    /// Waits at that time, by [`Urgency`], each including more urgent work.
    pub waits: [Duration; 3],
    /// Part of the waits that runs concurrently in the slots without waiting.
    pub concurrency: Duration,
    /// Age of the reading.
    pub age: Duration,
}

/// Demand at an entry, or in a zone as a sum.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Demand {
    /// Requests per second, by organisation.
    pub requests: Rates,
    /// Work per second, by service and organisation.
    pub work: BTreeMap<name::Service, Rates>,
}

/// Demand that an entry announces, by recipient.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Announcement {
    /// Demand at this entry, for the other entries of its zone.
    pub entry: Demand,
    /// Demand in its zone, for the other zones.
    pub zone: Demand,
}
