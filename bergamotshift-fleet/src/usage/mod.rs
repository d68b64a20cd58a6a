//! Rates at which organisations are served, gossiped so that their limits hold across entries.

use std::collections::BTreeMap;

use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;

use crate::load;
use crate::tag;

/// Rate at which an organisation is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Rate {
    /// Tag of the organisation.
    pub organisation: tag::Short,
    /// Rate on the scale of [`load::quantise`].
    pub level: u8,
}

/// Scope of published rates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Place {
    /// One entry of the zone.
    Entry(tag::Short),
    /// A whole zone.
    Zone(tag::Short),
}

/// Published rates of one entry or zone for some organisations.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Update {
    /// Entry or zone that the rates belong to.
    pub place: Place,
    /// Number of this part, for an entry or zone with more than [`Update::MAX_RATES`] organisations.
    pub part: u8,
    /// Sequence number of the publication, modulo 2^16.
    pub sequence: u16,
    /// Rates, at most [`Update::MAX_RATES`].
    pub rates: Vec<Rate>,
}

impl Update {
    /// Maximum number of rates in one update, so that it fits in a frame beside a probe.
    pub const MAX_RATES: usize = 16;
}

/// Known rates: exact for this entry, per entry for its zone, and as sums for the other zones.
#[derive(Clone, Debug, Default)]
pub struct Table {
    own: BTreeMap<name::Organisation, u32>,
    entries: BTreeMap<(tag::Short, tag::Short), (u16, u8)>,
    zones: BTreeMap<(tag::Short, tag::Short), (u16, u8)>,
}

impl Table {
    /// Sets this entry's own rate for an organisation.
    pub fn set_own(&mut self, organisation: name::Organisation, rate: u32) {
        self.own.insert(organisation, rate);
    }

    /// Returns this entry's own rates.
    pub fn own(&self) -> impl Iterator<Item = (&name::Organisation, u32)> {
        self.own.iter().map(|(organisation, rate)| (organisation, *rate))
    }

    /// Merges an update and returns whether any of its rates is new.
    pub fn merge(&mut self, update: &Update) -> bool {
        let (table, place) = match update.place {
            Place::Entry(entry) => (&mut self.entries, entry),
            Place::Zone(zone) => (&mut self.zones, zone),
        };
        let mut is_new = false;
        for rate in &update.rates {
            let key = (rate.organisation, place);
            let known = table.get(&key);
            if known.is_none_or(|(known, _)| load::is_newer(update.sequence, *known)) {
                table.insert(key, (update.sequence, rate.level));
                is_new = true;
            }
        }
        is_new
    }

    /// Returns the highest sequence number that a zone published.
    pub fn zone_sequence(&self, zone: tag::Short) -> u16 {
        let sequences = self.zones.iter().filter(|((_, other), _)| *other == zone);
        sequences
            .map(|(_, (sequence, _))| *sequence)
            .reduce(|left, right| if load::is_newer(right, left) { right } else { left })
            .unwrap_or(0)
    }

    /// Keeps only the rates of entries for which `keep` is true: a dead entry serves nothing.
    pub fn retain_entries(&mut self, keep: impl Fn(tag::Short) -> bool) {
        self.entries.retain(|(_, entry), _| keep(*entry));
    }

    /// Keeps only the rates of zones for which `keep` is true: the rates of a lost zone are too old to count.
    pub fn retain_zones(&mut self, keep: impl Fn(tag::Short) -> bool) {
        self.zones.retain(|(_, zone), _| keep(*zone));
    }

    /// Returns the rates of all organisations in the own zone, summed over its entries including this one.
    pub fn in_zone(&self) -> BTreeMap<tag::Short, u32> {
        let mut sums: BTreeMap<tag::Short, u32> = BTreeMap::new();
        for (organisation, rate) in &self.own {
            *sums.entry(tag::Short::of(organisation)).or_default() += rate;
        }
        for ((organisation, _), (_, rate)) in &self.entries {
            let sum = sums.entry(*organisation).or_default();
            *sum = sum.saturating_add(load::dequantise(*rate));
        }
        sums
    }

    /// Returns the rate of an organisation at the zone's other entries and in the other zones.
    pub fn elsewhere(&self, organisation: &name::Organisation, own_zone: &name::Zone) -> u32 {
        let organisation = tag::Short::of(organisation);
        let own_zone = tag::Short::of(own_zone);
        let of = |table: &BTreeMap<(tag::Short, tag::Short), (u16, u8)>, except: Option<tag::Short>| {
            table
                .iter()
                .filter(|((other, place), _)| *other == organisation && Some(*place) != except)
                .map(|(_, (_, rate))| load::dequantise(*rate))
                .fold(0_u32, u32::saturating_add)
        };
        of(&self.entries, None).saturating_add(of(&self.zones, Some(own_zone)))
    }

    /// Returns the number of rates held.
    pub fn len(&self) -> usize {
        self.own.len() + self.entries.len() + self.zones.len()
    }

    /// Returns whether no rate is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
