//! What the model's platform sells, and when it does not.

use bergamotshift_core::prelude::*;

use crate::market::Offer;
use crate::market::Pool;

/// Zones and their reclaimable prices per hour, in thousandths of the currency unit.
const ZONES: [(&str, u64); 5] = [("a", 900), ("b", 1_000), ("c", 1_050), ("d", 1_200), ("e", 1_000)];
const MICROS_PER_MILLI: u64 = 1_000;
/// How many times the reclaimable price a VM costs on demand.
const ON_DEMAND: u64 = 3;

/// A loss of a zone; times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loss {
    /// When all VMs of the zone go, without notice.
    pub at: u64,
    /// Which zone.
    pub zone: &'static str,
    /// How long nothing is sold there.
    pub span: u64,
    /// Zones that refuse reclaimable VMs for as long.
    pub refusing: &'static [&'static str],
}

impl Loss {
    /// Returns whether a start at this time is refused because of the loss.
    pub fn refuses(&self, pool: &Pool, second: u64) -> bool {
        let zone = pool.zone.as_str();
        let here = zone == self.zone || (pool.reclaimable() && self.refusing.contains(&zone));
        here && (self.at..self.at + self.span).contains(&second)
    }
}

/// Returns the offers of the first so many zones; one VM does one unit of work per second within the target.
pub fn offers(zones: usize) -> Vec<Offer> {
    let offer = |(zone, price): (&str, u64), market, factor| Offer {
        pool: Pool::new(name::Zone::new(zone), name::Class::new_static("gpu"), market),
        price: Price::from_micros(price * MICROS_PER_MILLI * factor),
        rate: 1.0,
    };
    let sold = || ZONES.into_iter().take(zones);
    let reclaimable = sold().map(|zone| offer(zone, Market::Reclaimable, 1));
    let on_demand = sold().map(|zone| offer(zone, Market::OnDemand, ON_DEMAND));
    reclaimable.chain(on_demand).collect()
}

/// Returns a price in currency units.
pub(super) fn units(price: Price) -> f64 {
    price.as_micros() as f64 / 1e6
}
