//! Search for the cheapest purchase that lets the fleet cover its demand with any one zone lost.

use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;

use super::tally::EPSILON;
use super::tally::Tally;
use crate::demand::Demand;
use crate::market::Offer;
use crate::market::Pool;

/// Returns the cheapest purchase that covers `need` together with `have`, or as much of it as the offers allow.
///
/// Each possible cap on the capacity of a zone is tried. Under a cap, zones are filled up to it, the cheapest first,
/// until the capacity without one full zone covers the urgent work. A low cap spreads VMs over expensive zones, a high
/// cap buys more in cheap zones. The rest of the deferrable work goes to the cheapest zone, because it need not survive
/// the loss of a zone.
pub(super) fn cheapest<'a>(have: &Tally, offers: impl Iterator<Item = &'a Offer>, need: Demand) -> Vec<Pool> {
    let offers = best_per_zone(offers);
    let Some(min_rate) = offers.iter().map(|offer| offer.rate).reduce(f64::min) else {
        return Vec::new();
    };
    let largest = have.largest();
    let steps = (need.urgent / min_rate).ceil() as usize + 1;
    let plans = (0..=steps).filter_map(|step| {
        let cap = largest + min_rate * step as f64;
        under_cap(have, &offers, need, cap)
    });
    let cost = |plan: &Vec<&Offer>| plan.iter().map(|offer| offer.price).sum::<Price>();
    // Among plans of the same cost, the first has the lowest cap and therefore the widest spread over zones.
    let plan = plans
        .min_by_key(cost)
        .unwrap_or_else(|| best_effort(have, &offers, need));
    plan.into_iter().map(|offer| offer.pool.clone()).collect()
}

/// Returns the cheapest offer of each zone, ordered by price per unit of work.
fn best_per_zone<'a>(offers: impl Iterator<Item = &'a Offer>) -> Vec<&'a Offer> {
    let mut best: BTreeMap<&name::Zone, &Offer> = BTreeMap::new();
    for offer in offers {
        let cheapest_in_zone = best.entry(&offer.pool.zone).or_insert(offer);
        if offer.price_per_rate() < cheapest_in_zone.price_per_rate() {
            *cheapest_in_zone = offer;
        }
    }
    let mut best: Vec<_> = best.into_values().collect();
    best.sort_by(|left, right| left.price_per_rate().total_cmp(&right.price_per_rate()));
    best
}

/// Returns the purchase under a cap on each zone's capacity, or `None` when the zones cannot cover the urgent work.
fn under_cap<'a>(have: &Tally, offers: &[&'a Offer], need: Demand, cap: f64) -> Option<Vec<&'a Offer>> {
    let mut tally = have.clone();
    let mut purchase = Vec::new();
    for offer in offers {
        let zone = &offer.pool.zone;
        while tally.total() - cap + EPSILON < need.urgent && tally.zone(zone) + offer.rate <= cap + EPSILON {
            tally.add(zone, offer.rate);
            purchase.push(*offer);
        }
    }
    if tally.total() - cap + EPSILON < need.urgent {
        return None;
    }
    fill_total(&mut tally, offers.first().copied()?, need, &mut purchase);
    Some(purchase)
}

/// Returns a purchase that covers all work without a zone lost, used when too few zones sell to allow for a loss.
fn best_effort<'a>(have: &Tally, offers: &[&'a Offer], need: Demand) -> Vec<&'a Offer> {
    let mut tally = have.clone();
    let mut purchase = Vec::new();
    if let Some(offer) = offers.first().copied() {
        fill_total(&mut tally, offer, need, &mut purchase);
    }
    purchase
}

/// Adds VMs of one offer until the total capacity covers all work.
fn fill_total<'a>(tally: &mut Tally, offer: &'a Offer, need: Demand, purchase: &mut Vec<&'a Offer>) {
    while tally.total() + EPSILON < need.total() {
        tally.add(&offer.pool.zone, offer.rate);
        purchase.push(offer);
    }
}
