//! Status document of an entry, which operators and other programs read as JSON.
//!
//! ```
//! use bergamotshift_entry::admin::status::Status;
//!
//! let text = r#"{"name": "entry-1", "zone": "zone-a", "version": "0.1.0", "snapshot": 7, "ready": true,
//!     "draining": false, "active": 2, "zones": [], "endpoints": [], "platform": []}"#;
//! let status: Status = serde_json::from_str(text)?;
//! assert!(status.ready && status.members.is_none());
//! # Ok::<(), serde_json::Error>(())
//! ```

mod compose;
mod reports;
#[cfg(test)]
mod tests;

use core::net::SocketAddr;

use bergamotshift_config::accept::record::Version;
use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

pub use self::reports::Reports;

/// Status of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of the VM.
    pub vm: name::Vm,
    /// Incarnation of the VM under that name.
    pub incarnation: Incarnation,
    /// Service that the endpoint runs.
    pub service: name::Service,
    /// Availability zone of the VM.
    pub zone: name::Zone,
    /// Whether the endpoint is leaving and receives no new requests.
    pub leaving: bool,
    /// Whether the endpoint can be reached.
    pub reachable: bool,
    /// Number of this entry's requests in flight on the endpoint.
    pub in_flight: u32,
}

/// Status of one availability zone, as this entry sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Zone {
    /// Name of the zone.
    pub name: name::Zone,
    /// Region of the zone, if the configuration lists the zone.
    pub region: Option<name::Region>,
    /// Number of endpoints that are reachable and not leaving.
    pub live: u32,
    /// Number of endpoints that are leaving.
    pub leaving: u32,
    /// Number of endpoints that cannot be reached and are not leaving.
    pub unreachable: u32,
    /// Whether endpoints or entries are known in the zone and none of them can be reached.
    pub cut_off: bool,
}

/// Health of another entry, as seen by the failure detector.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// The entry answers probes.
    #[default]
    Alive,
    /// The entry missed a probe.
    Suspect,
    /// The entry is presumed dead.
    Dead,
    /// The entry announced that it leaves.
    Left,
}

impl Health {
    /// Returns the name of the state, as in the JSON.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }

    /// Returns whether the entry is presumed to be running.
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// Another entry of the fleet, as this entry sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Name of the entry.
    pub name: name::Entry,
    /// Availability zone of the entry.
    pub zone: name::Zone,
    /// Address on which other entries reach it.
    pub address: SocketAddr,
    /// Health of the entry.
    pub health: Health,
}

/// Lease on a control duty that the entry holds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Lease {
    /// Name of the duty.
    pub duty: SmolStr,
    /// Fencing number that the holder's orders carry.
    pub fence: u64,
    /// Remaining time of the lease by the entry's own clock, in milliseconds.
    pub left_ms: u64,
}

/// Result of the last call to one dependency of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Dependency {
    /// Name of the dependency.
    pub name: SmolStr,
    /// Whether the last call was answered, that is, neither refused nor left with an unknown outcome.
    pub answers: bool,
}

/// Status of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Name of the entry.
    pub name: name::Entry,
    /// Availability zone of the entry.
    pub zone: name::Zone,
    /// Version of the program.
    pub version: SmolStr,
    /// Number of the snapshot in force.
    pub snapshot: u64,
    /// Accepted configuration version in force; `None` if the configuration was given to the process.
    #[serde(default)]
    pub config: Option<Version>,
    /// Whether the entry is ready for callers.
    pub ready: bool,
    /// Whether the entry is draining before it exits.
    pub draining: bool,
    /// Number of requests in flight.
    pub active: u64,
    /// Status of each availability zone.
    pub zones: Vec<Zone>,
    /// Status of each known endpoint.
    pub endpoints: Vec<Endpoint>,
    /// Other entries of the fleet; `None` if the entry runs without peers.
    #[serde(default)]
    pub members: Option<Vec<Member>>,
    /// Leases on the control duties that the entry holds.
    #[serde(default)]
    pub leases: Vec<Lease>,
    /// Dependencies of the platform that were called so far.
    pub platform: Vec<Dependency>,
}

impl Status {
    /// Returns the names of the zones that are cut off.
    pub fn cut_off(&self) -> impl Iterator<Item = &name::Zone> {
        self.zones.iter().filter(|zone| zone.cut_off).map(|zone| &zone.name)
    }
}
