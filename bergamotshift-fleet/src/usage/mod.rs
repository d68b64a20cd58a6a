//! Use of the organisations, gossiped so that their limits hold across entries.

use std::collections::BTreeMap;

use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;

use crate::load;
use crate::tag;

/// What one entry serves for one organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// The organisation.
    pub organisation: tag::Short,
    /// The entry.
    pub entry: tag::Short,
    /// Counts the entry's publications, modulo 2^16.
    pub sequence: u16,
    /// The rate on the scale of [`load::quantise`].
    pub rate: u8,
}

/// What a whole zone serves for one organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Zone {
    /// The organisation.
    pub organisation: tag::Short,
    /// The zone.
    pub zone: tag::Short,
    /// Counts the zone's publications, modulo 2^16.
    pub sequence: u16,
    /// The rate on the scale of [`load::quantise`].
    pub rate: u8,
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

    /// Takes in another entry's rate and returns whether it is news.
    pub fn merge_entry(&mut self, news: Entry) -> bool {
        merge(
            &mut self.entries,
            (news.organisation, news.entry),
            news.sequence,
            news.rate,
        )
    }

    /// Takes in another zone's rate and returns whether it is news.
    pub fn merge_zone(&mut self, news: Zone) -> bool {
        merge(
            &mut self.zones,
            (news.organisation, news.zone),
            news.sequence,
            news.rate,
        )
    }

    /// Returns the last sequence that a zone published for an organisation.
    pub fn zone_sequence(&self, organisation: tag::Short, zone: tag::Short) -> u16 {
        self.zones
            .get(&(organisation, zone))
            .map_or(0, |(sequence, _)| *sequence)
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

type Figures = BTreeMap<(tag::Short, tag::Short), (u16, u8)>;

fn merge(table: &mut Figures, key: (tag::Short, tag::Short), sequence: u16, rate: u8) -> bool {
    let is_news = table
        .get(&key)
        .is_none_or(|(known, _)| load::is_newer(sequence, *known));
    if is_news {
        table.insert(key, (sequence, rate));
    }
    is_news
}
