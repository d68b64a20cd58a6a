//! Demand per organisation across the fleet, and this entry's portion of a fleet-wide allowance.
//!
//! Entries do not coordinate before they admit a request. Each entry announces its demand to the other entries of its
//! zone, and zones announce their sums to each other. Every entry computes its own portion from these figures; the
//! portions of entries with equal views add up to one.
//!
//! A network partition must not give an organisation its whole limit in every zone. The weight of a report therefore
//! falls from one to zero as its age grows from `fresh` to `horizon`; after that, the silent zone's equal portion is
//! held in reserve. With `k` groups of zones partitioned from each other, the portions add up to at most
//! `1 + (k - 1) × weight`, and the excess of a partition of any length is at most `(k - 1) × (fresh + horizon) / 2`
//! seconds' worth of the limit.
//!
//! When demand appears at several entries at once, an entry that combined its own new demand with the old demand of the
//! others would take the whole allowance until the next round of gossip. A portion therefore depends only on announced
//! demand, so that all entries divide by the same figures, one round of gossip late.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Source of a demand report.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Origin {
    /// Another entry of the same zone.
    Entry(name::Entry),
    /// Another zone, as the sum of its entries.
    Zone(name::Zone),
}

/// Parameters for the ageing of reports and for the portions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Age up to which an origin's last report has full weight; a few rounds of gossip.
    pub fresh: Duration,
    /// Age from which an origin's last report has no weight.
    pub horizon: Duration,
    /// Fraction of every portion that does not depend on demand, so that new demand can be admitted at once.
    pub floor: f64,
    /// Time constant of the demand average.
    pub window: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            fresh: Duration::from_millis(1_500),
            horizon: Duration::from_secs(5),
            floor: 0.05,
            window: Duration::from_secs(2),
        }
    }
}

/// Demand in units per second, by organisation.
pub type Rates = BTreeMap<name::Organisation, f64>;

/// Demand that an entry announces to the others.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Announcement {
    /// Demand at this entry, for the other entries of its zone.
    pub entry: Rates,
    /// Demand in the whole zone, for the other zones.
    pub zone: Rates,
}

impl Announcement {
    const fn new() -> Self {
        Self {
            entry: Rates::new(),
            zone: Rates::new(),
        }
    }
}

/// Last demand report of an origin.
#[derive(Clone, Debug)]
struct Report {
    /// Time of the reading.
    at: Instant,
    rates: Rates,
}

/// One entry's view of demand in the fleet.
#[derive(Clone, Debug)]
pub struct View {
    settings: Settings,
    /// Averaged demand at this entry.
    own: Rates,
    /// Last announcement, from which portions are computed.
    announced: Announcement,
    last_tick: Option<Instant>,
    entries: BTreeMap<name::Entry, Report>,
    zones: BTreeMap<name::Zone, Report>,
    /// Number of other live entries in the zone.
    peers: usize,
    /// Other zones, as configured.
    other_zones: Vec<name::Zone>,
}

impl View {
    /// Creates a view of a fleet with the given other zones, as configured, and `peers` other entries in this zone.
    pub const fn new(settings: Settings, other_zones: Vec<name::Zone>, peers: usize) -> Self {
        Self {
            settings,
            own: Rates::new(),
            announced: Announcement::new(),
            last_tick: None,
            entries: BTreeMap::new(),
            zones: BTreeMap::new(),
            peers,
            other_zones,
        }
    }

    /// Sets the number of other live entries in the zone.
    pub const fn set_peers(&mut self, peers: usize) {
        self.peers = peers;
    }

    /// Removes an entry that left or failed.
    pub fn remove(&mut self, entry: &name::Entry) {
        self.entries.remove(entry);
    }

    /// Records the demand reported by another origin; `age` is the age of the reading.
    pub fn observe(&mut self, now: Instant, origin: Origin, age: Duration, rates: Rates) {
        let at = now - age;
        match origin {
            Origin::Entry(name) => insert_newer(&mut self.entries, name, at, rates),
            Origin::Zone(name) => insert_newer(&mut self.zones, name, at, rates),
        }
    }

    /// Updates the demand averages with the units requested since the last call.
    pub fn tick(&mut self, now: Instant, requested: impl IntoIterator<Item = (name::Organisation, u64)>) {
        let span = self.last_tick.map(|last| now.since(last)).unwrap_or_default();
        self.last_tick = Some(now);
        if span.is_zero() {
            return;
        }
        let decay = (-span.as_secs_f64() / self.settings.window.as_secs_f64()).exp();
        for (organisation, units) in requested {
            let rate = units as f64 / span.as_secs_f64();
            let average = self.own.entry(organisation).or_insert(0.0);
            *average = *average * decay + rate * (1.0 - decay);
        }
    }

    /// Returns the demand to announce now; portions are computed from it until the next call.
    pub fn announce(&mut self, now: Instant) -> &Announcement {
        let mut zone = self.own.clone();
        for report in self.entries.values() {
            let weight = self.weight(now, report);
            for (organisation, rate) in &report.rates {
                *zone.entry(organisation.clone()).or_insert(0.0) += rate * weight;
            }
        }
        let entry = self.own.clone();
        self.announced = Announcement { entry, zone };
        &self.announced
    }

    /// Sums the reported demand of the others by organisation.
    ///
    /// One pass over the reports serves the portions of all organisations.
    pub fn sums(&self, now: Instant) -> Sums<'_> {
        let zones = self.other_zones.iter().filter_map(|zone| self.zones.get(zone));
        let entries = self.entries.values();
        Sums {
            zones: self.level(now, &self.announced.zone, self.other_zones.len(), zones),
            entries: self.level(now, &self.announced.entry, self.peers, entries),
            floor: self.settings.floor,
        }
    }

    /// Sums the reports of one level; `other_members` also counts the members that did not report.
    fn level<'a>(
        &self,
        now: Instant,
        announced: &'a Rates,
        other_members: usize,
        reports: impl Iterator<Item = &'a Report>,
    ) -> Level<'a> {
        let mut elsewhere: BTreeMap<&name::Organisation, f64> = BTreeMap::new();
        let mut reporting = 1.0;
        for report in reports {
            let weight = self.weight(now, report);
            reporting += weight;
            for (organisation, rate) in &report.rates {
                *elsewhere.entry(organisation).or_insert(0.0) += rate * weight;
            }
        }
        let members = (other_members + 1) as f64;
        Level {
            announced,
            elsewhere,
            members,
            reporting: reporting.min(members),
        }
    }

    /// Returns the weight of a report: one up to `fresh`, then falling to zero at `horizon`.
    fn weight(&self, now: Instant, report: &Report) -> f64 {
        let Settings { fresh, horizon, .. } = self.settings;
        let left = horizon.saturating_sub(now.since(report.at)).as_secs_f64();
        let falling = horizon.saturating_sub(fresh).as_secs_f64();
        (left / falling.max(f64::MIN_POSITIVE)).min(1.0)
    }
}

/// Demand of the whole fleet at one moment, from which portions are computed.
#[derive(Clone, Debug)]
pub struct Sums<'a> {
    zones: Level<'a>,
    entries: Level<'a>,
    floor: f64,
}

impl Sums<'_> {
    /// Returns the known demand of an organisation over the whole fleet.
    pub fn total(&self, organisation: &name::Organisation) -> f64 {
        let (here, elsewhere) = self.zones.demand(organisation);
        here + elsewhere
    }

    /// Returns this entry's portion of an organisation's allowance, from 0 to 1.
    ///
    /// The portions of silent zones and entries stay in reserve, so that all portions never add up to much more than
    /// one.
    pub fn portion(&self, organisation: &name::Organisation) -> f64 {
        let zone = self.zones.portion_among_reporting(organisation, self.floor) * self.zones.reporting_fraction();
        zone * self.within_zone(organisation)
    }

    /// Returns this entry's portion of an organisation's share of the endpoints that can be reached from here.
    ///
    /// Silent zones get no portion, because a zone that is cut off serves from its own endpoints. Live but silent
    /// entries of this zone share its endpoints and keep their portions.
    pub fn reachable_portion(&self, organisation: &name::Organisation) -> f64 {
        self.zones.portion_among_reporting(organisation, self.floor) * self.within_zone(organisation)
    }

    /// Returns this entry's share of all demand, used to predict how fast the fleet's work grows with its own.
    pub fn demand_share(&self) -> f64 {
        let here: f64 = self.entries.announced.values().sum();
        let zone = here + self.entries.elsewhere.values().sum::<f64>();
        let all = zone + self.zones.elsewhere.values().sum::<f64>();
        let members = self.entries.reporting * self.zones.reporting;
        if all > 0.0 {
            here.max(all * self.floor / members) / all
        } else {
            1.0 / members
        }
    }

    /// Returns this entry's portion within its zone.
    fn within_zone(&self, organisation: &name::Organisation) -> f64 {
        self.entries.portion_among_reporting(organisation, self.floor) * self.entries.reporting_fraction()
    }
}

/// Division of an allowance at one level: among the zones, or among the entries of this zone.
#[derive(Clone, Debug)]
struct Level<'a> {
    /// Announced demand of this member.
    announced: &'a Rates,
    /// Weighted demand of the other members.
    elsewhere: BTreeMap<&'a name::Organisation, f64>,
    /// Number of members, this one included.
    members: f64,
    /// Sum of the weights of the members that report, this one included.
    reporting: f64,
}

impl Level<'_> {
    /// Returns the fraction of the allowance that is not reserved for silent members.
    fn reporting_fraction(&self) -> f64 {
        self.reporting / self.members
    }

    /// Returns the demand of an organisation at this member and at the others.
    fn demand(&self, organisation: &name::Organisation) -> (f64, f64) {
        let here = self.announced.get(organisation).copied().unwrap_or(0.0);
        let elsewhere = self.elsewhere.get(organisation).copied().unwrap_or(0.0);
        (here, elsewhere)
    }

    /// Returns this member's portion among the members that report.
    fn portion_among_reporting(&self, organisation: &name::Organisation, floor: f64) -> f64 {
        let (here, elsewhere) = self.demand(organisation);
        let demand = here + elsewhere;
        let equal = 1.0 / self.reporting;
        let by_demand = if demand > 0.0 { here / demand } else { equal };
        (1.0 - floor) * by_demand + floor * equal
    }
}

/// Stores a report unless a newer one of the same origin is known.
fn insert_newer<K: Ord>(known: &mut BTreeMap<K, Report>, key: K, at: Instant, rates: Rates) {
    let stale = known.get(&key).is_some_and(|report| report.at > at);
    if !stale {
        known.insert(key, Report { at, rates });
    }
}
