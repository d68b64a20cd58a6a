//! The other entries of the fleet, and the schedule by which this entry contacts them.

use core::net::SocketAddr;
use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;

use super::message::Echo;
use super::message::Member;
use super::message::Stage;
use super::message::State;
use super::process::Process;
use crate::limits::Keeper;
use crate::limits::keeper;
use crate::limits::keeper::Candidate;

/// Time without a state from an entry after which it is removed, unless the stored list shows that it lives. A VM that is
/// replaced never comes back, and one that is restarted is back within seconds. It is longer than a row of a small fleet
/// counts.
const EXPIRY_TIMEOUT: Duration = Duration::from_secs(20);

/// Time without any news of an entry of a large fleet after which it is removed. An entry of another zone is heard seldom,
/// and nothing is divided among all entries there.
const NEWS_TIMEOUT: Duration = Duration::from_mins(1);

/// Time after which an entry that has never sent its state is removed.
const FIRST_STATE_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval at which the holder of the duties is contacted in a large fleet.
const HOLDER_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which an entry with urgent news contacts the holder of the duties.
const URGENT_HOLDER_INTERVAL: Duration = Duration::from_millis(200);

/// Time without a message from an entry to any other after which it counts as dead, and another entry keeps its zone.
/// In a large fleet this information is up to a second and a half old.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time after the start during which an entry sends all that it knows.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);

/// Maximum time by which a message of an ended process arrives late. The order of two processes is known only by which one
/// was heard first, so a wrong order is not believed for longer.
const MAX_LATENESS: Duration = Duration::from_secs(3);

/// Time after a process was first heard during which it is told of removed endpoints. It covers replies that are lost, and
/// removals that this entry learns of a moment later than the other one.
const JOINING_PERIOD: Duration = Duration::from_secs(5);

/// Backoff after a failed call to an entry.
const BACKOFF: Duration = Duration::from_millis(500);

/// Backoff while this entry starts: the other one may start a moment later.
const STARTUP_BACKOFF: Duration = Duration::from_millis(120);

/// Another entry of the fleet.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The address at which other entries reach it.
    pub address: SocketAddr,
    /// The last state that it sent, and when it arrived.
    pub last_state: Option<(Instant, State)>,
    /// The time at which its last process sent the last message, by its clock, and when that arrived.
    last_sent: Option<(Instant, Instant)>,
    /// The incarnation of its process before the last one, and the time at which the last one was first heard.
    former: Option<(u64, Instant)>,
    /// The time at which its process was first heard.
    process_heard: Instant,
    /// Its availability zone, if known.
    pub(super) zone: Option<name::Zone>,
    /// The share of a CPU core that it may use, in thousandths.
    pub(super) core_share: u16,
    /// Whether it is shutting down.
    pub(super) is_stopping: bool,
    /// The last time at which any entry received a message from it.
    pub(super) last_heard: Instant,
    /// The time at which this entry learned of it.
    added: Instant,
    /// The last time at which the stored list contained it.
    listed: Option<Instant>,
    /// The last time at which this entry contacted it.
    last_contact: Instant,
    /// The end of the backoff after a failed call.
    backoff_until: Instant,
    /// The time before which it is not asked for its document again.
    pub(super) download_deferred_until: Instant,
    /// The last time at which a call timed out: the entry did not reply, and its VM did not refuse the connection.
    pub(super) last_timeout: Option<Instant>,
}

impl Peer {
    /// Returns whether its last state arrived within `span`.
    pub fn is_recent(&self, now: Instant, span: Duration) -> bool {
        self.last_state.as_ref().is_some_and(|(at, _)| now.since(*at) < span)
    }

    /// Returns whether a backoff after a failed call is running.
    pub(super) fn is_backing_off(&self, now: Instant) -> bool {
        now < self.backoff_until
    }

    /// Returns whether this entry contacted it within the time of a backoff.
    pub(super) fn was_contacted(&self, now: Instant) -> bool {
        self.last_contact > Instant::ZERO && now.since(self.last_contact) < BACKOFF
    }

    /// Returns whether it is known to be in an availability zone.
    pub(super) fn is_in(&self, zone: &name::Zone) -> bool {
        self.zone.as_ref() == Some(zone)
    }

    /// Returns it as a candidate for the keeper of its zone.
    pub(super) const fn candidate<'a>(&self, entry: &'a name::Entry) -> Candidate<'a> {
        Candidate {
            entry,
            core_share: self.core_share,
        }
    }

    /// Returns whether any entry received a message from it recently.
    pub(super) fn is_alive(&self, now: Instant) -> bool {
        self.last_heard > Instant::ZERO && now.since(self.last_heard) < LIVENESS_TIMEOUT
    }
}

/// Contact details of an entry, from the stored list of entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contact {
    /// The entry.
    pub entry: name::Entry,
    /// The address at which other entries reach it.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: name::Zone,
    /// The share of a CPU core that it may use, in thousandths.
    pub core_share: u16,
}

/// Membership list of the fleet, as this entry knows it.
#[derive(Debug)]
pub struct Members {
    pub(super) own: name::Entry,
    pub(super) zone: name::Zone,
    pub(super) core_share: u16,
    pub(super) is_stopping: bool,
    /// Whether this entry has urgent news for the holder of the duties.
    is_urgent: bool,
    /// The time at which the process started; `None` until it is set.
    started: Option<Instant>,
    /// The time at which the stored list was asked for that was read last; `None` before the first read.
    list_read: Option<Instant>,
    pub(super) peers: BTreeMap<name::Entry, Peer>,
    /// The time at which the store was found restored, and the entries that were known by then.
    pub(super) before_restore: Option<(Instant, BTreeSet<name::Entry>)>,
}

impl Members {
    /// Creates a list without other entries.
    pub const fn new(own: name::Entry, zone: name::Zone, core_share: u16) -> Self {
        Self {
            own,
            zone,
            core_share,
            is_stopping: false,
            is_urgent: false,
            started: None,
            list_read: None,
            peers: BTreeMap::new(),
            before_restore: None,
        }
    }

    /// Adds an entry of the stored list, or updates its address. The zone and the core share that the list gives apply
    /// only while no entry has sent them.
    pub fn add_contact(&mut self, now: Instant, contact: &Contact) {
        self.upsert(now, &contact.entry, contact.address);
        let Some(peer) = self.peers.get_mut(&contact.entry) else {
            return;
        };
        peer.listed = Some(now);
        if peer.zone.is_none() {
            peer.zone = Some(contact.zone.clone());
            peer.core_share = contact.core_share;
        }
    }

    /// Records that the stored list, asked for at `asked`, was read and its entries were added.
    pub fn set_list_read(&mut self, asked: Instant) {
        self.list_read = Some(asked);
    }

    /// Returns whether the stored list is needed to tell whether an entry of a small fleet is gone that is not heard.
    pub fn needs_list(&self, now: Instant) -> bool {
        let is_silent = |peer: &Peer| !peer.is_recent(now, FIRST_STATE_TIMEOUT);
        !self.is_large() && self.peers.values().any(is_silent)
    }

    fn upsert(&mut self, now: Instant, entry: &name::Entry, address: SocketAddr) {
        if *entry == self.own {
            return;
        }
        let peer = self.peers.entry(entry.clone()).or_insert_with(|| Peer {
            address,
            last_state: None,
            last_sent: None,
            former: None,
            process_heard: Instant::ZERO,
            zone: None,
            core_share: 0,
            is_stopping: false,
            last_heard: Instant::ZERO,
            added: now,
            listed: None,
            last_contact: Instant::ZERO,
            backoff_until: Instant::ZERO,
            download_deferred_until: Instant::ZERO,
            last_timeout: None,
        });
        peer.address = address;
    }

    /// Merges the membership list of another entry.
    pub fn merge_members(&mut self, now: Instant, zones: &[name::Zone], members: &[Member]) {
        for member in members {
            self.upsert(now, &member.entry, member.address);
            let Some(peer) = self.peers.get_mut(&member.entry) else {
                continue;
            };
            let heard_at = now - Duration::from_millis(member.age_ms.into());
            if heard_at > peer.last_heard {
                peer.last_heard = heard_at;
                peer.is_stopping = member.is_stopping;
            }
            peer.zone = zones
                .get(usize::from(member.zone))
                .cloned()
                .or_else(|| peer.zone.take());
            peer.core_share = member.core_share;
        }
    }

    /// Returns what this entry returns to another one, so that its message proves its age there.
    pub fn echo(&self, now: Instant, entry: &name::Entry) -> Option<Echo> {
        let peer = self.peers.get(entry)?;
        let (sent, arrived) = peer.last_sent?;
        let (_, state) = peer.last_state.as_ref()?;
        Some(Echo {
            incarnation: state.incarnation,
            sent,
            held_ms: u32::try_from(now.since(arrived).as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Records the time at which an entry sent the state that was recorded last, by its clock.
    pub fn record_sent(&mut self, now: Instant, entry: &name::Entry, sent: Instant) {
        if let Some(peer) = self.peers.get_mut(entry) {
            peer.last_sent = Some((sent, now));
        }
    }

    /// Records an entry's state, and returns whether it is the first one or the first after the entry would have
    /// expired.
    pub fn record_state(&mut self, now: Instant, state: State) -> bool {
        let entry = state.entry.clone();
        self.upsert(now, &entry, state.address);
        let Some(peer) = self.peers.get_mut(&entry) else {
            return false;
        };
        let is_new = !peer.is_recent(now, EXPIRY_TIMEOUT);
        peer.zone = Some(state.zone.clone());
        peer.core_share = state.core_share;
        peer.is_stopping = state.stage == Stage::Stops;
        peer.last_heard = now;
        let last = peer.last_state.as_ref().map(|(_, last)| last.incarnation);
        if last != Some(state.incarnation) {
            peer.process_heard = now;
        }
        let former = last.filter(|last| *last != state.incarnation);
        peer.former = former.map(|former| (former, now)).or(peer.former);
        peer.last_state = Some((now, state));
        peer.backoff_until = Instant::ZERO;
        is_new
    }

    /// Returns whether an entry's process was first heard a moment ago, so that it may not know what the others do.
    pub fn is_joining(&self, now: Instant, entry: &name::Entry) -> bool {
        let peer = self.peers.get(entry);
        peer.is_some_and(|peer| peer.last_state.is_some() && now.since(peer.process_heard) < JOINING_PERIOD)
    }

    /// Returns whether a process has ended, as its entry started again a moment ago.
    pub fn is_superseded(&self, now: Instant, process: &Process) -> bool {
        let former = self.peers.get(&process.entry).and_then(|peer| peer.former);
        former.is_some_and(|(former, since)| former == process.incarnation && now.since(since) < MAX_LATENESS)
    }

    /// Records a failed call to an entry, and whether it timed out rather than being refused.
    pub fn record_failure(&mut self, now: Instant, entry: &name::Entry, timed_out: bool) {
        let backoff = if self.is_starting(now) {
            STARTUP_BACKOFF
        } else {
            BACKOFF
        };
        if let Some(peer) = self.peers.get_mut(entry) {
            peer.backoff_until = now + backoff;
            peer.last_timeout = Some(now).filter(|_| timed_out).or(peer.last_timeout);
        }
    }

    /// Returns the entries to contact in this round: at most `limit` of those whose last exchange is longest ago. In a
    /// large fleet the `holder` of the duties is added when it is due, and the keeper of a zone adds the keepers of the
    /// other zones.
    ///
    /// In a large fleet not every entry can be contacted often. Requests stay in their zone there, so the entries of
    /// this zone come first, and each round leaves room for one of another zone.
    ///
    /// The holder of the duties needs the counters of every entry, so it is contacted every other second. The keepers
    /// of zones contact one another each round, because they divide the limits among the zones.
    ///
    /// Entries that are `ahead` of this one come first, since their replies contain what this one lacks.
    pub fn due(
        &mut self,
        now: Instant,
        limit: usize,
        holder: Option<&name::Entry>,
        ahead: &BTreeSet<name::Entry>,
    ) -> Vec<(name::Entry, SocketAddr)> {
        let is_large = self.is_large();
        let mut due = Vec::new();
        let keeper = self.keeping(now).keeper;
        if keeper == Keeper::Own {
            due = self.other_keepers(now);
            for (entry, _) in &due {
                if let Some(peer) = self.peers.get_mut(entry) {
                    peer.last_contact = now;
                }
            }
        }
        if is_large
            && let Some(holder) = holder
            && let Some(peer) = self.peers.get_mut(holder)
            && now.since(peer.last_contact)
                >= if self.is_urgent {
                    URGENT_HOLDER_INTERVAL
                } else {
                    HOLDER_INTERVAL
                }
        {
            peer.last_contact = now;
            due.push((holder.clone(), peer.address));
        }
        let likely_keepers = if keeper == Keeper::Unknown {
            self.likely_keepers(now)
        } else {
            Vec::new()
        };
        let zone = self.zone.clone();
        let is_local = |peer: &Peer| peer.is_in(&zone);
        let mut available: Vec<_> = self
            .peers
            .iter_mut()
            .filter(|(_, peer)| !peer.is_backing_off(now))
            .collect();
        // An entry that contacted this one recently has already sent its state.
        available.sort_by_key(|(entry, peer)| {
            let last_state = peer.last_state.as_ref().map_or(Instant::ZERO, |(at, _)| *at);
            (!ahead.contains(*entry), peer.last_contact.max(last_state))
        });
        if is_large {
            let (mut local, remote): (Vec<_>, Vec<_>) = available.into_iter().partition(|(_, peer)| is_local(peer));
            local.sort_by_key(|(entry, _)| !likely_keepers.contains(entry));
            local.truncate(limit.saturating_sub(1));
            let left = limit - local.len();
            local.extend(remote.into_iter().take(left));
            available = local;
        }
        available.truncate(limit);
        let contact = |(entry, peer): (&name::Entry, &mut Peer)| {
            peer.last_contact = now;
            (entry.clone(), peer.address)
        };
        due.extend(available.into_iter().map(contact));
        due
    }

    /// Returns whether the fleet is too large for frequent exchanges between all entries.
    pub fn is_large(&self) -> bool {
        self.peers.len() >= keeper::MAX_WITHOUT_KEEPER
    }

    /// Sets whether this entry has urgent news for the holder of the duties.
    pub const fn set_urgent(&mut self, is_urgent: bool) {
        self.is_urgent = is_urgent;
    }

    /// Marks this entry as shutting down.
    pub const fn set_stopping(&mut self) {
        self.is_stopping = true;
    }

    /// Removes entries that are gone for good, and returns their names.
    ///
    /// Limits are divided among the entries of a small fleet. Silence does not prove that an entry is gone, as this one may
    /// be cut off from it or have stood still, and both would use its share. An entry that writes its row in the stored
    /// list lives; before it is removed, a list of after its silence has to lack it. While the list cannot be read, nobody
    /// is removed.
    pub fn expire(&mut self, now: Instant) -> Vec<name::Entry> {
        let is_large = self.is_large();
        let list_read = self.list_read;
        let is_unlisted = |peer: &Peer, since: Instant| {
            list_read.is_none_or(|read| is_large || read >= since && peer.listed.is_none_or(|listed| listed < read))
        };
        let is_gone = |peer: &Peer| match &peer.last_state {
            _ if is_large && peer.last_heard > Instant::ZERO => now.since(peer.last_heard) >= NEWS_TIMEOUT,
            Some((at, _)) => now.since(*at) >= EXPIRY_TIMEOUT && is_unlisted(peer, *at + EXPIRY_TIMEOUT),
            None => now.since(peer.added) >= FIRST_STATE_TIMEOUT && is_unlisted(peer, Instant::ZERO),
        };
        let names: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| is_gone(peer))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &names {
            self.peers.remove(name);
        }
        names
    }

    /// Returns the entries whose last state arrived within `span`, with that state.
    pub fn recent_states(&self, now: Instant, span: Duration) -> impl Iterator<Item = (&name::Entry, &State)> {
        let recent = self.peers.iter().filter(move |(_, peer)| peer.is_recent(now, span));
        recent.filter_map(|(entry, peer)| peer.last_state.as_ref().map(|(_, state)| (entry, state)))
    }

    /// Sets the time at which the process started.
    pub const fn set_started(&mut self, now: Instant) {
        self.started = Some(now);
    }

    /// Returns whether the process started just now. It then sends all that it knows, which is little: when all entries
    /// start at once, each has to learn the keepers of the other zones.
    pub(super) fn is_starting(&self, now: Instant) -> bool {
        self.started.is_some_and(|started| now.since(started) < STARTUP_PERIOD)
    }

    /// Returns whether an entry is sent a brief state: in a large fleet, an entry of another zone that is not its
    /// keeper.
    pub fn is_brief(&self, now: Instant, entry: &name::Entry) -> bool {
        let is_local = |peer: &Peer| peer.is_in(&self.zone);
        if !self.is_large() || self.is_starting(now) || self.peers.get(entry).is_some_and(is_local) {
            return false;
        }
        !self.other_keepers(now).iter().any(|(keeper, _)| keeper == entry)
    }

    /// Returns the number of entries, including this one.
    pub fn count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the number of entries whose names are before this one's, and the number of all entries.
    pub fn position(&self) -> (usize, usize) {
        let before = self.peers.keys().filter(|entry| **entry < self.own).count();
        (before, self.count())
    }
}
