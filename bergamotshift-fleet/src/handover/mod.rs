//! Where the open requests of a leaving entry go, and how a caller finds its own again.
//!
//! A leaving entry makes a [`Plan`] over its open requests and sends each as a [`Parcel`] to two [`keepers`] in other
//! zones. Whichever entry the caller comes back to asks the [`candidates`] in turn. A [`Keeper`] holds parcels until
//! their deadlines.

mod keeper;
mod message;
mod parcel;
mod plan;

use std::collections::BTreeMap;

use bergamotshift_core::key;
use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use xxhash_rust::xxh3::Xxh3;

use crate::member;
use crate::rendezvous;
pub use keeper::Keeper;
pub use keeper::Receipt;
pub use keeper::Retrieval;
pub use message::Answer;
pub use message::Error;
pub use message::Question;
pub use parcel::Parcel;
pub use parcel::Progress;
pub use plan::Bounds;
pub use plan::Fate;
pub use plan::Open;
pub use plan::Plan;

/// Keepers that each parcel goes to.
pub const KEEPERS: usize = 2;

/// Members asked one after the other for a parcel: two keepers, and one more because the asker does not know which
/// zone the leaving entry was in.
pub const CANDIDATE_COUNT: usize = KEEPERS + 1;

/// A fleet of at most this many entries can be asked as a whole when the candidates have nothing.
pub const SMALL_FLEET: usize = 16;

/// What a caller comes back with: its organisation, and its idempotency key or the id of its request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// Whose request it is; no other organisation finds it.
    pub organisation: name::Organisation,
    /// The service that was called.
    pub service: name::Service,
    /// The idempotency key, or the request's id.
    pub text: SmolStr,
}

impl Key {
    /// Returns the hash under which keepers are ranked.
    pub fn hash(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for part in [self.organisation.as_str(), self.service.as_str(), &self.text] {
            // Lengths keep ("ab", "c") and ("a", "bc") apart.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.digest()
    }
}

/// Returns the members that keep a parcel of an entry that leaves `zone`: two, in different zones but that one.
///
/// A reclaim can take a whole zone, entries and endpoints together, so its own members are no keepers. Where there are
/// too few zones, the second keeper shares a zone with the first, and a fleet of one zone keeps within it.
pub fn keepers(key: &Key, members: &member::Table, zone: &name::Zone, leaving: &name::Entry) -> Vec<key::Entry> {
    let mut chosen: Vec<key::Entry> = best_per_zone(key, members, leaving)
        .into_iter()
        .filter(|(other, _)| other != zone)
        .map(|(_, entry)| entry)
        .take(KEEPERS)
        .collect();
    let ranked = ranked(key, members, leaving);
    let outside = ranked.iter().filter(|entry| !is_in(members, **entry, zone));
    let inside = ranked.iter().filter(|entry| is_in(members, **entry, zone));
    for entry in outside.chain(inside) {
        if chosen.len() >= KEEPERS {
            break;
        }
        if !chosen.contains(entry) {
            chosen.push(*entry);
        }
    }
    chosen
}

/// Returns whom `asker` asks for a parcel, in order; it looks into its own keeper when it comes across itself.
///
/// The best member of each of the first three zones covers both keepers whatever zone was left. A small fleet follows
/// as a whole: members that came or went since can have moved the ranking.
pub fn candidates(key: &Key, members: &member::Table) -> Vec<key::Entry> {
    let nobody = name::Entry::default();
    let mut order: Vec<key::Entry> = best_per_zone(key, members, &nobody)
        .into_iter()
        .map(|(_, entry)| entry)
        .take(CANDIDATE_COUNT)
        .collect();
    let ranked = ranked(key, members, &nobody);
    let further = if ranked.len() <= SMALL_FLEET {
        ranked.len()
    } else {
        CANDIDATE_COUNT
    };
    for entry in ranked.into_iter().take(further) {
        if !order.contains(&entry) {
            order.push(entry);
        }
    }
    order
}

/// Returns the member of highest rank of each zone, the highest first.
fn best_per_zone(key: &Key, members: &member::Table, except: &name::Entry) -> Vec<(name::Zone, key::Entry)> {
    let mut best: Vec<(name::Zone, key::Entry)> = Vec::new();
    for entry in ranked(key, members, except) {
        let Some(record) = members.get(entry) else { continue };
        if best.iter().all(|(zone, _)| *zone != record.zone) {
            best.push((record.zone.clone(), entry));
        }
    }
    best
}

fn ranked(key: &Key, members: &member::Table, except: &name::Entry) -> Vec<key::Entry> {
    let live = members
        .iter()
        .filter(|(_, record)| record.is_live() && record.name != *except);
    let candidates = live.map(|(entry, record)| (record.tag().get(), entry));
    rendezvous::top(key.hash(), usize::MAX, candidates)
}

fn is_in(members: &member::Table, entry: key::Entry, zone: &name::Zone) -> bool {
    members.get(entry).is_some_and(|record| record.zone == *zone)
}

/// Groups parcels by the keepers that they go to.
pub fn by_keeper<'a>(
    keys: impl Iterator<Item = &'a Key>,
    members: &member::Table,
    zone: &name::Zone,
    leaving: &name::Entry,
) -> BTreeMap<key::Entry, Vec<Key>> {
    let mut groups: BTreeMap<key::Entry, Vec<Key>> = BTreeMap::new();
    for key in keys {
        for keeper in keepers(key, members, zone, leaving) {
            groups.entry(keeper).or_default().push(key.clone());
        }
    }
    groups
}
