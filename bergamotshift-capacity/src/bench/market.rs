//! Offers of the simulated platform, and losses of zones.

use bergamotshift_core::prelude::*;

use crate::market::Offer;
use crate::market::Pool;

/// Zones and their prices of a reclaimable VM per hour, in thousandths of a currency unit.
const ZONES: [(&str, u64); 5] = [("a", 900), ("b", 1_000), ("c", 1_050), ("d", 1_200), ("e", 1_000)];
const MICROS_PER_MILLI: u64 = 1_000;
/// Ratio of the on-demand price to the reclaimable price.
const ON_DEMAND_FACTOR: u64 = 3;

/// The loss of a zone. Times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loss {
    /// Time at which all VMs of the zone are gone, without notice.
    pub at: u64,
    /// Zone that is lost.
    pub zone: &'static str,
    /// Time for which no VMs are sold in the zone.
    pub span: u64,
    /// Zones that sell no reclaimable VMs for the same time.
    pub refusing: &'static [&'static str],
}

impl Loss {
    /// Returns whether the loss causes a start from this pool at this time to be refused.
    pub fn refuses(&self, pool: &Pool, second: u64) -> bool {
        let zone = pool.zone.as_str();
        let here = zone == self.zone || (pool.reclaimable() && self.refusing.contains(&zone));
        here && (self.at..self.at + self.span).contains(&second)
    }
}

/// Returns the offers of the first `zones` zones. One VM does one unit of work per second within the latency target.
pub fn offers(zones: usize) -> Vec<Offer> {
    let offer = |(zone, price): (&str, u64), market, factor| Offer {
        pool: Pool::new(name::Zone::new(zone), name::Class::new_static("gpu"), market),
        price: Price::from_micros(price * MICROS_PER_MILLI * factor),
        rate: 1.0,
    };
    let sold = || ZONES.into_iter().take(zones);
    let reclaimable = sold().map(|zone| offer(zone, Market::Reclaimable, 1));
    let on_demand = sold().map(|zone| offer(zone, Market::OnDemand, ON_DEMAND_FACTOR));
    reclaimable.chain(on_demand).collect()
}

/// Converts a price to currency units.
pub(super) fn currency_units(price: Price) -> f64 {
    price.as_micros() as f64 / 1e6
}
