//! An entry's knowledge of one zone.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::clock::Instant;

use super::Heartbeat;
use super::Reach;
use crate::load;
use crate::tag;

/// An entry's knowledge of one zone, its own included.
#[derive(Clone, Debug)]
pub struct View {
    /// Term by which the zone's speakers are chosen.
    pub term: u32,
    /// Time at which an entry of the zone last answered a probe of this entry.
    pub last_contact: Option<Instant>,
    /// Consecutive probes of this entry that the zone did not answer.
    pub probe_failures: u32,
    /// Time at which the last update about the zone arrived, directly or relayed.
    pub last_update: Instant,
    heartbeats: BTreeMap<tag::Short, Received>,
}

#[derive(Clone, Debug)]
struct Received {
    sequence: u16,
    at: Instant,
    lost: Vec<tag::Short>,
}

impl View {
    /// Creates a view of a zone that was first seen at `now`.
    pub const fn new(now: Instant) -> Self {
        Self {
            term: 0,
            last_contact: None,
            probe_failures: 0,
            last_update: now,
            heartbeats: BTreeMap::new(),
        }
    }

    /// Merges a heartbeat and returns whether it is new.
    pub fn merge(&mut self, now: Instant, heartbeat: &Heartbeat) -> bool {
        let is_new = self
            .heartbeats
            .get(&heartbeat.speaker)
            .is_none_or(|received| load::is_newer(heartbeat.sequence, received.sequence));
        if is_new {
            let received = Received {
                sequence: heartbeat.sequence,
                at: now,
                lost: heartbeat.lost.clone(),
            };
            self.heartbeats.insert(heartbeat.speaker, received);
            self.last_update = now;
        }
        is_new
    }

    /// Removes heartbeats older than `age`.
    pub fn expire(&mut self, now: Instant, age: Duration) {
        self.heartbeats.retain(|_, received| now.since(received.at) < age);
    }

    /// Returns whether every speaker of this zone with a recent heartbeat reports `other` as lost.
    ///
    /// One speaker that still reaches it is enough for updates to pass, so all of them have to agree.
    pub fn all_report_lost(&self, other: tag::Short) -> bool {
        !self.heartbeats.is_empty() && self.heartbeats.values().all(|received| received.lost.contains(&other))
    }

    /// Returns how the zone is reached; `is_lost_to_own_zone` is true when all speakers of this entry's zone report it
    /// lost.
    pub fn reach(&self, now: Instant, is_lost_to_own_zone: bool, silence_timeout: Duration) -> Reach {
        if now.since(self.last_update) >= silence_timeout {
            Reach::Lost
        } else if is_lost_to_own_zone {
            Reach::Relayed
        } else {
            Reach::Direct
        }
    }
}
