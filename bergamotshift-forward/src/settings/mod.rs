//! Settings file of a forwarding daemon, in TOML.
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
use bergamotshift_limit::admission::shortage;
use bergamotshift_limit::intake;
use bergamotshift_rollout as rollout;
use serde::Deserialize;
use smol_str::SmolStr;
use thiserror::Error as ThisError;

use crate::capacity;

/// Error of reading settings.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}", path = path.display())]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A field is missing or invalid.
    #[error("{0}")]
    Invalid(String),
}

/// Settings of a forwarding daemon.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Settings {
    /// Name of the entry, unique in the fleet.
    pub name: name::Entry,
    /// Availability zone of the entry.
    pub zone: name::Zone,
    /// Share of a CPU core that the entry may use. In a large fleet, an entry with the largest share becomes the keeper
    /// of its zone.
    #[serde(default = "whole_core")]
    pub core_share: f64,
    /// Bandwidth of the entry's link, in megabits per second.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// Memory of the entry's machine, in megabytes; bodies of requests may take a third of it.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
    /// Descriptors that the entry may have open; callers' connections may take half of them.
    #[serde(default = "default_descriptors")]
    pub descriptors: usize,
    /// Name of the platform adapter, which connects to the store and the cloud API.
    pub outside: SmolStr,
    /// Addresses on which the entry listens.
    pub listen: Listen,
    /// Addresses at which the other entries reach this one.
    #[serde(default)]
    pub advertise: Advertise,
    /// Address of the store.
    pub store: Store,
    /// Address of the cloud API, if it accepts calls from this system.
    #[serde(default)]
    pub cloud: Option<Cloud>,
    /// Discovery of the other entries.
    #[serde(default)]
    pub peers: Peers,
    /// Start-up of the entry.
    #[serde(default)]
    pub start: Start,
    /// Shutdown of the entry.
    #[serde(default)]
    pub stop: Stop,
    /// Retry budget.
    #[serde(default)]
    pub retry: Retry,
    /// Duties that one entry performs for the fleet.
    #[serde(default)]
    pub duty: Duty,
    /// Tolerance of the organisations' limits.
    #[serde(default)]
    pub limit: Limit,
    /// Planning of the number of endpoints.
    #[serde(default)]
    pub capacity: capacity::Settings,
    /// Admission in a shortage.
    #[serde(default)]
    pub admission: Admission,
    /// Limits of a rollout of a new version.
    #[serde(default)]
    pub rollout: rollout::Settings,
    /// Learned speeds of endpoints.
    #[serde(default)]
    pub speed: Speed,
}

/// Returns the default share of a CPU core: all of it.
const fn whole_core() -> f64 {
    1.0
}

/// Returns the default bandwidth of an entry's link, in megabits per second.
const fn default_link_mbps() -> f64 {
    100.0
}

/// Returns the default memory of an entry's machine, in megabytes.
const fn default_memory_mb() -> usize {
    256
}

/// Returns the default number of descriptors that an entry may have open.
const fn default_descriptors() -> usize {
    4_096
}

/// Addresses on which an entry listens. Host names are not resolved.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
pub struct Listen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the load balancer's readiness checks.
    pub ready: SocketAddr,
    /// Address for the other entries.
    pub peers: SocketAddr,
    /// Address for metrics collectors.
    pub metrics: SocketAddr,
    /// Address for requests of other entries to open connections to endpoints; without one, it opens none for them.
    #[serde(default)]
    pub relay: Option<SocketAddr>,
}

/// Addresses at which the other entries reach this one, where they are not those on which it listens, as behind address
/// translation.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
pub struct Advertise {
    /// Address in place of the one for the other entries.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// Address in place of the one for requests to open connections to endpoints.
    #[serde(default)]
    pub relay: Option<SocketAddr>,
}

/// Address of the store.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Store {
    /// Host and port.
    pub address: SmolStr,
}

/// Address of the cloud API.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Cloud {
    /// Host and port; empty if the cloud API accepts no calls from this system.
    pub address: SmolStr,
}

/// Discovery of the other entries.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
pub struct Peers {
    /// Addresses of entries to contact first; some of them may be outdated.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// Start-up of the entry.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
pub struct Start {
    /// Time after the start of the process for which callers wait until it has read the document and the endpoints, in
    /// milliseconds; ten times what reading takes while the store works.
    #[serde(rename = "patience_ms")]
    pub wait_timeout_ms: u64,
}

impl Default for Start {
    fn default() -> Self {
        Self { wait_timeout_ms: 400 }
    }
}

/// Shutdown of the entry.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
pub struct Stop {
    /// Grace period between the request to stop and the kill, in seconds.
    pub grace_s: f64,
}

impl Default for Stop {
    fn default() -> Self {
        Self { grace_s: 8.0 }
    }
}

impl Stop {
    /// Part of the grace period that is kept for the process to exit by itself.
    const EXIT_MARGIN: Duration = Duration::from_millis(700);

    /// Maximum share of the grace period that is kept for that.
    const MAX_EXIT_SHARE: u32 = 4;

    fn grace(self) -> Duration {
        Duration::from_secs_f64(self.grace_s.max(0.0))
    }

    /// Returns the part of the grace period that is kept for the process to exit by itself.
    pub fn exit_margin(&self) -> Duration {
        Self::EXIT_MARGIN.min(self.grace() / Self::MAX_EXIT_SHARE)
    }

    /// Returns the time after the request to stop within which requests have to complete.
    pub fn drain_timeout(&self) -> Duration {
        self.grace().saturating_sub(self.exit_margin())
    }
}

/// Retry budget of one service, for the whole fleet.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
pub struct Retry {
    /// Number of retries per request.
    pub ratio: f64,
    /// Number of retries beyond the ratio within one window.
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

/// Duties that one entry performs for the fleet.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
pub struct Duty {
    /// Duration of the holder's lease without renewal, in milliseconds.
    pub lease_ms: u64,
    /// Length of a usage window, in seconds; 0 disables usage reports.
    pub usage_window_s: f64,
    /// Time after the end of a usage window at which its report is due, in seconds.
    #[serde(default = "due")]
    pub usage_due_s: f64,
}

/// Returns the default time after the end of a usage window at which its report is due, in seconds.
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

/// Tolerance of the organisations' limits.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
pub struct Limit {
    /// Number of units that all entries together may admit beyond a limit's burst.
    pub slack: f64,
}

/// Learned speeds of endpoints.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
pub struct Speed {
    /// When speeds are learned.
    #[serde(default)]
    pub learn: Learn,
}

/// When the speeds of a service's model engines are learned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Learn {
    /// As soon as an engine states its pace, and if the objectives of the service's routes compete.
    #[default]
    Auto,
    /// Always.
    Always,
    /// Never.
    Never,
}

/// Admission of requests to model engines.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
pub struct Admission {
    /// Services to which admission in a shortage applies.
    #[serde(default)]
    pub shortage: shortage::Mode,
}

impl Settings {
    /// Minimum number of callers' connections.
    const MIN_CALLERS: usize = 16;

    /// Returns the settings of the room for bodies.
    pub const fn intake(&self) -> intake::Settings {
        intake::Settings::for_memory(self.memory_mb.saturating_mul(1_000_000))
    }

    /// Returns the maximum number of callers' connections.
    pub fn max_callers(&self) -> usize {
        (self.descriptors / 2).max(Self::MIN_CALLERS)
    }

    /// Returns the address at which the other entries reach this one.
    pub fn peers_address(&self) -> SocketAddr {
        self.advertise.peers.unwrap_or(self.listen.peers)
    }

    /// Returns the address at which the other entries request connections to endpoints; `None` if this one opens none for
    /// them.
    pub fn relay_address(&self) -> Option<SocketAddr> {
        self.listen.relay.map(|relay| self.advertise.relay.unwrap_or(relay))
    }

    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read, or when a field is missing or invalid.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Parses settings. Unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error that names the field when one is missing or invalid.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let settings: Self = toml::from_str(text).map_err(|error| Error::Invalid(one_line(&error)))?;
        let check = settings.rollout.check();
        check.map_err(|error| Error::Invalid(format!("[rollout] {error}")))?;
        Ok(settings)
    }
}

/// Formats a TOML error with its cause, its position and the source line, in a single line.
fn one_line(error: &toml::de::Error) -> String {
    let text = error.to_string();
    let position = text.lines().next().unwrap_or_default();
    let source = text
        .lines()
        .find_map(|line| line.split_once("| ").map(|(_, source)| source.trim()));
    match source.filter(|source| !source.is_empty()) {
        Some(source) => format!("{} ({position}: {source})", error.message()),
        None => format!("{} ({position})", error.message()),
    }
}
