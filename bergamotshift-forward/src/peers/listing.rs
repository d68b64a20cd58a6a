//! Membership lists that entries send to each other.

use core::cmp::Reverse;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use super::member::Members;
use super::member::Peer;
use super::message::Member;
use crate::limits::keeper;

/// Maximum number of entries of its own zone that an entry of a large fleet lists in a message, without keepers.
const MAX_LISTED: usize = 48;

/// Maximum number of other entries that it lists now and then.
const MAX_OTHERS_LISTED: usize = 64;

/// Length of a round of exchanges, in milliseconds.
const ROUND_MS: u64 = 250;

/// Returns the part of all known entries that is listed in this round; the parts follow each other.
fn window<'a>(now: Instant, known: &[(&'a name::Entry, &'a Peer)]) -> Vec<(&'a name::Entry, &'a Peer)> {
    let round = (now.as_micros() / 1_000 / ROUND_MS) as usize;
    // An entry that lists others in each sixteenth round only would always list the same ones of 512.
    let part = round + round / 16;
    let start = (part * MAX_OTHERS_LISTED) % known.len().max(1);
    let from_start = known.iter().cycle().skip(start);
    from_start.take(MAX_OTHERS_LISTED.min(known.len())).copied().collect()
}

impl Members {
    /// Returns the zones and the membership list that this entry sends to others.
    ///
    /// The list contains only entries that sent their state to this one. Otherwise entries would keep telling each
    /// other of one that is gone for good, and its share of each limit would stay unused.
    pub fn member_list(&self, now: Instant) -> (Vec<name::Zone>, Vec<Member>) {
        let zones: Vec<name::Zone> = self.zones().into_iter().cloned().collect();
        let members = self.listed(now).into_iter().map(|(entry, peer)| Member {
            entry: entry.clone(),
            address: peer.address,
            zone: zones
                .iter()
                .position(|zone| Some(zone) == peer.zone.as_ref())
                .and_then(|place| u8::try_from(place).ok())
                .unwrap_or(u8::MAX),
            core_share: peer.core_share,
            age_ms: u16::try_from(now.since(peer.last_heard).as_millis()).unwrap_or(u16::MAX),
            is_stopping: peer.is_stopping,
        });
        let members = members.collect();
        (zones, members)
    }

    /// Returns the entries of the membership list: all of a small fleet, and a bounded number of a large one.
    ///
    /// With the whole list in every message, the exchanges of 300 entries took 600 kB a second and filled the links of
    /// small VMs. What is needed at once are the keepers, and which entries of this zone are alive. Each entry passes on
    /// those that it heard last, so news of any of them reaches its zone within a few rounds, however large the zone is.
    fn listed(&self, now: Instant) -> BTreeMap<&name::Entry, &Peer> {
        let known = self.peers.iter().filter(|(_, peer)| peer.last_state.is_some());
        if !self.is_large() {
            return known.collect();
        }
        let mut local: Vec<_> = known.clone().filter(|(_, peer)| peer.is_in(&self.zone)).collect();
        local.sort_by_key(|(_, peer)| Reverse(peer.last_heard));
        local.truncate(MAX_LISTED);
        let own_zone = keeper::top_two(self.candidates(now, &self.zone));
        let other_zones = self.zones().into_iter().filter(|zone| **zone != self.zone);
        let keepers = own_zone.into_iter().flatten();
        let keepers = keepers.filter_map(|entry| self.peers.get_key_value(entry));
        let mut listed: BTreeMap<_, _> = local.into_iter().chain(keepers).collect();
        listed.extend(self.keepers_of(now, other_zones));
        if self.is_starting(now) || self.lists_others(now) {
            let others: Vec<_> = known.collect();
            listed.extend(window(now, &others));
        }
        listed
    }

    /// Returns whether this round's membership list also contains entries of which no news is needed at once, as one
    /// round's in sixteen does.
    fn lists_others(&self, now: Instant) -> bool {
        const PERIOD_MS: u64 = 4_000;
        // Spreads the entries' longer lists over the period.
        let offset = xxh3_64(self.own.as_str().as_bytes()) % PERIOD_MS;
        (now.as_micros() / 1_000 + offset) % PERIOD_MS < ROUND_MS
    }
}
