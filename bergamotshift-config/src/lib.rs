//! The operators' folder: typed parsing, validation, merge, diff, versions and their acceptance.
//!
//! Operators keep a folder of small TOML files, merged in the order of their names. [`folder::load`] turns it into a
//! [`config::Config`] or into a list of problems with file, line and key.
//!
//! ```
//! use bergamotshift_config::folder;
//!
//! let files = [
//!     ("10-zones.toml", "[[zone]]\nname = \"amsterdam-hall\"\nregion = \"randstad\"\n"),
//!     ("20-classes.toml", "[[class]]\nname = \"a10\"\nprice_reclaimable = 0.3\nprice_on_demand = 1.0\n"),
//! ];
//! let config = folder::parse(&files)?;
//! assert!(config.zones.contains_key("amsterdam-hall"));
//! # Ok::<(), folder::Error>(())
//! ```

pub mod accept;
pub mod config;
pub mod diff;
pub mod digest;
pub mod folder;
pub mod manifest;
pub mod prelude;
