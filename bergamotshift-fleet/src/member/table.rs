//! Arena of members with its indexes.

use std::collections::BTreeMap;

use bergamotshift_core::key;
use bergamotshift_core::name;
use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Record;
use crate::tag;

/// All members that an entry knows, itself included.
#[derive(Clone, Debug, Default)]
pub struct Table {
    arena: SlotMap<key::Entry, Record>,
    by_name: BTreeMap<name::Entry, key::Entry>,
    by_tag: BTreeMap<tag::Long, key::Entry>,
    by_zone: BTreeMap<name::Zone, Vec<key::Entry>>,
    digests: BTreeMap<name::Zone, u32>,
    generation: u64,
}

impl Table {
    /// Merges a record and returns its key if it replaced what was known.
    pub fn merge(&mut self, record: Record) -> Option<key::Entry> {
        let known = self.by_name.get(&record.name).copied();
        if let Some(key) = known {
            let old = &self.arena[key];
            if !record.supersedes(old) {
                return None;
            }
            if old.incarnation == record.incarnation {
                self.toggle_digest(key);
                self.generation += u64::from(self.arena[key].is_live() != record.is_live());
                // The zone and address of an incarnation never change; only its version and state do.
                let old = &mut self.arena[key];
                old.version = record.version;
                old.state = record.state;
                self.toggle_digest(key);
                return Some(key);
            }
            self.remove(key);
        }
        self.generation += 1;
        let (name, tag, zone) = (record.name.clone(), record.tag(), record.zone.clone());
        let key = self.arena.insert(record);
        self.by_name.insert(name, key);
        self.by_tag.insert(tag, key);
        self.by_zone.entry(zone).or_default().push(key);
        self.toggle_digest(key);
        Some(key)
    }

    /// Removes a member.
    pub fn remove(&mut self, key: key::Entry) {
        if !self.arena.contains_key(key) {
            return;
        }
        self.toggle_digest(key);
        let Some(record) = self.arena.remove(key) else { return };
        self.generation += 1;
        self.by_name.remove(&record.name);
        self.by_tag.remove(&record.tag());
        if let Some(keys) = self.by_zone.get_mut(&record.zone) {
            keys.retain(|other| *other != key);
        }
        if self.by_zone.get(&record.zone).is_some_and(Vec::is_empty) {
            self.by_zone.remove(&record.zone);
            self.digests.remove(&record.zone);
        }
    }

    /// Returns a member by its key.
    pub fn get(&self, key: key::Entry) -> Option<&Record> {
        self.arena.get(key)
    }

    /// Finds a member by name.
    pub fn find(&self, name: &name::Entry) -> Option<key::Entry> {
        self.by_name.get(name).copied()
    }

    /// Finds a member by the tag of its incarnation.
    pub fn find_by_tag(&self, tag: tag::Long) -> Option<key::Entry> {
        self.by_tag.get(&tag).copied()
    }

    /// Returns all members, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (key::Entry, &Record)> {
        self.by_name.values().map(|&key| (key, &self.arena[key]))
    }

    /// Returns the live members of a zone, in the order in which they became known.
    pub fn live_in<'a>(&'a self, zone: &name::Zone) -> impl Iterator<Item = (key::Entry, &'a Record)> {
        let keys = self.by_zone.get(zone).map_or(&[][..], Vec::as_slice);
        keys.iter()
            .map(|&key| (key, &self.arena[key]))
            .filter(|(_, record)| record.is_live())
    }

    /// Returns all members of a zone.
    pub fn in_zone<'a>(&'a self, zone: &name::Zone) -> impl Iterator<Item = (key::Entry, &'a Record)> {
        let keys = self.by_zone.get(zone).map_or(&[][..], Vec::as_slice);
        keys.iter().map(|&key| (key, &self.arena[key]))
    }

    /// Returns the zones that have members.
    pub fn zones(&self) -> impl Iterator<Item = &name::Zone> {
        self.by_zone.keys()
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Returns whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    /// Returns a number that changes whenever a member is added, removed, or changes between live and not live.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns a hash of a zone's live records; it is equal on two entries that hold the same records.
    pub fn digest(&self, zone: &name::Zone) -> u32 {
        self.digests.get(zone).copied().unwrap_or_default()
    }

    /// Adds a record to its zone's digest or removes it again.
    fn toggle_digest(&mut self, key: key::Entry) {
        let record = &self.arena[key];
        // Dead and left members expire at different times on different entries, and a suspicion lasts only seconds.
        // Neither is worth a full exchange.
        if !record.is_live() {
            return;
        }
        let hash = xxh3_64_with_seed(&record.tag().get().to_le_bytes(), u64::from(record.version));
        *self.digests.entry(record.zone.clone()).or_default() ^= hash as u32;
    }
}
