//! bergamotshift: a serving system for language models and plain services on reclaimable VMs.
//!
//! This crate is the façade. It holds the command line and re-exports the crates that do the work, each under its own
//! name, so that a program that embeds an entry needs one dependency.
//!
//! ```
//! use bergamotshift::core::prelude::*;
//!
//! assert_eq!(Outcome::NotRun.to_string(), "not-run");
//! ```

pub use bergamotshift_capacity as capacity;
pub use bergamotshift_claim as claim;
pub use bergamotshift_config as config;
pub use bergamotshift_core as core;
pub use bergamotshift_endpoint as endpoint;
pub use bergamotshift_entry as entry;
pub use bergamotshift_fleet as fleet;
pub use bergamotshift_forward as forward;
pub use bergamotshift_limit as limit;
pub use bergamotshift_link as link;
pub use bergamotshift_load as load;
pub use bergamotshift_metadata as metadata;
pub use bergamotshift_platform as platform;
pub use bergamotshift_replay as replay;
pub use bergamotshift_route as route;
pub use bergamotshift_standin as standin;

pub mod command;
pub mod demo;
pub mod environment;
pub mod error;
pub mod log;
pub mod setting;
pub mod status;
pub mod stop;
