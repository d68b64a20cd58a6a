//! The cheapest VMs to buy so that the fleet carries its demand with any one zone lost.

use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;

use super::tally::EPSILON;
use super::tally::Tally;
use crate::demand::Demand;
use crate::market::Offer;
use crate::market::Pool;

/// Returns the cheapest purchase beside what is there, or as near to it as the offers come.
///
/// The cap on a zone's capacity is tried at each size. Under a cap, the cheapest zones are filled up to it, until what
/// remains without one full zone carries the urgent work: a low cap spreads over dear zones, a high one buys more in
/// cheap ones. The deferrable work's rest goes to the cheapest zone, as it need not survive the loss of one.
pub(super) fn cheapest<'a>(have: &Tally, offers: impl Iterator<Item = &'a Offer>, need: Demand) -> Vec<Pool> {
    let offers = best_per_zone(offers);
    let Some(unit) = offers.iter().map(|offer| offer.rate).reduce(f64::min) else {
        return Vec::new();
    };
    let largest = have.largest();
    let steps = (need.urgent / unit).ceil() as usize + 1;
    let plans = (0..=steps).filter_map(|step| {
        let cap = largest + unit * step as f64;
        under_cap(have, &offers, need, cap)
    });
    let cost = |plan: &Vec<&Offer>| plan.iter().map(|offer| offer.price).sum::<Price>();
    // Of plans that cost the same the first has the lowest cap, so the widest spread.
    let plan = plans.min_by_key(cost).unwrap_or_else(|| widest(have, &offers, need));
    plan.into_iter().map(|offer| offer.pool.clone()).collect()
}

/// Returns each zone's cheapest offer, the cheapest zone first.
fn best_per_zone<'a>(offers: impl Iterator<Item = &'a Offer>) -> Vec<&'a Offer> {
    let mut best: BTreeMap<&name::Zone, &Offer> = BTreeMap::new();
    for offer in offers {
        let known = best.entry(&offer.pool.zone).or_insert(offer);
        if offer.price_per_rate() < known.price_per_rate() {
            *known = offer;
        }
    }
    let mut best: Vec<_> = best.into_values().collect();
    best.sort_by(|left, right| left.price_per_rate().total_cmp(&right.price_per_rate()));
    best
}

fn under_cap<'a>(have: &Tally, offers: &[&'a Offer], need: Demand, cap: f64) -> Option<Vec<&'a Offer>> {
    let mut tally = have.clone();
    let mut bought = Vec::new();
    for offer in offers {
        let zone = &offer.pool.zone;
        while tally.total() - cap + EPSILON < need.urgent && tally.zone(zone) + offer.rate <= cap + EPSILON {
            tally.add(zone, offer.rate);
            bought.push(*offer);
        }
    }
    if tally.total() - cap + EPSILON < need.urgent {
        return None;
    }
    fill(&mut tally, offers.first().copied()?, need, &mut bought);
    Some(bought)
}

/// Buys for all work at once where too few zones sell for the loss of one to be carried.
fn widest<'a>(have: &Tally, offers: &[&'a Offer], need: Demand) -> Vec<&'a Offer> {
    let mut tally = have.clone();
    let mut bought = Vec::new();
    if let Some(offer) = offers.first().copied() {
        fill(&mut tally, offer, need, &mut bought);
    }
    bought
}

fn fill<'a>(tally: &mut Tally, offer: &'a Offer, need: Demand, bought: &mut Vec<&'a Offer>) {
    while tally.total() + EPSILON < need.total() {
        tally.add(&offer.pool.zone, offer.rate);
        bought.push(offer);
    }
}
