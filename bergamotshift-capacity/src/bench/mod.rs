//! Simulations of the policies in virtual time, with simple models of the platform and of zones.
//!
//! The same seed gives the same figures, so tests can compare them with committed bounds. The models are deliberately
//! coarse: a VM is a rate, a zone is a number of slots. The inside of an engine is not simulated here.
//!
//! ```
//! use bergamotshift_capacity::bench::capacity::{self, Scenario};
//! use bergamotshift_capacity::prelude::*;
//!
//! let scenario = Scenario { span: 3_600, ..Scenario::default() };
//! let figures = capacity::run(policy::DEFAULT, policy::Settings::default(), &scenario).expect("it is registered");
//! assert_eq!(figures.in_target, 1.0);
//! ```

pub mod capacity;
pub mod jobs;
pub mod market;

mod platform;
