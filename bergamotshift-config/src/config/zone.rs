//! Availability zones, machine classes and prices.

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use super::value;

/// Availability zone: `[[zone]]`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name of the zone.
    pub name: name::Zone,
    /// Region of the zone.
    pub region: name::Region,
}

/// Machine class: `[[class]]`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class, as used by the cloud.
    pub name: name::Class,
    /// Price of one hour of a reclaimable VM.
    #[serde(with = "value::price")]
    pub price_reclaimable: Price,
    /// Price of one hour of an on-demand VM.
    #[serde(with = "value::price")]
    pub price_on_demand: Price,
}

/// Price of a class in one zone, where it differs from the price of the class: `[[price]]`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZonePrice {
    /// Availability zone.
    pub zone: name::Zone,
    /// Machine class.
    pub class: name::Class,
    /// Price of one hour of a reclaimable VM; `None` uses the price of the class.
    #[serde(default, with = "value::maybe_price")]
    pub reclaimable: Option<Price>,
    /// Price of one hour of an on-demand VM; `None` uses the price of the class.
    #[serde(default, with = "value::maybe_price")]
    pub on_demand: Option<Price>,
}
