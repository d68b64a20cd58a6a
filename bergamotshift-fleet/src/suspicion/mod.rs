//! Deaths under a request, told from entry to entry so that a crashing request stops everywhere.
//!
//! The kernel only spreads the deaths. Whether they quarantine a request is the limit crate's decision.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::clock::Instant;
use bergamotshift_core::fingerprint::Fingerprint;
use serde::Deserialize;
use serde::Serialize;

use crate::tag;

/// One endpoint died while it ran a request with this fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Death {
    /// What ran.
    pub fingerprint: Fingerprint,
    /// The life of the endpoint that died.
    pub endpoint: tag::Short,
    /// How long ago it was seen, in seconds.
    pub age_s: u16,
}

/// The deaths of the last while.
#[derive(Clone, Debug, Default)]
pub struct Table {
    deaths: BTreeMap<(Fingerprint, tag::Short), Instant>,
}

impl Table {
    /// Deaths are kept this long.
    pub const RETENTION: Duration = Duration::from_mins(10);

    /// A burst cannot take more room than this.
    pub const CAPACITY: usize = 4_096;

    /// Takes a death in and returns whether it is new.
    pub fn insert(&mut self, now: Instant, death: Death) -> bool {
        let age = Duration::from_secs(u64::from(death.age_s));
        let key = (death.fingerprint, death.endpoint);
        if age >= Self::RETENTION || self.deaths.contains_key(&key) || self.deaths.len() >= Self::CAPACITY {
            return false;
        }
        self.deaths.insert(key, now - age);
        true
    }

    /// Forgets old deaths.
    pub fn expire(&mut self, now: Instant) {
        self.deaths.retain(|_, seen| now.since(*seen) < Self::RETENTION);
    }

    /// Returns on how many distinct endpoints a request died.
    pub fn count(&self, fingerprint: Fingerprint) -> usize {
        self.deaths.keys().filter(|(other, _)| *other == fingerprint).count()
    }

    /// Returns the number of deaths held.
    pub fn len(&self) -> usize {
        self.deaths.len()
    }

    /// Returns whether none is held.
    pub fn is_empty(&self) -> bool {
        self.deaths.is_empty()
    }
}
