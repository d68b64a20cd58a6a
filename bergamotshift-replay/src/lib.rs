//! The kernel's policies replayed in virtual time against a small engine model.
//!
//! A [`Scenario`] names a workload, a fault and a routing policy. [`run`] replays it: entries run the real routing
//! kernel, endpoints are the model of [`engine`], and the platform starts, reclaims and refuses VMs. Nothing waits for
//! a real clock, so half an hour takes about a second, and the same seed gives the same report.
//!
//! ```
//! use core::time::Duration;
//! use bergamotshift_replay::Scenario;
//!
//! let scenario = Scenario { span: Some(Duration::from_secs(20)), ..Scenario::default() };
//! let report = bergamotshift_replay::run(&scenario)?;
//! assert_eq!(report.failed, 0);
//! assert_eq!(report, bergamotshift_replay::run(&scenario)?);
//! # Ok::<(), bergamotshift_replay::Error>(())
//! ```

pub mod bound;
pub mod engine;
pub mod error;
pub mod ladder;
pub mod regression;
pub mod scenario;
pub mod site;
pub mod table;
pub mod tally;
pub mod workload;

mod world;

pub use bound::Bound;
pub use error::Error;
pub use ladder::Ladder;
pub use ladder::Plan;
pub use scenario::Fault;
pub use scenario::Load;
pub use scenario::Scenario;
pub use table::Table;
pub use tally::Report;

/// Replays a scenario.
///
/// # Errors
///
/// Returns [`Error::Policy`] when no routing policy has the scenario's name.
pub fn run(scenario: &Scenario) -> Result<Report, Error> {
    world::World::new(scenario).map(world::World::run)
}
