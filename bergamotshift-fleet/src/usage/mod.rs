//! Use of the organisations, gossiped so that their limits hold across entries.

use std::collections::BTreeMap;

use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;

use crate::load;
use crate::tag;

/// The rate at which an organisation is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Rate {
    /// The organisation.
    pub organisation: tag::Short,
    /// The rate on the scale of [`load::quantise`].
    pub level: u8,
}

/// Where organisations are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Place {
    /// At one entry of the zone.
    Entry(tag::Short),
    /// In a whole zone.
    Zone(tag::Short),
}

/// What one place serves for some organisations.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Use {
    /// The place.
    pub place: Place,
    /// Tells the parts of a place's use apart, when it has many organisations.
    pub part: u8,
    /// Counts the place's publications, modulo 2^16.
    pub sequence: u16,
    /// The rates, at most [`Use::MOST`].
    pub rates: Vec<Rate>,
}

impl Use {
    /// Most rates in one publication, so that it fits in the room beside a probe.
    pub const MOST: usize = 16;
}

/// The rates that an entry knows: its own exactly, its zone's per entry, the other zones' in sum.
#[derive(Clone, Debug, Default)]
pub struct Book {
    own: BTreeMap<name::Organisation, u32>,
    entries: BTreeMap<(tag::Short, tag::Short), (u16, u8)>,
    zones: BTreeMap<(tag::Short, tag::Short), (u16, u8)>,
}

impl Book {
    /// Sets this entry's own rate.
    pub fn set_own(&mut self, organisation: name::Organisation, rate: u32) {
        self.own.insert(organisation, rate);
    }

    /// Returns this entry's own rates.
    pub fn own(&self) -> impl Iterator<Item = (&name::Organisation, u32)> {
        self.own.iter().map(|(organisation, rate)| (organisation, *rate))
    }

    /// Takes a publication in and returns whether it is news.
    pub fn merge(&mut self, news: &Use) -> bool {
        let (table, place) = match news.place {
            Place::Entry(entry) => (&mut self.entries, entry),
            Place::Zone(zone) => (&mut self.zones, zone),
        };
        let mut is_news = false;
        for rate in &news.rates {
            let key = (rate.organisation, place);
            let known = table.get(&key);
            if known.is_none_or(|(known, _)| load::is_newer(news.sequence, *known)) {
                table.insert(key, (news.sequence, rate.level));
                is_news = true;
            }
        }
        is_news
    }

    /// Returns the highest sequence that a zone published.
    pub fn zone_sequence(&self, zone: tag::Short) -> u16 {
        let sequences = self.zones.iter().filter(|((_, other), _)| *other == zone);
        sequences
            .map(|(_, (sequence, _))| *sequence)
            .reduce(|left, right| if load::is_newer(right, left) { right } else { left })
            .unwrap_or(0)
    }

    /// Forgets the rates of entries for which `keep` is false: a dead entry serves nothing.
    pub fn retain_entries(&mut self, keep: impl Fn(tag::Short) -> bool) {
        self.entries.retain(|(_, entry), _| keep(*entry));
    }

    /// Forgets the rates of zones for which `keep` is false: a cut-off zone's figures are too old to count.
    pub fn retain_zones(&mut self, keep: impl Fn(tag::Short) -> bool) {
        self.zones.retain(|(_, zone), _| keep(*zone));
    }

    /// Returns the organisations that the zone serves, each with the sum over its entries, this one included.
    pub fn in_zone(&self) -> BTreeMap<tag::Short, u32> {
        let mut sums: BTreeMap<tag::Short, u32> = BTreeMap::new();
        for (organisation, rate) in &self.own {
            *sums.entry(tag::Short::of(organisation)).or_default() += rate;
        }
        for ((organisation, _), (_, rate)) in &self.entries {
            let sum = sums.entry(*organisation).or_default();
            *sum = sum.saturating_add(load::restore(*rate));
        }
        sums
    }

    /// Returns what all others serve for an organisation: the zone's other entries and the other zones.
    pub fn elsewhere(&self, organisation: &name::Organisation, own_zone: &name::Zone) -> u32 {
        let organisation = tag::Short::of(organisation);
        let own_zone = tag::Short::of(own_zone);
        let of = |table: &BTreeMap<(tag::Short, tag::Short), (u16, u8)>, except: Option<tag::Short>| {
            table
                .iter()
                .filter(|((other, place), _)| *other == organisation && Some(*place) != except)
                .map(|(_, (_, rate))| load::restore(*rate))
                .fold(0_u32, u32::saturating_add)
        };
        of(&self.entries, None).saturating_add(of(&self.zones, Some(own_zone)))
    }

    /// Returns the number of figures held.
    pub fn len(&self) -> usize {
        self.own.len() + self.entries.len() + self.zones.len()
    }

    /// Returns whether no figure is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
