//! Decides how many endpoints of each market a service has in each availability zone.
//!
//! Reclaimable endpoints cost a fraction of the others, and all of a zone's are taken away at once, on seconds of
//! notice. So a service runs on reclaimable ones in every zone, more than it needs by about one zone's worth: the loss
//! of a zone leaves enough, and costs less than a few on-demand ones would.

pub mod cover;
mod peak;

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;
use serde::Deserialize;

use self::peak::Peak;
use crate::document::Scale;
use crate::outside::Order;

/// How long a peak of demand is remembered; callers' waves take tens of seconds.
const PEAK: Duration = Duration::from_secs(15);

/// How counts are chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Prompt tokens a second that one endpoint reads beside the tokens that it generates, with room for bursts.
    pub reads: f64,
    /// The fewest endpoints of both markets, over all zones.
    pub least: u32,
    /// The fewest reclaimable endpoints in each zone.
    pub reclaimable: u32,
    /// How many times the reclaimable endpoints that are needed are kept, since they cost a fraction and a wave of
    /// demand comes faster than new ones boot.
    pub spare: f64,
    /// Whether, while zones have lost their reclaimable endpoints, the loss of more zones is made up for ahead.
    pub ahead: bool,
    /// How many milliseconds an order that has not shown its effect waits, beyond the time a new endpoint takes to boot.
    pub patience_ms: u64,
    /// For how many milliseconds a zone without room is left alone; the platform says that none are to be had for many
    /// seconds.
    pub dry_ms: u64,
    /// For how many milliseconds a zone counts as without room when it cannot be asked, since on-demand endpoints take all
    /// that it may have.
    pub dry_memory_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            reads: 25_000.0,
            least: 4,
            reclaimable: 3,
            spare: 1.5,
            ahead: true,
            patience_ms: 3_000,
            dry_ms: 2_500,
            dry_memory_ms: 15_000,
        }
    }
}

/// The endpoints that take work in one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Present {
    /// On-demand ones.
    pub on_demand: u32,
    /// Reclaimable ones.
    pub reclaimable: u32,
    /// Those of a version that is rolled out, which the platform started and stops.
    pub foreign: u32,
}

impl Present {
    const fn of(self, market: Market) -> u32 {
        match market {
            Market::OnDemand => self.on_demand,
            Market::Reclaimable => self.reclaimable,
        }
    }
}

/// How many endpoints are needed.
#[derive(Clone, Copy, Debug)]
struct Need {
    /// For the demand of the last while; on-demand ones are ordered for no more than this.
    measured: u32,
    /// With what the operators provided, for the first while of traffic.
    kept: u32,
}

#[derive(Clone, Copy, Debug)]
struct Placed {
    count: u32,
    at: Instant,
    /// Whether the platform took the order.
    taken: bool,
    /// Whether the endpoints were seen in that number since.
    shown: bool,
}

/// Plans one service's endpoints.
#[derive(Debug, Default)]
pub struct Planner {
    settings: Settings,
    placed: BTreeMap<(name::Zone, Market), Placed>,
    dry: BTreeMap<name::Zone, Instant>,
    /// The most endpoints needed lately.
    peak: Peak,
    /// The most on-demand endpoints that were there before anybody asked for anything, and when that was last so.
    provided: Option<(u32, Instant)>,
    /// When it first knew of endpoints.
    began: Option<Instant>,
}

impl Planner {
    /// Makes a planner that has ordered nothing yet.
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            placed: BTreeMap::new(),
            dry: BTreeMap::new(),
            peak: Peak::new(),
            provided: None,
            began: None,
        }
    }

    /// Notes that a zone has no room for reclaimable endpoints at the moment.
    pub fn refused(&mut self, now: Instant, order: &Order) {
        self.failed(order);
        if order.market == Market::Reclaimable {
            self.dry.insert(order.zone.clone(), now);
        }
    }

    /// Notes that an order was taken.
    pub fn accepted(&mut self, order: &Order) {
        if let Some(placed) = self.placed.get_mut(&(order.zone.clone(), order.market)) {
            placed.taken = true;
        }
        if order.market == Market::Reclaimable {
            self.dry.remove(&order.zone);
        }
    }

    /// Notes an order that may not have reached the platform.
    pub fn failed(&mut self, order: &Order) {
        self.placed.remove(&(order.zone.clone(), order.market));
    }

    /// Returns the orders that are due, and notes them as placed; `reading` is the prompt tokens a second that callers
    /// ask to have read.
    pub fn plan(
        &mut self,
        now: Instant,
        service: &name::Service,
        scale: &Scale,
        present: &BTreeMap<name::Zone, Present>,
        reading: f64,
    ) -> Vec<Order> {
        // Failure: an entry takes the duties over before it has read which endpoints there are. Symptom: it finds none
        // and no demand, and orders the fewest in place of what the operators provided.
        let is_unknown = present.is_empty() && reading <= 0.0 && self.began.is_none();
        if scale.reclaimable_price.is_none() || is_unknown {
            return Vec::new();
        }
        let began = *self.began.get_or_insert(now);
        // Failure: on-demand endpoints are ordered up to a zone's most, so there is no room to ask for reclaimable ones.
        // Symptom: the zone counts as without room for good, and the on-demand ones are never given back. What was heard long
        // ago says nothing of now.
        let memory = Duration::from_millis(self.settings.dry_memory_ms);
        self.dry.retain(|_, since| now.since(*since) < memory);
        let there = present.values().map(|here| here.on_demand).sum();
        let need = self.need(now, reading, there);
        let wanted = self.wanted(now, scale, present, need);
        let mut orders = Vec::new();
        for (zone, mut counts) in wanted {
            let here = present.get(&zone).copied().unwrap_or_default();
            // Failure: an entry takes the duties over after all were killed, and has measured no demand yet. Symptom:
            // it gives endpoints back that callers need a second later.
            if now.since(began) < PEAK {
                counts.reclaimable = counts.reclaimable.max(here.reclaimable);
            }
            // Failure: the platform holds an order's count and the endpoints of a version that is rolled out to a zone's
            // most together. Symptom: an order for as many as serve takes all but one of them away.
            if here.foreign > 0 {
                continue;
            }
            for market in [Market::Reclaimable, Market::OnDemand] {
                let asks = market == Market::OnDemand || !self.is_left_alone(now, &zone);
                if asks && self.is_due(now, scale, &zone, market, here.of(market), counts.of(market)) {
                    orders.push(Order {
                        service: service.clone(),
                        zone: zone.clone(),
                        market,
                        count: counts.of(market),
                    });
                }
            }
        }
        orders
    }

    /// Returns how many endpoints are needed: the most of the last while, since demand comes in waves and an endpoint
    /// that is given back loses its cache.
    ///
    /// Before anything was asked for, the on-demand ones that are there are what the operators found right; they are
    /// learnt of one after another.
    fn need(&mut self, now: Instant, reading: f64, there: u32) -> Need {
        let provided = self.provided.map_or(0, |(count, _)| count);
        if reading <= 0.0 && self.peak.is_empty() {
            let provided = provided.max(there);
            self.provided = Some((provided, now));
            let needed = provided.max(self.settings.least);
            return Need {
                measured: needed,
                kept: needed,
            };
        }
        let needed = ((reading / self.settings.reads).ceil() as u32).max(self.settings.least);
        let peak = self.peak.note(now, PEAK, needed);
        let counts = self.provided.is_some_and(|(_, at)| now.since(at) < PEAK);
        Need {
            measured: peak,
            kept: if counts { peak.max(provided) } else { peak },
        }
    }

    /// Returns the counts that are wanted in each zone.
    fn wanted(
        &self,
        now: Instant,
        scale: &Scale,
        present: &BTreeMap<name::Zone, Present>,
        need: Need,
    ) -> BTreeMap<name::Zone, Present> {
        let each = self.each(scale, need.kept);
        let counted = self.counted(now, scale, present, each);
        let mut missing = self.missing(need.measured, present, &counted);
        let mut kept = self.kept(now, scale, present, need.kept);
        let mut by_price: Vec<_> = scale.zone_prices.iter().collect();
        by_price.sort_by(|a, b| a.1.total_cmp(b.1));
        let mut wanted = BTreeMap::new();
        for (zone, _) in by_price {
            let here = present.get(zone).copied().unwrap_or_default();
            let room = scale.max.saturating_sub(counted[zone]);
            // Spread over two zones at the least: one can be cut off with all that serves there.
            let share = missing.min(room).min(need.measured.div_ceil(2));
            missing -= share;
            let is_dry = self.dry.contains_key(zone);
            let stays = if is_dry {
                here.on_demand
            } else {
                here.on_demand.min(kept)
            };
            kept = kept.saturating_sub(stays);
            let on_demand = share.max(stays).min(scale.max);
            let room = scale.max.saturating_sub(here.on_demand.max(on_demand));
            // What serves is not given back because others came to stand beside it.
            let serving = here.reclaimable.min(each);
            let reclaimable = each.min(room).max(serving).max(scale.min.saturating_sub(on_demand));
            let counts = Present {
                on_demand,
                reclaimable,
                foreign: 0,
            };
            wanted.insert(zone.clone(), counts);
        }
        wanted
    }

    /// Returns how many of the on-demand endpoints that are there stay, in zones that may have room for reclaimable ones: one
    /// goes for each reclaimable one that serves, and none that covers the loss of the zones that may go next.
    ///
    /// Failure: all on-demand endpoints stay until reclaimable ones serve all callers and every zone has room. Symptom: they
    /// fill the zones, so that there is no room for reclaimable ones, and a fleet is paid for twice for most of a day on
    /// which zones are reclaimed in turn. Each step back makes room for the next.
    fn kept(&self, now: Instant, scale: &Scale, present: &BTreeMap<name::Zone, Present>, needed: u32) -> u32 {
        let zones = scale.zone_prices.keys();
        let serving: Vec<u32> = zones
            .map(|zone| present.get(zone).map_or(0, |here| here.reclaimable))
            .collect();
        let there: u32 = present.values().map(|here| here.on_demand).sum();
        // A new holder has not measured the demand of a whole wave yet.
        let is_known = self.began.is_some_and(|began| now.since(began) >= PEAK);
        let there = if is_known { there.min(needed) } else { there };
        let unreplaced = there.saturating_sub(serving.iter().sum());
        unreplaced.max(cover::on_demand(needed, &serving, self.dry.len()))
    }

    /// Returns how many reclaimable endpoints each zone is to have: the loss of one zone leaves as many as are needed.
    fn each(&self, scale: &Scale, needed: u32) -> u32 {
        let others = (scale.zone_prices.len() as u32).saturating_sub(1).max(1);
        let spread = (f64::from(needed) * self.settings.spare / f64::from(others)).ceil() as u32;
        spread.max(self.settings.reclaimable).min(scale.max)
    }

    /// Returns how many reclaimable endpoints can be counted on in each zone: where there is no room, those left.
    ///
    /// Failure: a zone is reclaimed, and only the answer to the next order says that there is no room in it. Symptom: its
    /// loss is made up for a second late, of the two to three that the notice lasts. A zone that has none while others
    /// have some has lost them, and gets none until an order for it was taken.
    fn counted<'a>(
        &self,
        now: Instant,
        scale: &'a Scale,
        present: &BTreeMap<name::Zone, Present>,
        each: u32,
    ) -> BTreeMap<&'a name::Zone, u32> {
        let count = |zone: &name::Zone| {
            let here = present.get(zone).map_or(0, |here| here.reclaimable);
            let is_lost = is_gone(present, zone) && !self.boots(now, scale, zone);
            if is_lost || self.dry.contains_key(zone) {
                here.min(each)
            } else {
                each
            }
        };
        scale.zone_prices.keys().map(|zone| (zone, count(zone))).collect()
    }

    /// Returns whether reclaimable endpoints were ordered in a zone lately, and the order was taken.
    fn boots(&self, now: Instant, scale: &Scale, zone: &name::Zone) -> bool {
        let placed = self.placed.get(&(zone.clone(), Market::Reclaimable));
        placed.is_some_and(|placed| placed.taken && !placed.shown && now.since(placed.at) < self.patience(scale))
    }

    /// Returns how many endpoints are missing, to be made up for by on-demand ones.
    fn missing(
        &self,
        needed: u32,
        present: &BTreeMap<name::Zone, Present>,
        counted: &BTreeMap<&name::Zone, u32>,
    ) -> u32 {
        let gone = counted
            .iter()
            .filter(|(zone, count)| **count == 0 && is_gone(present, zone))
            .count();
        let counts: Vec<u32> = counted.values().copied().collect();
        cover::on_demand(needed, &counts, if self.settings.ahead { gone } else { 0 })
    }

    fn patience(&self, scale: &Scale) -> Duration {
        scale.boot + Duration::from_millis(self.settings.patience_ms)
    }

    /// Returns whether a zone refused lately, so that asking again is of no use yet.
    fn is_left_alone(&self, now: Instant, zone: &name::Zone) -> bool {
        self.dry
            .get(zone)
            .is_some_and(|since| now.since(*since) < Duration::from_millis(self.settings.dry_ms))
    }

    /// Returns whether an order is due, and notes it as placed.
    ///
    /// An order whose effect was seen and is gone again is due at once: a zone was reclaimed, or an endpoint ended. One
    /// whose effect was never seen is given the time to boot.
    fn is_due(
        &mut self,
        now: Instant,
        scale: &Scale,
        zone: &name::Zone,
        market: Market,
        here: u32,
        count: u32,
    ) -> bool {
        let key = (zone.clone(), market);
        let patience = self.patience(scale);
        let shown = here == count;
        if let Some(placed) = self.placed.get_mut(&key)
            && placed.count == count
        {
            if shown {
                placed.shown = true;
                return false;
            }
            if !placed.shown && now.since(placed.at) < patience {
                return false;
            }
        } else if shown {
            self.placed.remove(&key);
            return false;
        }
        let placed = Placed {
            count,
            at: now,
            taken: false,
            shown: false,
        };
        self.placed.insert(key, placed);
        true
    }
}

/// Returns whether a zone has no reclaimable endpoints while another one has some.
fn is_gone(present: &BTreeMap<name::Zone, Present>, zone: &name::Zone) -> bool {
    let here = present.get(zone).map_or(0, |here| here.reclaimable);
    here == 0 && present.values().any(|there| there.reclaimable > 0)
}
