//! Plans how many endpoints of each market a service has in each availability zone.
//!
//! Reclaimable endpoints cost a fraction of on-demand ones, but all of a zone's are reclaimed at once, with seconds of
//! notice. So a service runs on reclaimable endpoints in every zone, with about one zone's worth more than it needs:
//! the loss of a zone leaves enough, and this spare costs less than a few on-demand endpoints would.

pub mod cover;
mod peak;

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;
use serde::Deserialize;

use self::peak::Peak;
use crate::document::Scale;
use crate::outside::Order;

/// Time for which a peak of demand is remembered, as waves of demand take tens of seconds.
const DEMAND_WINDOW: Duration = Duration::from_secs(15);

/// Settings of the planner.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Prompt tokens that one endpoint prefills per second beside the tokens that it generates, with reserve for
    /// bursts.
    #[serde(rename = "reads")]
    pub prefill_rate: f64,
    /// Smallest number of endpoints of both markets, over all zones.
    #[serde(rename = "least")]
    pub min_endpoints: u32,
    /// Smallest number of reclaimable endpoints in each zone.
    #[serde(rename = "reclaimable")]
    pub min_reclaimable: u32,
    /// Ratio of the reclaimable endpoints that are kept to those that are needed, as they cost a fraction of on-demand
    /// ones and a wave of demand comes faster than new ones boot.
    #[serde(rename = "spare")]
    pub spare_factor: f64,
    /// Whether on-demand endpoints cover the loss of more zones ahead while zones have lost their reclaimable
    /// endpoints.
    #[serde(rename = "ahead")]
    pub covers_ahead: bool,
    /// Time beyond a new endpoint's boot time after which an order without effect is repeated, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub order_timeout_ms: u64,
    /// Time for which no reclaimable endpoints are ordered in a zone that refused some, in milliseconds; the platform
    /// goes on refusing them for many seconds.
    #[serde(rename = "dry_ms")]
    pub refusal_backoff_ms: u64,
    /// Time after a refusal for which a zone counts as without capacity, in milliseconds. It ends the refusal of a zone
    /// in which nothing can be ordered, since on-demand endpoints fill it up to its limit.
    #[serde(rename = "dry_memory_ms")]
    pub refusal_expiry_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            prefill_rate: 25_000.0,
            min_endpoints: 4,
            min_reclaimable: 3,
            spare_factor: 1.5,
            covers_ahead: true,
            order_timeout_ms: 3_000,
            refusal_backoff_ms: 2_500,
            refusal_expiry_ms: 15_000,
        }
    }
}

/// Numbers of endpoints in one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// On-demand endpoints.
    pub on_demand: u32,
    /// Reclaimable endpoints.
    pub reclaimable: u32,
    /// Endpoints of a version that is being rolled out, which the platform starts and stops itself.
    pub rolling_out: u32,
}

impl Counts {
    const fn of(self, market: Market) -> u32 {
        match market {
            Market::OnDemand => self.on_demand,
            Market::Reclaimable => self.reclaimable,
        }
    }
}

/// Number of endpoints that are needed.
#[derive(Clone, Copy, Debug)]
struct Need {
    /// Endpoints for the demand of the last [`DEMAND_WINDOW`]; on-demand endpoints are ordered for no more than this.
    measured: u32,
    /// The same, but during the first [`DEMAND_WINDOW`] of requests no fewer than the operators provided.
    kept: u32,
}

/// Order that was placed for one zone and market.
#[derive(Clone, Copy, Debug)]
struct Placed {
    count: u32,
    at: Instant,
    /// Whether the platform accepted the order.
    accepted: bool,
    /// Whether as many endpoints as ordered were seen since.
    fulfilled: bool,
}

/// Planner of one service's endpoints.
#[derive(Debug, Default)]
pub struct Planner {
    settings: Settings,
    placed: BTreeMap<(name::Zone, Market), Placed>,
    /// Time of the last refusal of reclaimable endpoints in each zone.
    refusals: BTreeMap<name::Zone, Instant>,
    /// Largest number of endpoints that was needed lately.
    peak: Peak,
    /// Largest number of on-demand endpoints before the first request, and the last time at which there was none yet.
    provided: Option<(u32, Instant)>,
    /// Time at which the first endpoints or the first demand were known.
    began: Option<Instant>,
}

impl Planner {
    /// Creates a planner that has ordered nothing yet.
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            placed: BTreeMap::new(),
            refusals: BTreeMap::new(),
            peak: Peak::new(),
            provided: None,
            began: None,
        }
    }

    /// Records that the platform refused an order, since the zone has no capacity of this market at the moment.
    pub fn refused(&mut self, now: Instant, order: &Order) {
        self.failed(order);
        if order.market == Market::Reclaimable {
            self.refusals.insert(order.zone.clone(), now);
        }
    }

    /// Records that the platform accepted an order.
    pub fn accepted(&mut self, order: &Order) {
        if let Some(placed) = self.placed.get_mut(&(order.zone.clone(), order.market)) {
            placed.accepted = true;
        }
        if order.market == Market::Reclaimable {
            self.refusals.remove(&order.zone);
        }
    }

    /// Records that an order may not have reached the platform.
    pub fn failed(&mut self, order: &Order) {
        self.placed.remove(&(order.zone.clone(), order.market));
    }

    /// Returns the orders that are due, and records them as placed.
    ///
    /// `demand` is the number of prompt tokens per second that callers ask for.
    pub fn plan(
        &mut self,
        now: Instant,
        service: &name::Service,
        scale: &Scale,
        present: &BTreeMap<name::Zone, Counts>,
        demand: f64,
    ) -> Vec<Order> {
        // An entry may take over the duties before it has read the list of endpoints. Without this check, it would find
        // neither endpoints nor demand, and would order the minimum in place of what the operators provided.
        let is_unknown = present.is_empty() && demand <= 0.0 && self.began.is_none();
        if scale.reclaimable_price.is_none() || is_unknown {
            return Vec::new();
        }
        let began = *self.began.get_or_insert(now);
        // Once on-demand endpoints fill a zone up to its limit, no reclaimable ones can be ordered there, and no answer
        // of the platform ends the refusal. If refusals did not expire, the on-demand endpoints would stay for good.
        let expiry = Duration::from_millis(self.settings.refusal_expiry_ms);
        self.refusals.retain(|_, since| now.since(*since) < expiry);
        let on_demand = present.values().map(|here| here.on_demand).sum();
        let need = self.need(now, demand, on_demand);
        let targets = self.targets(now, scale, present, need);
        let mut orders = Vec::new();
        for (zone, mut target) in targets {
            let here = present.get(&zone).copied().unwrap_or_default();
            // An entry that takes over the duties after all entries were killed has not measured the demand yet, and
            // would give back endpoints that callers need a second later.
            if now.since(began) < DEMAND_WINDOW {
                target.reclaimable = target.reclaimable.max(here.reclaimable);
            }
            // The platform counts an order's endpoints and those of a version that is being rolled out together against
            // the zone's limit, so an order for as many as serve would take away all but one of them.
            if here.rolling_out > 0 {
                continue;
            }
            for market in [Market::Reclaimable, Market::OnDemand] {
                let may_order = market == Market::OnDemand || !self.is_backing_off(now, &zone);
                if may_order && self.is_due(now, scale, &zone, market, here.of(market), target.of(market)) {
                    orders.push(Order {
                        service: service.clone(),
                        zone: zone.clone(),
                        market,
                        count: target.of(market),
                    });
                }
            }
        }
        orders
    }

    /// Returns the number of endpoints that are needed: the largest of the last [`DEMAND_WINDOW`], since demand comes
    /// in waves and an endpoint that is given back loses its cache.
    ///
    /// Before the first request, the on-demand endpoints are those that the operators provided. As they become known
    /// one after another, the largest number of them counts.
    fn need(&mut self, now: Instant, demand: f64, on_demand: u32) -> Need {
        let provided = self.provided.map_or(0, |(count, _)| count);
        if demand <= 0.0 && self.peak.is_empty() {
            let provided = provided.max(on_demand);
            self.provided = Some((provided, now));
            let needed = provided.max(self.settings.min_endpoints);
            return Need {
                measured: needed,
                kept: needed,
            };
        }
        let needed = ((demand / self.settings.prefill_rate).ceil() as u32).max(self.settings.min_endpoints);
        let peak = self.peak.record(now, DEMAND_WINDOW, needed);
        let is_provided_recent = self.provided.is_some_and(|(_, at)| now.since(at) < DEMAND_WINDOW);
        Need {
            measured: peak,
            kept: if is_provided_recent { peak.max(provided) } else { peak },
        }
    }

    /// Returns the target counts of each zone.
    fn targets(
        &self,
        now: Instant,
        scale: &Scale,
        present: &BTreeMap<name::Zone, Counts>,
        need: Need,
    ) -> BTreeMap<name::Zone, Counts> {
        let per_zone = self.reclaimable_per_zone(scale, need.kept);
        let expected = self.expected_reclaimable(now, scale, present, per_zone);
        let mut missing = self.missing(need.measured, present, &expected);
        let mut kept = self.kept_on_demand(now, scale, present, need.kept);
        let mut by_price: Vec<_> = scale.zone_prices.iter().collect();
        by_price.sort_by(|a, b| a.1.total_cmp(b.1));
        let mut targets = BTreeMap::new();
        for (zone, _) in by_price {
            let here = present.get(zone).copied().unwrap_or_default();
            let room = scale.max.saturating_sub(expected[zone]);
            // They are spread over at least two zones, as a zone can be cut off with all endpoints in it.
            let share = missing.min(room).min(need.measured.div_ceil(2));
            missing -= share;
            let is_refused = self.refusals.contains_key(zone);
            let stays = if is_refused {
                here.on_demand
            } else {
                here.on_demand.min(kept)
            };
            kept = kept.saturating_sub(stays);
            let on_demand = share.max(stays).min(scale.max);
            let room = scale.max.saturating_sub(here.on_demand.max(on_demand));
            // Endpoints that serve are not given back because on-demand ones take up the zone.
            let serving = here.reclaimable.min(per_zone);
            let reclaimable = per_zone.min(room).max(serving).max(scale.min.saturating_sub(on_demand));
            let counts = Counts {
                on_demand,
                reclaimable,
                rolling_out: 0,
            };
            targets.insert(zone.clone(), counts);
        }
        targets
    }

    /// Returns how many of the on-demand endpoints stay in zones that may have capacity for reclaimable ones. One is
    /// given back for each reclaimable endpoint that serves, but none that covers the zones that may be reclaimed next.
    ///
    /// If all of them stayed until reclaimable ones serve all requests and every zone has capacity, they would fill the
    /// zones and leave no space for reclaimable ones. The fleet would be paid for twice for most of a day on which
    /// zones are reclaimed one after the other. Each step back makes space for the next one.
    fn kept_on_demand(&self, now: Instant, scale: &Scale, present: &BTreeMap<name::Zone, Counts>, needed: u32) -> u32 {
        let zones = scale.zone_prices.keys();
        let serving: Vec<u32> = zones
            .map(|zone| present.get(zone).map_or(0, |here| here.reclaimable))
            .collect();
        let on_demand: u32 = present.values().map(|here| here.on_demand).sum();
        // A new holder of the duties has not measured the demand of a whole wave yet.
        let is_known = self.began.is_some_and(|began| now.since(began) >= DEMAND_WINDOW);
        let on_demand = if is_known { on_demand.min(needed) } else { on_demand };
        let unreplaced = on_demand.saturating_sub(serving.iter().sum());
        unreplaced.max(cover::on_demand(needed, &serving, self.refusals.len()))
    }

    /// Returns the target number of reclaimable endpoints in each zone: the loss of one zone leaves as many as are
    /// needed.
    fn reclaimable_per_zone(&self, scale: &Scale, needed: u32) -> u32 {
        let others = (scale.zone_prices.len() as u32).saturating_sub(1).max(1);
        let spread = (f64::from(needed) * self.settings.spare_factor / f64::from(others)).ceil() as u32;
        spread.max(self.settings.min_reclaimable).min(scale.max)
    }

    /// Returns the number of reclaimable endpoints that can be expected in each zone; in one without capacity, only
    /// those that are left.
    ///
    /// A zone that has none while others have some has lost them, and gets none until an order for it was accepted. If
    /// only the answer to the next order showed that the zone has no capacity, its loss would be covered a second late,
    /// of the two to three that the notice lasts.
    fn expected_reclaimable<'a>(
        &self,
        now: Instant,
        scale: &'a Scale,
        present: &BTreeMap<name::Zone, Counts>,
        per_zone: u32,
    ) -> BTreeMap<&'a name::Zone, u32> {
        let count = |zone: &name::Zone| {
            let here = present.get(zone).map_or(0, |here| here.reclaimable);
            let is_lost = has_lost_reclaimable(present, zone) && !self.is_booting(now, scale, zone);
            if is_lost || self.refusals.contains_key(zone) {
                here.min(per_zone)
            } else {
                per_zone
            }
        };
        scale.zone_prices.keys().map(|zone| (zone, count(zone))).collect()
    }

    /// Returns whether reclaimable endpoints are booting in a zone: an order was accepted lately and is not fulfilled
    /// yet.
    fn is_booting(&self, now: Instant, scale: &Scale, zone: &name::Zone) -> bool {
        let placed = self.placed.get(&(zone.clone(), Market::Reclaimable));
        placed.is_some_and(|placed| {
            placed.accepted && !placed.fulfilled && now.since(placed.at) < self.order_timeout(scale)
        })
    }

    /// Returns the number of endpoints that are missing and have to be on-demand ones.
    fn missing(
        &self,
        needed: u32,
        present: &BTreeMap<name::Zone, Counts>,
        expected: &BTreeMap<&name::Zone, u32>,
    ) -> u32 {
        let lost = expected
            .iter()
            .filter(|(zone, count)| **count == 0 && has_lost_reclaimable(present, zone))
            .count();
        let counts: Vec<u32> = expected.values().copied().collect();
        cover::on_demand(needed, &counts, if self.settings.covers_ahead { lost } else { 0 })
    }

    /// Returns the time after which an order without effect is repeated.
    fn order_timeout(&self, scale: &Scale) -> Duration {
        scale.boot + Duration::from_millis(self.settings.order_timeout_ms)
    }

    /// Returns whether reclaimable endpoints were refused in a zone so lately that another order would be refused too.
    fn is_backing_off(&self, now: Instant, zone: &name::Zone) -> bool {
        self.refusals
            .get(zone)
            .is_some_and(|since| now.since(*since) < Duration::from_millis(self.settings.refusal_backoff_ms))
    }

    /// Returns whether an order is due, and records it as placed.
    ///
    /// An order that was fulfilled but is not any more is due again at once: a zone was reclaimed, or an endpoint
    /// ended. One that was never fulfilled is repeated only after the time to boot.
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
        let timeout = self.order_timeout(scale);
        let is_fulfilled = here == count;
        if let Some(placed) = self.placed.get_mut(&key)
            && placed.count == count
        {
            if is_fulfilled {
                placed.fulfilled = true;
                return false;
            }
            if !placed.fulfilled && now.since(placed.at) < timeout {
                return false;
            }
        } else if is_fulfilled {
            self.placed.remove(&key);
            return false;
        }
        let placed = Placed {
            count,
            at: now,
            accepted: false,
            fulfilled: false,
        };
        self.placed.insert(key, placed);
        true
    }
}

/// Returns whether a zone has no reclaimable endpoints while another one has some.
fn has_lost_reclaimable(present: &BTreeMap<name::Zone, Counts>, zone: &name::Zone) -> bool {
    let here = present.get(zone).map_or(0, |here| here.reclaimable);
    here == 0 && present.values().any(|there| there.reclaimable > 0)
}
