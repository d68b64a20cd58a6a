//! Availability zones, machine classes and their prices.

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use super::value;

/// An availability zone: `[[zone]]`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The zone's name.
    pub name: name::Zone,
    /// The region it lies in.
    pub region: name::Region,
}

/// A machine class: `[[class]]`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The class's name, as the platform's cloud knows it.
    pub name: name::Class,
    /// The price of an hour of a reclaimable VM.
    #[serde(with = "value::price")]
    pub price_reclaimable: Price,
    /// The price of an hour of an on-demand VM.
    #[serde(with = "value::price")]
    pub price_on_demand: Price,
}

/// What a class costs in one zone, where it differs: `[[price]]`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZonePrice {
    /// The zone.
    pub zone: name::Zone,
    /// The machine class.
    pub class: name::Class,
    /// The price of an hour of a reclaimable VM; the class's own when missing.
    #[serde(default, with = "value::maybe_price")]
    pub reclaimable: Option<Price>,
    /// The price of an hour of an on-demand VM; the class's own when missing.
    #[serde(default, with = "value::maybe_price")]
    pub on_demand: Option<Price>,
}
