//! Policies measured in virtual time, on small models of the platform and of zones.
//!
//! The same seed gives the same figures, so a committed bound can hold them exactly. The models are coarse on purpose:
//! a VM is a rate, a zone is a number of slots. What happens inside an engine is the policy bench's matter.
//!
//! ```
//! use bergamotshift_capacity::bench::capacity::{self, Scenario};
//! use bergamotshift_capacity::prelude::*;
//!
//! let scenario = Scenario { span: 3_600, ..Scenario::default() };
//! let figures = capacity::run(policy::DEFAULT, policy::Settings::default(), &scenario).expect("it registers itself");
//! assert_eq!(figures.in_target, 1.0);
//! ```

pub mod capacity;
pub mod jobs;
pub mod market;

mod platform;
