//! Who asks for how much, here and elsewhere, and what part of a fleet-wide allowance is this entry's.
//!
//! No entry asks another before it admits. Each tells the entries of its zone what it is asked for, and zones tell
//! each other their sums; from that each works out its own portion. The portions of entries with equal views add up
//! to one.
//!
//! Failure: zones are cut off from each other, and each believes that the others are asked for nothing. Symptom: an
//! organisation gets its whole limit in every zone for as long as the cut lasts. A view loses its say with age: from
//! `fresh` to `horizon` its weight falls from one to nothing, and then the silent zone's equal portion is kept in
//! reserve. So with `k` groups of zones cut off from each other, the portions add up to at most `1 + (k - 1) × say`, and
//! the excess of a cut of any length is at most `(k - 1) × (fresh + horizon) / 2` seconds' worth.
//!
//! Failure: demand appears at several entries at once, and each works with its own new demand and the others' old one.
//! Symptom: each takes the whole allowance until the next gossip. A portion follows only what was told to the others,
//! so all entries divide by the same figures, one round of gossip late.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Who says so: another entry of this zone, or another zone as a sum.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Origin {
    /// Another entry of the same zone.
    Entry(name::Entry),
    /// All entries of another zone.
    Zone(name::Zone),
}

/// How views age and portions follow demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The age up to which an origin's last word counts in full; some rounds of gossip.
    pub fresh: Duration,
    /// The age at which a silent origin's last word counts no longer.
    pub horizon: Duration,
    /// The part of every portion that does not follow demand, so that new demand finds room at once.
    pub floor: f64,
    /// The time over which demand is averaged.
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

/// Units per second asked for, by organisation.
pub type Rates = BTreeMap<name::Organisation, f64>;

/// What an entry last told the others.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Announcement {
    /// What this entry is asked for, for the entries of its zone.
    pub entry: Rates,
    /// What its zone is asked for, for the other zones.
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

#[derive(Clone, Debug)]
struct Heard {
    at: Instant,
    rates: Rates,
}

/// What one entry knows of demand.
#[derive(Clone, Debug)]
pub struct View {
    settings: Settings,
    own: Rates,
    told: Announcement,
    ticked: Option<Instant>,
    entries: BTreeMap<name::Entry, Heard>,
    zones: BTreeMap<name::Zone, Heard>,
    peers: usize,
    others: Vec<name::Zone>,
}

impl View {
    /// Makes a view of a fleet with these other zones, as configured, and this many other entries in the zone.
    pub const fn new(settings: Settings, others: Vec<name::Zone>, peers: usize) -> Self {
        Self {
            settings,
            own: Rates::new(),
            told: Announcement::new(),
            ticked: None,
            entries: BTreeMap::new(),
            zones: BTreeMap::new(),
            peers,
            others,
        }
    }

    /// Sets how many other entries of the zone are alive.
    pub const fn set_peers(&mut self, peers: usize) {
        self.peers = peers;
    }

    /// Forgets an entry that left or died.
    pub fn remove(&mut self, entry: &name::Entry) {
        self.entries.remove(entry);
    }

    /// Notes what another origin is asked for; `age` is how old the reading is.
    pub fn observe(&mut self, now: Instant, origin: Origin, age: Duration, rates: Rates) {
        let at = now - age;
        match origin {
            Origin::Entry(name) => newer(&mut self.entries, name, at, rates),
            Origin::Zone(name) => newer(&mut self.zones, name, at, rates),
        }
    }

    /// Folds units asked for since the last call into the averages.
    pub fn tick(&mut self, now: Instant, asked: impl IntoIterator<Item = (name::Organisation, u64)>) {
        let span = self.ticked.map(|ticked| now.since(ticked)).unwrap_or_default();
        self.ticked = Some(now);
        if span.is_zero() {
            return;
        }
        let kept = (-span.as_secs_f64() / self.settings.window.as_secs_f64()).exp();
        for (organisation, units) in asked {
            let rate = units as f64 / span.as_secs_f64();
            let average = self.own.entry(organisation).or_insert(0.0);
            *average = *average * kept + rate * (1.0 - kept);
        }
    }

    /// Returns what the others should hear now; portions follow it from the next call on.
    pub fn announce(&mut self, now: Instant) -> &Announcement {
        let mut zone = self.own.clone();
        for heard in self.entries.values() {
            let say = self.say(now, heard);
            for (organisation, rate) in &heard.rates {
                *zone.entry(organisation.clone()).or_insert(0.0) += rate * say;
            }
        }
        let entry = self.own.clone();
        self.told = Announcement { entry, zone };
        &self.told
    }

    /// Adds up what the others said, by organisation.
    ///
    /// All organisations' portions are then read from one pass over what was heard.
    pub fn sums(&self, now: Instant) -> Sums<'_> {
        let zones = self.others.iter().filter_map(|zone| self.zones.get(zone));
        let entries = self.entries.values();
        Sums {
            zones: self.side(now, &self.told.zone, self.others.len(), zones),
            entries: self.side(now, &self.told.entry, self.peers, entries),
            floor: self.settings.floor,
        }
    }

    fn side<'a>(
        &self,
        now: Instant,
        told: &'a Rates,
        others: usize,
        heard: impl Iterator<Item = &'a Heard>,
    ) -> Side<'a> {
        let mut elsewhere: BTreeMap<&name::Organisation, f64> = BTreeMap::new();
        let mut speaking = 1.0;
        for heard in heard {
            let say = self.say(now, heard);
            speaking += say;
            for (organisation, rate) in &heard.rates {
                *elsewhere.entry(organisation).or_insert(0.0) += rate * say;
            }
        }
        let count = (others + 1) as f64;
        Side {
            told,
            elsewhere,
            count,
            speaking: speaking.min(count),
        }
    }

    /// Returns how much an origin's last word counts: all when fresh, nothing at the horizon.
    fn say(&self, now: Instant, heard: &Heard) -> f64 {
        let Settings { fresh, horizon, .. } = self.settings;
        let left = horizon.saturating_sub(now.since(heard.at)).as_secs_f64();
        let falling = horizon.saturating_sub(fresh).as_secs_f64();
        (left / falling.max(f64::MIN_POSITIVE)).min(1.0)
    }
}

/// Everybody's demand at one moment, and what portions follow from it.
#[derive(Clone, Debug)]
pub struct Sums<'a> {
    zones: Side<'a>,
    entries: Side<'a>,
    floor: f64,
}

impl Sums<'_> {
    /// Returns the whole fleet's demand of an organisation, as far as it is known.
    pub fn total(&self, organisation: &name::Organisation) -> f64 {
        let (here, elsewhere) = self.zones.demand(organisation);
        here + elsewhere
    }

    /// Returns this entry's portion of an organisation's allowance, between nought and one.
    ///
    /// Silent zones and entries keep theirs in reserve, so that all portions never add up to much more than one.
    pub fn portion(&self, organisation: &name::Organisation) -> f64 {
        let zone = self.zones.among_speaking(organisation, self.floor) * self.zones.heard();
        zone * self.within_zone(organisation)
    }

    /// Returns this entry's portion of an organisation's share of what can be reached from here.
    ///
    /// Silent zones get nothing: a zone that is cut off has its own endpoints to itself. Entries of this zone that
    /// are alive and silent share its endpoints and keep theirs.
    pub fn reachable(&self, organisation: &name::Organisation) -> f64 {
        self.zones.among_speaking(organisation, self.floor) * self.within_zone(organisation)
    }

    /// Returns this entry's part of all demand, for predicting how fast everybody's work grows with its own.
    pub fn part(&self) -> f64 {
        let here: f64 = self.entries.told.values().sum();
        let zone = here + self.entries.elsewhere.values().sum::<f64>();
        let all = zone + self.zones.elsewhere.values().sum::<f64>();
        let members = self.entries.speaking * self.zones.speaking;
        if all > 0.0 {
            here.max(all * self.floor / members) / all
        } else {
            1.0 / members
        }
    }

    fn within_zone(&self, organisation: &name::Organisation) -> f64 {
        self.entries.among_speaking(organisation, self.floor) * self.entries.heard()
    }
}

/// An allowance between this member and others: this zone and other zones, or this entry and others of its zone.
#[derive(Clone, Debug)]
struct Side<'a> {
    told: &'a Rates,
    elsewhere: BTreeMap<&'a name::Organisation, f64>,
    count: f64,
    speaking: f64,
}

impl Side<'_> {
    /// Returns the part of the allowance that is not kept for silent members.
    fn heard(&self) -> f64 {
        self.speaking / self.count
    }

    fn demand(&self, organisation: &name::Organisation) -> (f64, f64) {
        let here = self.told.get(organisation).copied().unwrap_or(0.0);
        let elsewhere = self.elsewhere.get(organisation).copied().unwrap_or(0.0);
        (here, elsewhere)
    }

    fn among_speaking(&self, organisation: &name::Organisation, floor: f64) -> f64 {
        let (here, elsewhere) = self.demand(organisation);
        let demand = here + elsewhere;
        let equal = 1.0 / self.speaking;
        let by_demand = if demand > 0.0 { here / demand } else { equal };
        (1.0 - floor) * by_demand + floor * equal
    }
}

fn newer<K: Ord>(known: &mut BTreeMap<K, Heard>, key: K, at: Instant, rates: Rates) {
    let stale = known.get(&key).is_some_and(|heard| heard.at > at);
    if !stale {
        known.insert(key, Heard { at, rates });
    }
}
