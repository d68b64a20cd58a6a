//! Endpoints that are listed in the configuration.

use core::net::SocketAddr;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Endpoint of a site that has no VM list: `[[endpoint]]`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Name of the VM that the endpoint runs on.
    pub name: name::Vm,
    /// Service that the endpoint belongs to.
    pub service: name::Service,
    /// Availability zone of the VM.
    pub zone: name::Zone,
    /// Machine class of the VM.
    pub class: name::Class,
    /// Market of the VM.
    #[serde(default)]
    pub market: Market,
    /// IP address and port that the endpoint listens on.
    pub address: SocketAddr,
}
