//! Organisations, their tokens and limits.

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use super::value;
use crate::digest::Digest;

/// An organisation whose callers are let in: `[[organisation]]`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The organisation's name.
    pub name: name::Organisation,
    /// Its share of a busy service, against the other organisations' weights.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The digests of its bearer tokens.
    pub keys: Vec<Digest>,
    /// The zones its work may run in; empty means all.
    #[serde(default)]
    pub zones: Vec<name::Zone>,
    /// The services it may use; empty means all.
    #[serde(default)]
    pub services: Vec<name::Service>,
    /// What it may use at most.
    #[serde(default)]
    pub limits: Limits,
}

impl Organisation {
    /// Returns whether the organisation may use a service.
    pub fn may_use(&self, service: &name::Service) -> bool {
        self.services.is_empty() || self.services.contains(service)
    }
}

/// What an organisation may use at most, over all entries; a missing limit does not bind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Requests per second, over time.
    pub requests_per_second: Option<f64>,
    /// Requests that may come at once.
    pub burst: Option<u32>,
    /// Tokens generated per second, over time.
    pub tokens_per_second: Option<f64>,
    /// Spending per hour, in currency units.
    #[serde(default, with = "value::maybe_price")]
    pub spend_per_hour: Option<Price>,
}

const fn default_weight() -> u32 {
    1
}
