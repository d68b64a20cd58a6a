//! Leaving marks of endpoints; a mark is permanent for one incarnation of a VM.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::clock::Instant;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::endpoint;

/// Source of the information that an endpoint leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Source {
    /// A notice of the platform.
    Notice,
    /// The platform's VM list.
    List,
    /// The endpoint itself.
    Endpoint,
    /// A connection that the endpoint refused.
    Refused,
}

/// Gossiped mark of an endpoint that leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Mark {
    /// Incarnation that leaves; a successor with the same VM name is not affected.
    pub endpoint: endpoint::Id,
    /// Source of the information.
    pub source: Source,
    /// Time left of the notice when the mark was set, in milliseconds, if known.
    pub notice_ms: Option<u32>,
    /// Age of the mark in seconds.
    pub age_s: u16,
}

/// All marks that an entry knows.
#[derive(Clone, Debug, Default)]
pub struct Table {
    marks: BTreeMap<endpoint::Id, (Mark, Instant)>,
    digest: u32,
}

impl Table {
    /// Time for which marks are kept: longer than a lagging list can still show the VM as live.
    pub const RETENTION: Duration = Duration::from_hours(1);

    /// Adds a mark and returns whether it is new.
    ///
    /// A mark is never revoked. An expired mark that is still being gossiped is refused; otherwise two entries could
    /// keep it alive between them forever.
    pub fn insert(&mut self, now: Instant, mark: Mark) -> bool {
        let age = Duration::from_secs(u64::from(mark.age_s));
        if age >= Self::RETENTION || self.marks.contains_key(&mark.endpoint) {
            return false;
        }
        self.digest ^= hash(&mark.endpoint);
        self.marks.insert(mark.endpoint.clone(), (mark, now - age));
        true
    }

    /// Returns whether this incarnation of an endpoint leaves.
    pub fn contains(&self, endpoint: &endpoint::Id) -> bool {
        self.marks.contains_key(endpoint)
    }

    /// Returns all marks with their current ages.
    pub fn iter(&self, now: Instant) -> impl Iterator<Item = Mark> {
        self.marks.values().map(move |(mark, set)| Mark {
            age_s: u16::try_from(now.since(*set).as_secs()).unwrap_or(u16::MAX),
            ..mark.clone()
        })
    }

    /// Removes marks past their retention, except those of endpoints that are still listed.
    pub fn expire(&mut self, now: Instant, is_listed: impl Fn(&endpoint::Id) -> bool) {
        let digest = &mut self.digest;
        self.marks.retain(|endpoint, (_, set)| {
            let keep = now.since(*set) < Self::RETENTION || is_listed(endpoint);
            if !keep {
                *digest ^= hash(endpoint);
            }
            keep
        });
    }

    /// Returns a hash of the marked endpoints.
    pub const fn digest(&self) -> u32 {
        self.digest
    }

    /// Returns the number of marks.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Returns whether there are no marks.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }
}

fn hash(endpoint: &endpoint::Id) -> u32 {
    let seed = endpoint.incarnation.get();
    (xxh3_64(endpoint.vm.as_str().as_bytes()) ^ seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)) as u32
}
