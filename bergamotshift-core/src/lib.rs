//! Value types shared by all bergamotshift crates.
//!
//! The crate contains small types such as kernel time, arena keys, names, outcomes, VM listings and prices. Nothing
//! here reads a clock, opens a socket or draws a random number, so the kernel crates that use it can be replayed in
//! virtual time.
//!
//! ```
//! use bergamotshift_core::prelude::*;
//! use core::time::Duration;
//!
//! let accepted = Instant::from_millis(1_000);
//! let deadline = accepted + Duration::from_secs(2);
//! assert_eq!(deadline.since(accepted), Duration::from_secs(2));
//! assert!(Outcome::NotRun.may_repeat());
//! ```

pub mod attempt;
pub mod clock;
pub mod fingerprint;
pub mod key;
pub mod load;
pub mod name;
pub mod outcome;
pub mod plugin;
pub mod prelude;
pub mod price;
pub mod table;
pub mod throughput;
pub mod urgency;
pub mod vm;
