//! The entry daemon: callers' APIs, the request path, control tasks and the operators' address.
//!
//! [`daemon::Daemon::start`] binds the addresses and returns a [`daemon::Handle`]. Worker threads serve callers from
//! an immutable [`snapshot::Snapshot`]; one control thread folds what the platform, the endpoints and the workers
//! report and publishes the next snapshot. A repeatable request meets no lock, no control message and no platform
//! call unless an attempt of it fails.
//!
//! ```
//! use bergamotshift_entry::{Daemon, Settings};
//! use core::time::Duration;
//!
//! let handle = Daemon::start(Settings { threads: 1, ..Settings::default() })?;
//! assert_ne!(handle.callers().port(), 0);
//! handle.drain(Duration::from_secs(1));
//! handle.join();
//! # Ok::<(), bergamotshift_entry::Error>(())
//! ```

pub mod admin;
pub mod api;
pub mod auth;
pub mod claims;
pub mod configuration;
pub mod control;
pub mod daemon;
pub mod duties;
pub mod exchange;
pub mod jobs;
pub mod observe;
pub mod peers;
pub mod settings;
pub mod sharing;
pub mod snapshot;
pub mod tls;
pub mod watch;
pub mod worker;

pub use daemon::Daemon;
pub use daemon::Error;
pub use daemon::Handle;
pub use settings::Settings;
