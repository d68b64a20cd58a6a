//! Open-loop load, its ledger, fault plans and reports.
//!
//! [`run()`] sends requests at their intended times to one or more entries, behaves as a caller of the product does
//! when something breaks, and writes down what was accepted and what came back. Afterwards it reads what each
//! endpoint truly ran and checks the promises that must always hold. A [`Report`] with a violation has not passed.
//!
//! Load goes to loopback addresses only, and is bounded in rate, count and time.
//!
//! ```
//! use bergamotshift_load::prelude::*;
//! use core::time::Duration;
//!
//! let plan = Plan {
//!     callers: vec!["127.0.0.1:8080".parse()?],
//!     rate: 200.0,
//!     duration: Duration::from_secs(5),
//!     mix: vec![Share {
//!         kind: Kind::Get,
//!         path: "/staff/status".into(),
//!         ..Default::default()
//!     }],
//!     ..Default::default()
//! };
//! plan.validate()?;
//!
//! let open = Plan { callers: vec!["192.0.2.1:80".parse()?], ..plan };
//! assert!(open.validate().is_err(), "only loopback addresses are taken");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod arrival;
mod caller;
pub mod check;
mod client;
mod error;
pub mod fault;
pub mod hop;
pub mod latency;
pub mod ledger;
pub mod plan;
pub mod prelude;
mod progress;
pub mod report;
mod run;
pub mod work;

pub use error::Error;
pub use plan::Plan;
pub use report::Report;
pub use run::run;
