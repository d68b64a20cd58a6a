//! Endpoints that operators list themselves.

use core::net::SocketAddr;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// An endpoint of a site without a VM list: `[[endpoint]]`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The VM it runs on.
    pub name: name::Vm,
    /// The service it serves.
    pub service: name::Service,
    /// The availability zone.
    pub zone: name::Zone,
    /// The machine class.
    pub class: name::Class,
    /// The market its VM was bought on.
    #[serde(default)]
    pub market: Market,
    /// Where it listens: an IP number and a port.
    pub address: SocketAddr,
}
