//! This entry's turn to read the store, by what it knows of the other entries.

use core::time::Duration;

use bergamotshift_core::prelude::*;

use super::member::Members;
use super::member::Peer;
use crate::follow::Turn;
use crate::limits::Keeper;
use crate::limits::keeper;
use crate::limits::keeper::Candidate;

/// Time without a state from an entry after which it no longer reads the store for others.
const TURN_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Members {
    /// Returns this entry's turn to read the store.
    ///
    /// In a small fleet the entries that sent their state recently and reach the store read in the order of their names.
    /// In a large one an entry hears only some of the others recently, so dozens would consider themselves the first.
    /// There the keepers of the zones read, which exchange states each round, and their zones follow.
    pub fn turn(&self, now: Instant) -> Turn {
        if self.is_large() {
            return self.turn_in_zones(now);
        }
        let eligible = self
            .recent_states(now, TURN_TIMEOUT)
            .filter(|(_, state)| state.reaches_store);
        Turn::Reader(eligible.filter(|(entry, _)| **entry < self.own).count())
    }

    fn turn_in_zones(&self, now: Instant) -> Turn {
        let own = Candidate {
            entry: &self.own,
            core_share: self.core_share,
        };
        let local = self.candidates(now, &self.zone);
        let place = local.filter(|other| keeper::precedes(*other, own)).count();
        if place > 0 || self.is_starting(now) && self.keeping(now).keeper != Keeper::Own {
            let is_local = |peer: &&Peer| peer.is_in(&self.zone);
            let members = 1 + self.peers.values().filter(is_local).count();
            return Turn::Follower { place, members };
        }
        let reaches_store = |peer: &Peer| {
            let state = peer.last_state.as_ref().map(|(_, state)| state);
            state.is_none_or(|state| state.reaches_store)
        };
        let earlier = self.zones().into_iter().filter(|zone| **zone < self.zone);
        let keepers = self.keepers_of(now, earlier);
        Turn::Reader(keepers.filter(|(_, peer)| reaches_store(peer)).count())
    }
}
