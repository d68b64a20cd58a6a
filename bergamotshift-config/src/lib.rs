//! Configuration folder of the operators: parsing, validation, merge, diff and acceptance of versions.
//!
//! Operators keep the configuration in a folder of TOML files, which are merged in the order of their names.
//! [`folder::load`] reads the folder into a [`config::Config`], or returns a list of problems with file, line and key.
//! [`accept`] holds the protocol by which all entries agree on a version.
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
