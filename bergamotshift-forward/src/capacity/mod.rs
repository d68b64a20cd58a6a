//! Decides how many endpoints of each market a service has in each availability zone.
//!
//! Reclaimable endpoints cost a fraction of the others, and all of a zone's are taken away at once, on seconds of
//! notice. So a service runs on reclaimable ones in every zone, more than it needs by about one zone's worth: the loss
//! of a zone leaves enough, and costs less than a few on-demand ones would.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;

use crate::document::Scale;
use crate::outside::Order;

/// How counts are chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Reclaimable endpoints wanted in each zone.
    pub reclaimable: u32,
    /// On-demand endpoints kept in each zone once reclaimable ones serve.
    pub on_demand: u32,
    /// The part of the reclaimable endpoints that must serve before on-demand ones are given back.
    pub enough: f64,
    /// How long an order that has not shown its effect waits, beyond the time a new endpoint takes to boot.
    pub patience: Duration,
    /// How long a zone without room is left alone; the platform says that none are to be had for many seconds.
    pub dry: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            reclaimable: 3,
            on_demand: 0,
            enough: 0.6,
            patience: Duration::from_secs(3),
            dry: Duration::from_secs(3),
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
}

impl Present {
    const fn of(self, market: Market) -> u32 {
        match market {
            Market::OnDemand => self.on_demand,
            Market::Reclaimable => self.reclaimable,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Placed {
    count: u32,
    at: Instant,
}

/// Plans one service's endpoints.
#[derive(Debug, Default)]
pub struct Planner {
    settings: Settings,
    placed: BTreeMap<(name::Zone, Market), Placed>,
    dry: BTreeMap<name::Zone, Instant>,
}

impl Planner {
    /// Makes a planner that has ordered nothing yet.
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            placed: BTreeMap::new(),
            dry: BTreeMap::new(),
        }
    }

    /// Notes that a zone has no room for reclaimable endpoints at the moment.
    pub fn refused(&mut self, now: Instant, zone: &name::Zone) {
        self.dry.insert(zone.clone(), now);
        self.placed.remove(&(zone.clone(), Market::Reclaimable));
    }

    /// Notes an order that may not have reached the platform.
    pub fn failed(&mut self, order: &Order) {
        self.placed.remove(&(order.zone.clone(), order.market));
    }

    /// Returns the orders that are due, and notes them as placed.
    pub fn plan(
        &mut self,
        now: Instant,
        service: &name::Service,
        scale: &Scale,
        present: &BTreeMap<name::Zone, Present>,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        if scale.reclaimable_price.is_none() {
            return orders;
        }
        let zones: Vec<&name::Zone> = scale.zone_prices.keys().collect();
        let open = zones.iter().filter(|zone| !self.is_dry(now, zone)).count();
        let wanted = self.settings.reclaimable * zones.len() as u32;
        let each = wanted.div_ceil(open.max(1) as u32).min(scale.max);
        let serving: u32 = present.values().map(|present| present.reclaimable).sum();
        let enough = f64::from(serving) >= f64::from(wanted) * self.settings.enough;
        for zone in zones {
            let here = present.get(zone).copied().unwrap_or_default();
            let on_demand = if enough {
                self.settings.on_demand.min(here.on_demand)
            } else {
                here.on_demand
            };
            if !self.is_dry(now, zone) {
                let reclaimable = each
                    .min(scale.max.saturating_sub(here.on_demand))
                    .max(scale.min.min(each));
                self.place(
                    now,
                    scale,
                    service,
                    zone,
                    Market::Reclaimable,
                    here,
                    reclaimable,
                    &mut orders,
                );
            }
            if on_demand < here.on_demand {
                self.place(
                    now,
                    scale,
                    service,
                    zone,
                    Market::OnDemand,
                    here,
                    on_demand,
                    &mut orders,
                );
            }
        }
        orders
    }

    fn is_dry(&self, now: Instant, zone: &name::Zone) -> bool {
        self.dry
            .get(zone)
            .is_some_and(|since| now.since(*since) < self.settings.dry)
    }

    #[expect(clippy::too_many_arguments, reason = "one order is one flat set of facts")]
    fn place(
        &mut self,
        now: Instant,
        scale: &Scale,
        service: &name::Service,
        zone: &name::Zone,
        market: Market,
        here: Present,
        count: u32,
        orders: &mut Vec<Order>,
    ) {
        let key = (zone.clone(), market);
        let shown = here.of(market) == count;
        let patience = scale.boot + self.settings.patience;
        let due = match self.placed.get(&key) {
            Some(placed) if placed.count == count => !shown && now.since(placed.at) >= patience,
            Some(_) => true,
            None => !shown,
        };
        if !due {
            return;
        }
        self.placed.insert(key, Placed { count, at: now });
        orders.push(Order {
            service: service.clone(),
            zone: zone.clone(),
            market,
            count,
        });
    }
}
