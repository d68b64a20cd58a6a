//! What a forwarding daemon is told: a file of its own, in TOML.
//!
//! ```
//! use bergamotshift_forward::settings::Settings;
//!
//! let settings = Settings::parse(
//!     r#"
//!     name = "entry-1"
//!     zone = "utrecht-hall"
//!     outside = "memory"
//!     [listen]
//!     callers = "127.0.0.1:8001"
//!     ready = "127.0.0.1:8002"
//!     peers = "127.0.0.1:8003"
//!     metrics = "127.0.0.1:8004"
//!     [store]
//!     address = "127.0.0.1:8005"
//!     "#,
//! )?;
//! assert_eq!(settings.zone.as_str(), "utrecht-hall");
//! assert_eq!(settings.stop.grace_s, 8.0);
//! # Ok::<(), bergamotshift_forward::settings::Error>(())
//! ```

use core::net::SocketAddr;
use core::time::Duration;
use std::path::Path;
use std::path::PathBuf;

use bergamotshift_core::name;
use bergamotshift_rollout as rollout;
use serde::Deserialize;
use smol_str::SmolStr;
use thiserror::Error as ThisError;

use crate::capacity;

/// Why settings cannot be used.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}", path = path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A field is missing or wrong.
    #[error("{0}")]
    Wrong(String),
}

/// What a forwarding daemon is told.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Settings {
    /// The entry's name, unique among the entries.
    pub name: name::Entry,
    /// Its availability zone.
    pub zone: name::Zone,
    /// The part of a processor core that it may use; in a large fleet, what one entry does for its zone falls to one that
    /// may use most.
    #[serde(default = "whole_core")]
    pub core_share: f64,
    /// The kind of outside, by the name under which it registered itself.
    pub outside: SmolStr,
    /// Where it listens.
    pub listen: Listen,
    /// Where the store is.
    pub store: Store,
    /// Where the cloud API is, if it takes calls of this system.
    #[serde(default)]
    pub cloud: Option<Cloud>,
    /// The other entries.
    #[serde(default)]
    pub peers: Peers,
    /// What bounds a start.
    #[serde(default)]
    pub start: Start,
    /// What bounds a stop.
    #[serde(default)]
    pub stop: Stop,
    /// What bounds repeated sends.
    #[serde(default)]
    pub retry: Retry,
    /// The duties that one entry has for all.
    #[serde(default)]
    pub duty: Duty,
    /// What organisations may exceed their limits by.
    #[serde(default)]
    pub limit: Limit,
    /// How many endpoints are ordered.
    #[serde(default)]
    pub capacity: capacity::Settings,
    /// What bounds the roll-out of a service's new version.
    #[serde(default)]
    pub rollout: rollout::Settings,
}

/// Returns what an entry may use that is not told.
const fn whole_core() -> f64 {
    1.0
}

/// Where an entry listens; all addresses are numeric.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer, which asks whether callers may come.
    pub ready: SocketAddr,
    /// For the other entries.
    pub peers: SocketAddr,
    /// For whoever collects metrics.
    pub metrics: SocketAddr,
}

/// Where the store is.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Store {
    /// Its host and port.
    pub address: SmolStr,
}

/// Where the cloud API is.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Cloud {
    /// Its host and port; empty when it takes no calls of this system.
    pub address: SmolStr,
}

/// The other entries.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
pub struct Peers {
    /// Addresses of entries that may be asked first; they may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// What bounds a start.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
pub struct Start {
    /// For how many milliseconds after the process started callers wait until it has read the document and the endpoints:
    /// ten times what that takes where the store is in order.
    #[serde(rename = "patience_ms")]
    pub wait_timeout_ms: u64,
}

impl Default for Start {
    fn default() -> Self {
        Self { wait_timeout_ms: 400 }
    }
}

/// What bounds a stop.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
pub struct Stop {
    /// Seconds between the request to stop and the kill.
    pub grace_s: f64,
}

impl Default for Stop {
    fn default() -> Self {
        Self { grace_s: 8.0 }
    }
}

impl Stop {
    /// What is left of the grace for the process to end by itself.
    const MARGIN: Duration = Duration::from_millis(700);

    /// Returns how long requests may go on after the request to stop.
    pub fn drain_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s.max(0.0)).saturating_sub(Self::MARGIN)
    }
}

/// What bounds repeated sends to one service, over all entries.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
pub struct Retry {
    /// Repeated sends for each request.
    pub ratio: f64,
    /// Repeated sends beyond that within one window.
    pub slack: f64,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 50.0,
        }
    }
}

/// The duties that one entry has for all.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
pub struct Duty {
    /// How long a holder's lease stands without renewal, in milliseconds.
    pub lease_ms: u64,
    /// How long a window of usage is, in seconds; 0 when nobody wants usage.
    pub usage_window_s: f64,
    /// How long after its end a window of usage is due, in seconds.
    #[serde(default = "due")]
    pub usage_due_s: f64,
}

/// Returns when usage is due that nobody says it of, in seconds.
const fn due() -> f64 {
    10.0
}

impl Default for Duty {
    fn default() -> Self {
        Self {
            lease_ms: 3_000,
            usage_window_s: 0.0,
            usage_due_s: due(),
        }
    }
}

/// What organisations may exceed their limits by.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
pub struct Limit {
    /// Units that all entries together may let in beyond a limit's burst.
    pub slack: f64,
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns which field is missing or wrong, or why the file cannot be read.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Reads settings from text; fields that it does not know are passed over.
    ///
    /// # Errors
    ///
    /// Returns which field is missing or wrong.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let settings: Self = toml::from_str(text).map_err(|error| Error::Wrong(one_line(&error)))?;
        let checked = settings.rollout.check();
        checked.map_err(|error| Error::Wrong(format!("[rollout] {error}")))?;
        Ok(settings)
    }
}

/// Returns the cause and the line in one line of text.
fn one_line(error: &toml::de::Error) -> String {
    let shown = error.to_string();
    let place = shown.lines().next().unwrap_or_default();
    let field = shown
        .lines()
        .find_map(|line| line.split_once("| ").map(|(_, text)| text.trim()));
    match field.filter(|text| !text.is_empty()) {
        Some(field) => format!("{} ({place}: {field})", error.message()),
        None => format!("{} ({place})", error.message()),
    }
}
