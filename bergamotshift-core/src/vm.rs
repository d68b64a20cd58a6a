//! VMs as sold and listed by the platform.

use core::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name;

/// Market on which a VM was bought.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Market {
    /// Low price; the platform may reclaim the VM with a notice of seconds.
    #[default]
    Reclaimable,
    /// High price; the platform does not reclaim the VM.
    OnDemand,
}

/// Incarnation of a VM, process or endpoint, which distinguishes it from others with the same name or address.
///
/// A higher number is a later incarnation. A mark on one incarnation does not affect another one, so a lagging list
/// cannot bring back a VM that is leaving, and an old mark does not apply to its successor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates an incarnation from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number of the incarnation.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the next incarnation.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Role of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// The VM runs an entry of the fleet.
    Entry,
    /// The VM runs an endpoint of this service.
    Endpoint(name::Service),
}

/// Life cycle state of a VM, as last reported by the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The VM is running or starting.
    #[default]
    Live,
    /// The VM was given notice and is reclaimed when the notice ends.
    Leaving {
        /// Remaining time of the notice when the VM was listed, in milliseconds.
        notice_ms: u64,
    },
}

/// VM in the platform's list, which lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Listing {
    /// Name of the VM.
    pub name: name::Vm,
    /// Incarnation of the VM of that name.
    pub incarnation: Incarnation,
    /// Address on which its process listens.
    pub address: SocketAddr,
    /// Availability zone of the VM.
    pub zone: name::Zone,
    /// Machine class of the VM.
    pub class: name::Class,
    /// Market on which the VM was bought.
    pub market: Market,
    /// Role of the VM.
    pub role: Role,
    /// Life cycle state of the VM.
    pub state: State,
}
