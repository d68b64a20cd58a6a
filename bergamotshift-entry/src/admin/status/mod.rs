//! How an entry stands, as operators and other programs read it.
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

/// How one endpoint stands.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Endpoint {
    /// The VM's name.
    pub vm: name::Vm,
    /// Which life of that name.
    pub incarnation: Incarnation,
    /// The service it runs.
    pub service: name::Service,
    /// The availability zone.
    pub zone: name::Zone,
    /// Whether it is leaving and gets no new work.
    pub leaving: bool,
    /// Whether it can be reached.
    pub reachable: bool,
    /// Requests of this entry that run there.
    pub in_flight: u32,
}

/// How one availability zone looks from the entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Zone {
    /// The zone's name.
    pub name: name::Zone,
    /// The region it lies in, when the configuration says so.
    pub region: Option<name::Region>,
    /// Endpoints that get work.
    pub live: u32,
    /// Endpoints that are leaving.
    pub leaving: u32,
    /// Endpoints that cannot be reached.
    pub unreachable: u32,
    /// Whether something is known there and none of it can be reached.
    pub cut_off: bool,
}

/// What is thought of another entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// It answers.
    #[default]
    Alive,
    /// It missed a probe.
    Suspect,
    /// It is taken for dead.
    Dead,
    /// It said that it leaves.
    Left,
}

impl Health {
    /// Returns the word that stands for it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }

    /// Returns whether the entry can be asked.
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// One entry of the fleet, as this one sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// The entry's name.
    pub name: name::Entry,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Where other entries reach it.
    pub address: SocketAddr,
    /// What is thought of it.
    pub health: Health,
}

/// A control duty that the entry holds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Lease {
    /// The duty.
    pub duty: SmolStr,
    /// The fencing number that its orders carry.
    pub fence: u64,
    /// How long it still holds by the entry's own clock, in milliseconds.
    pub left_ms: u64,
}

/// How one part of the platform answered last.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Part {
    /// The part.
    pub name: SmolStr,
    /// Whether its last call was answered.
    pub answers: bool,
}

/// How the entry stands.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// The entry's name.
    pub name: name::Entry,
    /// Its availability zone.
    pub zone: name::Zone,
    /// The program's version.
    pub version: SmolStr,
    /// The number of the snapshot in force.
    pub snapshot: u64,
    /// The accepted version in force; none when the configuration was given to the process.
    #[serde(default)]
    pub config: Option<Version>,
    /// Whether callers may come.
    pub ready: bool,
    /// Whether the entry is about to end.
    pub draining: bool,
    /// Requests being served.
    pub active: u64,
    /// The availability zones.
    pub zones: Vec<Zone>,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
    /// The other entries; none for an entry that stands alone.
    #[serde(default)]
    pub members: Option<Vec<Member>>,
    /// The control duties that the entry holds.
    #[serde(default)]
    pub leases: Vec<Lease>,
    /// The parts of the platform that were called so far.
    pub platform: Vec<Part>,
}

impl Status {
    /// Returns the names of the zones that are cut off.
    pub fn cut_off(&self) -> impl Iterator<Item = &name::Zone> {
        self.zones.iter().filter(|zone| zone.cut_off).map(|zone| &zone.name)
    }
}
