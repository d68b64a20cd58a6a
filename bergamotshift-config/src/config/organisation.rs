//! Organisations with their tokens and limits.

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use super::value;
use crate::digest::Digest;

/// Organisation whose callers are accepted: `[[organisation]]`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: name::Organisation,
    /// Weight of the organisation in the weighted sharing of a busy service among organisations.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Digests of its bearer tokens.
    pub keys: Vec<Digest>,
    /// Zones in which its requests may run; empty means all.
    #[serde(default)]
    pub zones: Vec<name::Zone>,
    /// Services that it may use; empty means all.
    #[serde(default)]
    pub services: Vec<name::Service>,
    /// Limits on its usage.
    #[serde(default)]
    pub limits: Limits,
}

impl Organisation {
    /// Returns whether the organisation may use a service.
    pub fn may_use(&self, service: &name::Service) -> bool {
        self.services.is_empty() || self.services.contains(service)
    }
}

/// Limits on the usage of an organisation over all entries; a missing limit means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum average rate of requests, per second.
    pub requests_per_second: Option<f64>,
    /// Maximum number of requests in a burst.
    pub burst: Option<u32>,
    /// Maximum average rate of generated tokens, per second.
    pub tokens_per_second: Option<f64>,
    /// Maximum spending per hour, in currency units.
    #[serde(default, with = "value::maybe_price")]
    pub spend_per_hour: Option<Price>,
}

const fn default_weight() -> u32 {
    1
}
