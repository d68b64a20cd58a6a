//! Which other entries there are, and when each was heard.

use core::net::SocketAddr;
use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use super::message::Member;
use super::message::Stage;
use super::message::State;
use crate::limits::Keeper;
use crate::limits::keeper;
use crate::limits::keeper::Candidate;

/// How long an entry may be silent until it is forgotten. A VM that is replaced never comes back, one that is restarted
/// is back within seconds, and cuts of up to this time take nothing from those behind them.
const MEMORY: Duration = Duration::from_secs(20);

/// How long an entry that was named may be silent from the start until it is forgotten.
const UNHEARD: Duration = Duration::from_secs(8);

/// How often the holder of the duties is asked in a large fleet.
const HOLDER: Duration = Duration::from_secs(2);

/// The same for an entry that has something to say that cannot wait.
const URGENT: Duration = Duration::from_millis(200);

/// How long an entry may be silent, towards everybody, until another one keeps its zone. In a large fleet word of an entry
/// is a second and a half old at times.
const ALIVE: Duration = Duration::from_millis(2_500);

/// How long an entry may be silent until the ones behind it in rank do without it.
const RANKED: Duration = Duration::from_millis(1_500);

/// How long an entry that starts says all that it knows.
const YOUNG: Duration = Duration::from_secs(3);

/// How long after a failure an entry is left alone.
const PAUSE: Duration = Duration::from_millis(500);

/// The same at an entry that starts, and may have asked one that starts a moment later.
const YOUNG_PAUSE: Duration = Duration::from_millis(120);

/// One other entry.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Where it can be asked.
    pub address: SocketAddr,
    /// What it last said, and when.
    pub last_state: Option<(Instant, State)>,
    /// Its availability zone, when that is known.
    pub(super) zone: Option<name::Zone>,
    /// The part of a core that it may use, in thousandths.
    pub(super) core_share: u16,
    /// Whether it is about to end.
    pub(super) stops: bool,
    /// When it was last heard, by whomever.
    heard: Instant,
    /// When it was first named.
    since: Instant,
    /// When it was last asked.
    asked: Instant,
    /// Until when it is left alone, since it did not answer.
    paused: Instant,
    /// Until when it is not asked for its document, since it did not give it.
    pub(super) spared: Instant,
    /// When it last was silent: neither did it answer nor did its VM refuse the connection.
    pub(super) silent: Option<Instant>,
}

impl Peer {
    /// Returns whether it was heard within `span`.
    pub fn is_recent(&self, now: Instant, span: Duration) -> bool {
        self.last_state.as_ref().is_some_and(|(at, _)| now.since(*at) < span)
    }

    /// Returns whether it is left alone, since it did not answer just now.
    pub(super) fn is_paused(&self, now: Instant) -> bool {
        now < self.paused
    }

    /// Returns whether it was asked just now.
    pub(super) fn was_asked(&self, now: Instant) -> bool {
        self.asked > Instant::ZERO && now.since(self.asked) < PAUSE
    }

    /// Returns whether it is known to lie in an availability zone.
    pub(super) fn is_in(&self, zone: &name::Zone) -> bool {
        self.zone.as_ref() == Some(zone)
    }

    /// Returns it as one that may keep its zone, under its name.
    pub(super) const fn candidate<'a>(&self, entry: &'a name::Entry) -> Candidate<'a> {
        Candidate {
            entry,
            core_share: self.core_share,
        }
    }

    /// Returns whether anybody heard it lately.
    pub(super) fn is_alive(&self, now: Instant) -> bool {
        self.heard > Instant::ZERO && now.since(self.heard) < ALIVE
    }
}

/// An entry as the list of entries names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contact {
    /// The entry.
    pub entry: name::Entry,
    /// Where it can be asked.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: name::Zone,
    /// The part of a core that it may use, in thousandths.
    pub core_share: u16,
}

/// The other entries.
#[derive(Debug)]
pub struct Members {
    pub(super) own: name::Entry,
    pub(super) zone: name::Zone,
    pub(super) core_share: u16,
    pub(super) stops: bool,
    /// Whether the holder of the duties is to hear this entry at once.
    is_urgent: bool,
    /// When the process started; `None` when that is long ago.
    started: Option<Instant>,
    pub(super) peers: BTreeMap<name::Entry, Peer>,
}

impl Members {
    /// Makes a list without other entries.
    pub const fn new(own: name::Entry, zone: name::Zone, core_share: u16) -> Self {
        Self {
            own,
            zone,
            core_share,
            stops: false,
            is_urgent: false,
            started: None,
            peers: BTreeMap::new(),
        }
    }

    /// Notes that the list names an entry.
    pub fn add_contact(&mut self, now: Instant, listed: &Contact) {
        self.named(now, &listed.entry, listed.address);
        if let Some(peer) = self.peers.get_mut(&listed.entry)
            && peer.zone.is_none()
        {
            peer.zone = Some(listed.zone.clone());
            peer.core_share = listed.core_share;
        }
    }

    fn named(&mut self, now: Instant, entry: &name::Entry, address: SocketAddr) {
        if *entry == self.own {
            return;
        }
        let peer = self.peers.entry(entry.clone()).or_insert_with(|| Peer {
            address,
            last_state: None,
            zone: None,
            core_share: 0,
            stops: false,
            heard: Instant::ZERO,
            since: now,
            asked: Instant::ZERO,
            paused: Instant::ZERO,
            spared: Instant::ZERO,
            silent: None,
        });
        peer.address = address;
    }

    /// Notes what another entry knows of the entries.
    pub fn merge_members(&mut self, now: Instant, zones: &[name::Zone], members: &[Member]) {
        for named in members {
            self.named(now, &named.entry, named.address);
            let Some(peer) = self.peers.get_mut(&named.entry) else {
                continue;
            };
            let heard = now - Duration::from_millis(named.age_ms.into());
            if heard > peer.heard {
                peer.heard = heard;
                peer.stops = named.stops;
            }
            peer.zone = zones.get(usize::from(named.zone)).cloned().or_else(|| peer.zone.take());
            peer.core_share = named.core_share;
        }
    }

    /// Notes what an entry says of itself; returns whether it was not heard for long before.
    pub fn record_state(&mut self, now: Instant, state: State) -> bool {
        let entry = state.entry.clone();
        self.named(now, &entry, state.address);
        let Some(peer) = self.peers.get_mut(&entry) else {
            return false;
        };
        let fresh = !peer.is_recent(now, MEMORY);
        peer.zone = Some(state.zone.clone());
        peer.core_share = state.core_share;
        peer.stops = state.stage == Stage::Stops;
        peer.heard = now;
        peer.last_state = Some((now, state));
        peer.paused = Instant::ZERO;
        fresh
    }

    /// Notes that an entry did not answer, and whether it was silent rather than refused.
    pub fn record_failure(&mut self, now: Instant, entry: &name::Entry, is_silent: bool) {
        let pause = if self.is_young(now) { YOUNG_PAUSE } else { PAUSE };
        if let Some(peer) = self.peers.get_mut(entry) {
            peer.paused = now + pause;
            peer.silent = Some(now).filter(|_| is_silent).or(peer.silent);
        }
    }

    /// Returns whom to ask now: those heard longest ago, at most `most`.
    ///
    /// In a large fleet not every entry can be heard often. Requests stay in their zone there, so the entries of the own
    /// zone are asked first, and one of the others a round.
    ///
    /// The `holder` of the duties has to know what each entry counted, so it is asked every other second. The keepers of
    /// zones ask one another each round: they share the limits out.
    pub fn due(&mut self, now: Instant, most: usize, holder: Option<&name::Entry>) -> Vec<(name::Entry, SocketAddr)> {
        let is_large = self.is_large();
        let mut due = Vec::new();
        let keeper = self.keeping(now).keeper;
        if keeper == Keeper::Own {
            due = self.other_keepers(now);
            for (entry, _) in &due {
                if let Some(peer) = self.peers.get_mut(entry) {
                    peer.asked = now;
                }
            }
        }
        if is_large
            && let Some(holder) = holder
            && let Some(peer) = self.peers.get_mut(holder)
            && now.since(peer.asked) >= if self.is_urgent { URGENT } else { HOLDER }
        {
            peer.asked = now;
            due.push((holder.clone(), peer.address));
        }
        let likely = if keeper == Keeper::Unknown {
            self.likely_keepers(now)
        } else {
            Vec::new()
        };
        let zone = self.zone.clone();
        let is_near = |peer: &Peer| peer.is_in(&zone);
        let mut open: Vec<_> = self.peers.iter_mut().filter(|(_, peer)| !peer.is_paused(now)).collect();
        // Whoever asked this entry lately has been heard already.
        open.sort_by_key(|(_, peer)| {
            peer.asked
                .max(peer.last_state.as_ref().map_or(Instant::ZERO, |(at, _)| *at))
        });
        if is_large {
            let (mut near, far): (Vec<_>, Vec<_>) = open.into_iter().partition(|(_, peer)| is_near(peer));
            near.sort_by_key(|(entry, _)| !likely.contains(entry));
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
        self.peers.len() >= keeper::MAX_WITHOUT_KEEPER
    }

    /// Notes whether the holder of the duties is to hear this entry at once.
    pub const fn set_urgent(&mut self, is_urgent: bool) {
        self.is_urgent = is_urgent;
    }

    /// Notes that this entry is about to end.
    pub const fn set_stopping(&mut self) {
        self.stops = true;
    }

    /// Forgets entries that are gone for good, and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<name::Entry> {
        let gone = |peer: &Peer| match &peer.last_state {
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
    pub fn recent_states(&self, now: Instant, span: Duration) -> impl Iterator<Item = (&name::Entry, &State)> {
        let heard = self.peers.iter().filter(move |(_, peer)| peer.is_recent(now, span));
        heard.filter_map(|(entry, peer)| peer.last_state.as_ref().map(|(_, state)| (entry, state)))
    }

    /// Returns how many of the entries that were heard lately, and that reach the store, come before this one.
    pub fn rank(&self, now: Instant) -> usize {
        let able = self.recent_states(now, RANKED).filter(|(_, state)| state.reaches_store);
        able.filter(|(entry, _)| **entry < self.own).count()
    }

    /// Returns the other entries that were heard, as they are told to others, and the zones that they lie in.
    ///
    /// Failure: entries name one that is gone for good to each other, and each that forgets it is told of it anew.
    /// Symptom: its share of each limit stays unused for good. Only who was heard is named.
    pub fn member_list(&self, now: Instant) -> (Vec<name::Zone>, Vec<Member>) {
        let zones: Vec<name::Zone> = self.zones().into_iter().cloned().collect();
        let keepers = self.other_keepers(now);
        let is_whole = !self.is_large() || self.is_young(now) || self.tells_all(now);
        let counts = |entry: &name::Entry, peer: &Peer| {
            is_whole || peer.is_in(&self.zone) || keepers.iter().any(|(keeper, _)| keeper == entry)
        };
        let heard = self
            .peers
            .iter()
            .filter(|(entry, peer)| peer.last_state.is_some() && counts(entry, peer));
        let names = heard.map(|(entry, peer)| Member {
            entry: entry.clone(),
            address: peer.address,
            zone: zones
                .iter()
                .position(|zone| Some(zone) == peer.zone.as_ref())
                .and_then(|place| u8::try_from(place).ok())
                .unwrap_or(u8::MAX),
            core_share: peer.core_share,
            age_ms: u16::try_from(now.since(peer.heard).as_millis()).unwrap_or(u16::MAX),
            stops: peer.stops,
        });
        let names = names.collect();
        (zones, names)
    }

    /// Returns whether all entries are named at this moment, which is so for one round in sixteen.
    ///
    /// Failure: each of hundreds of entries names all others to whomever it asks. Symptom: the entries' words to each other
    /// fill the links of small VMs (600 kB a second at 300 entries). What is needed at once is who is alive in the own zone
    /// and who keeps the others; the rest may be heard some seconds late.
    fn tells_all(&self, now: Instant) -> bool {
        const SPAN: u64 = 4_000;
        const ROUND: u64 = 250;
        // Not all at the same moment.
        let offset = xxh3_64(self.own.as_str().as_bytes()) % SPAN;
        (now.as_micros() / 1_000 + offset) % SPAN < ROUND
    }

    /// Notes that the process starts.
    pub const fn set_started(&mut self, now: Instant) {
        self.started = Some(now);
    }

    /// Returns whether the process started just now. It says all that it knows then, which is little: when all entries start
    /// at once, each has to hear who keeps the other zones.
    pub(super) fn is_young(&self, now: Instant) -> bool {
        self.started.is_some_and(|started| now.since(started) < YOUNG)
    }

    /// Returns whether an entry is told in brief: in a large fleet, one of another zone that does not keep it.
    pub fn is_brief(&self, now: Instant, entry: &name::Entry) -> bool {
        let is_near = |peer: &Peer| peer.is_in(&self.zone);
        if !self.is_large() || self.is_young(now) || self.peers.get(entry).is_some_and(is_near) {
            return false;
        }
        !self.other_keepers(now).iter().any(|(keeper, _)| keeper == entry)
    }

    /// Returns how many entries there are, this one included.
    pub fn count(&self) -> usize {
        self.peers.len() + 1
    }
}
