//! VMs as the platform sells and lists them.

use core::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name;

/// The market a VM was bought on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Market {
    /// Cheap; the platform may reclaim it on seconds of notice.
    #[default]
    Reclaimable,
    /// Dear; the platform does not reclaim it.
    OnDemand,
}

/// Tells one life of a VM, process or endpoint from the next at the same name or address.
///
/// A higher incarnation is a later life. A mark set on one incarnation never touches another, so a lagging list
/// cannot bring a leaving VM back and an old mark cannot condemn its successor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Makes an incarnation from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the incarnation after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// What a VM is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// It runs an entry of the fleet.
    Entry,
    /// It runs an endpoint of this service.
    Endpoint(name::Service),
}

/// Where a VM stands in its life, as the platform last said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It runs, or starts.
    #[default]
    Live,
    /// It was given notice and is gone after this many milliseconds from the listing.
    Leaving {
        /// What is left of the notice, in milliseconds.
        notice_ms: u64,
    },
}

/// One VM in the platform's list, which lags behind the truth.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Listing {
    /// The VM's name.
    pub name: name::Vm,
    /// Which life of that name.
    pub incarnation: Incarnation,
    /// Where its process listens.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: name::Zone,
    /// The machine class.
    pub class: name::Class,
    /// The market it was bought on.
    pub market: Market,
    /// What it is for.
    pub role: Role,
    /// Where it stands in its life.
    pub state: State,
}
