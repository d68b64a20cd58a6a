//! Which other entries there are, and when each was heard.

use core::net::SocketAddr;
use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;

use super::message::State;
use crate::limits::Keeper;
use crate::limits::keeper;

/// How long an entry may be silent until it is forgotten. A VM that is replaced never comes back, one that is restarted
/// is back within seconds, and cuts of up to this time take nothing from those behind them.
const MEMORY: Duration = Duration::from_secs(20);

/// How long an entry that was named may be silent from the start until it is forgotten.
const UNHEARD: Duration = Duration::from_secs(8);

/// How often the holder of the duties is asked in a large fleet.
const HOLDER: Duration = Duration::from_secs(2);

/// How long an entry must have been known until it keeps accounts, so that the others know it too.
const SETTLED: Duration = Duration::from_secs(3);

/// How long an entry may be silent until the ones behind it in rank do without it.
const RANKED: Duration = Duration::from_millis(1_500);

/// How long after a failure an entry is left alone.
const PAUSE: Duration = Duration::from_millis(500);

/// One other entry.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Where it can be asked.
    pub address: SocketAddr,
    /// What it last said, and when.
    pub said: Option<(Instant, State)>,
    /// When it was first named.
    since: Instant,
    /// When it was last asked.
    asked: Instant,
    /// When it last did not answer.
    failed: Option<Instant>,
}

impl Peer {
    /// Returns whether it was heard within `span`.
    pub fn was_heard(&self, now: Instant, span: Duration) -> bool {
        self.said.as_ref().is_some_and(|(at, _)| now.since(*at) < span)
    }
}

/// The other entries.
#[derive(Debug)]
pub struct Members {
    own: name::Entry,
    zone: name::Zone,
    peers: BTreeMap<name::Entry, Peer>,
}

impl Members {
    /// Makes a list without other entries.
    pub const fn new(own: name::Entry, zone: name::Zone) -> Self {
        Self {
            own,
            zone,
            peers: BTreeMap::new(),
        }
    }

    /// Notes that somebody names an entry.
    pub fn named(&mut self, now: Instant, entry: &name::Entry, address: SocketAddr) {
        if *entry == self.own {
            return;
        }
        let peer = self.peers.entry(entry.clone()).or_insert_with(|| Peer {
            address,
            said: None,
            since: now,
            asked: Instant::ZERO,
            failed: None,
        });
        peer.address = address;
    }

    /// Notes what an entry says of itself; returns whether it was not heard for long before.
    pub fn heard_of(&mut self, now: Instant, state: State) -> bool {
        let entry = state.entry.clone();
        self.named(now, &entry, state.address);
        let Some(peer) = self.peers.get_mut(&entry) else {
            return false;
        };
        let fresh = !peer.was_heard(now, MEMORY);
        peer.said = Some((now, state));
        peer.failed = None;
        fresh
    }

    /// Notes that an entry did not answer.
    pub fn failed(&mut self, now: Instant, entry: &name::Entry) {
        if let Some(peer) = self.peers.get_mut(entry) {
            peer.failed = Some(now);
        }
    }

    /// Returns whom to ask now: those heard longest ago, at most `most`.
    ///
    /// In a large fleet not every entry can be heard often. Requests stay in their zone there, so the entries of the own
    /// zone are asked first, and one of the others a round.
    ///
    /// The `holder` of the duties has to know what each entry counted, so it is asked every other second.
    pub fn due(&mut self, now: Instant, most: usize, holder: Option<&name::Entry>) -> Vec<(name::Entry, SocketAddr)> {
        let is_large = self.is_large();
        let mut due = Vec::new();
        if is_large
            && let Some(holder) = holder
            && let Some(peer) = self.peers.get_mut(holder)
            && now.since(peer.asked) >= HOLDER
        {
            peer.asked = now;
            due.push((holder.clone(), peer.address));
        }
        let zone = self.zone.clone();
        let is_near = |peer: &Peer| peer.said.as_ref().is_some_and(|(_, state)| state.zone == zone);
        let is_paused = |peer: &Peer| peer.failed.is_some_and(|failed| now.since(failed) < PAUSE);
        let mut open: Vec<_> = self.peers.iter_mut().filter(|(_, peer)| !is_paused(peer)).collect();
        // Whoever asked this entry lately has been heard already.
        open.sort_by_key(|(_, peer)| peer.asked.max(peer.said.as_ref().map_or(Instant::ZERO, |(at, _)| *at)));
        if is_large {
            let (mut near, far): (Vec<_>, Vec<_>) = open.into_iter().partition(|(_, peer)| is_near(peer));
            near.truncate(most.saturating_sub(1));
            let left = most - near.len();
            near.extend(far.into_iter().take(left));
            open = near;
        }
        open.truncate(most);
        let ask = |(entry, peer): (&name::Entry, &mut Peer)| {
            peer.asked = now;
            (entry.clone(), peer.address)
        };
        due.extend(open.into_iter().map(ask));
        due
    }

    /// Returns whether the entries are too many to be heard often each.
    pub fn is_large(&self) -> bool {
        self.peers.len() >= keeper::SMALL
    }

    /// Returns who keeps an organisation's account.
    ///
    /// An entry that does not answer keeps it on, so that two halves of the fleet never both give out a limit; only when
    /// it is forgotten does another one follow.
    pub fn keeper(&self, now: Instant, organisation: &name::Organisation) -> Keeper {
        if !self.is_large() {
            return Keeper::Nobody;
        }
        let settled = self.peers.iter().filter(|(_, peer)| now.since(peer.since) >= SETTLED);
        let entries = settled.map(|(entry, _)| entry).chain([&self.own]);
        match keeper::keeper(organisation, entries) {
            Some(entry) if *entry == self.own => Keeper::Own,
            Some(entry) => self
                .peers
                .get(entry)
                .map_or(Keeper::Nobody, |peer| Keeper::Other(peer.address)),
            None => Keeper::Nobody,
        }
    }

    /// Forgets entries that are gone for good, and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<name::Entry> {
        let gone = |peer: &Peer| match &peer.said {
            Some((at, _)) => now.since(*at) >= MEMORY,
            None => now.since(peer.since) >= UNHEARD,
        };
        let names: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| gone(peer))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &names {
            self.peers.remove(name);
        }
        names
    }

    /// Returns the entries heard within `span`, with what they last said.
    pub fn heard(&self, now: Instant, span: Duration) -> impl Iterator<Item = (&name::Entry, &State)> {
        let heard = self.peers.iter().filter(move |(_, peer)| peer.was_heard(now, span));
        heard.filter_map(|(entry, peer)| peer.said.as_ref().map(|(_, state)| (entry, state)))
    }

    /// Returns how many of the entries that were heard lately, and that reach the store, come before this one.
    pub fn rank(&self, now: Instant) -> usize {
        let able = self.heard(now, RANKED).filter(|(_, state)| state.reaches_store);
        able.filter(|(entry, _)| **entry < self.own).count()
    }

    /// Returns the other entries that were heard, with their addresses.
    ///
    /// Failure: entries name one that is gone for good to each other, and each that forgets it is told of it anew.
    /// Symptom: its share of each limit stays unused for good. Only who was heard is named.
    pub fn addresses(&self) -> Vec<(name::Entry, SocketAddr)> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.said.is_some())
            .map(|(entry, peer)| (entry.clone(), peer.address))
            .collect()
    }

    /// Returns how many entries there are, this one included.
    pub fn count(&self) -> usize {
        self.peers.len() + 1
    }
}
