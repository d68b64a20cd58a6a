//! Handover of a leaving entry's open requests, and the search for them when their callers come back.
//!
//! A leaving entry makes a [`Plan`] for its open requests and sends each as a [`Parcel`] to two [`keepers`] in other
//! zones. The entry that a caller reconnects to asks the [`candidates`] in turn. A [`Keeper`] stores parcels until
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
pub use plan::Budget;
pub use plan::Disposition;
pub use plan::Plan;
pub use plan::Request;

/// Number of keepers that each parcel is sent to.
pub const KEEPERS_PER_PARCEL: usize = 2;

/// Number of zones whose highest-ranked member is asked for a parcel: one per keeper, and one more because the
/// requester does not know the zone of the entry that left.
pub const CANDIDATE_COUNT: usize = KEEPERS_PER_PARCEL + 1;

/// Largest fleet of which every live member is asked when the first candidates do not have the parcel.
pub const SMALL_FLEET_SIZE: usize = 16;

/// Key of a request: the organisation, the service, and the idempotency key or request ID that the caller sends again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// Organisation that owns the request; no other organisation can find it.
    pub organisation: name::Organisation,
    /// Service that was called.
    pub service: name::Service,
    /// Idempotency key or request ID.
    pub text: SmolStr,
}

impl Key {
    /// Returns the hash by which keepers are ranked.
    pub fn hash(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for part in [self.organisation.as_str(), self.service.as_str(), &self.text] {
            // The length prefix distinguishes ("ab", "c") from ("a", "bc").
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.digest()
    }
}

/// Returns the members that store a parcel of the entry `leaving` in `zone`: two, in different zones other than `zone`.
///
/// A reclaim can take a whole zone, entries and endpoints together, so members of `zone` are the last choice. With too
/// few zones, both keepers may share a zone, and a fleet of one zone uses members of that zone.
pub fn keepers(key: &Key, members: &member::Table, zone: &name::Zone, leaving: &name::Entry) -> Vec<key::Entry> {
    let mut chosen: Vec<key::Entry> = best_per_zone(key, members, leaving)
        .into_iter()
        .filter(|(other, _)| other != zone)
        .map(|(_, entry)| entry)
        .take(KEEPERS_PER_PARCEL)
        .collect();
    let ranked = ranked(key, members, leaving);
    let outside = ranked.iter().filter(|entry| !is_in(members, **entry, zone));
    let inside = ranked.iter().filter(|entry| is_in(members, **entry, zone));
    for entry in outside.chain(inside) {
        if chosen.len() >= KEEPERS_PER_PARCEL {
            break;
        }
        if !chosen.contains(entry) {
            chosen.push(*entry);
        }
    }
    chosen
}

/// Returns the members to ask for a parcel, in order.
///
/// The highest-ranked member of each of the first three zones covers both keepers, whichever zone the leaving entry was
/// in. The highest-ranked members of the fleet follow, in a small fleet all of them, because members that joined or
/// left in the meantime may have changed the ranking.
pub fn candidates(key: &Key, members: &member::Table) -> Vec<key::Entry> {
    let no_exception = name::Entry::default();
    let mut order: Vec<key::Entry> = best_per_zone(key, members, &no_exception)
        .into_iter()
        .map(|(_, entry)| entry)
        .take(CANDIDATE_COUNT)
        .collect();
    let ranked = ranked(key, members, &no_exception);
    let further = if ranked.len() <= SMALL_FLEET_SIZE {
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

/// Returns the highest-ranked member of each zone, highest rank first.
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

/// Groups the keys of parcels by the keepers that they are sent to.
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
