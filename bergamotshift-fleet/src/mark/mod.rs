//! Leaving marks of endpoints: sticky for one life of a VM.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::clock::Instant;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::endpoint;

/// How the fleet learned that an endpoint leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Source {
    /// The platform's notice.
    Notice,
    /// The platform's VM list.
    List,
    /// The endpoint's own word.
    Endpoint,
    /// The endpoint refused a connection.
    Refused,
}

/// The news that an endpoint leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Mark {
    /// The life that leaves; a successor on the same VM name is not touched.
    pub endpoint: endpoint::Id,
    /// How it became known.
    pub source: Source,
    /// What was left of the notice when the mark was set, in milliseconds, where known.
    pub notice_ms: Option<u32>,
    /// How long ago the mark was set, in seconds.
    pub age_s: u16,
}

/// All marks that an entry knows.
#[derive(Clone, Debug, Default)]
pub struct Table {
    marks: BTreeMap<endpoint::Id, (Mark, Instant)>,
    digest: u32,
}

impl Table {
    /// Marks are kept this long: longer than a lagging list can still show the VM as live.
    pub const RETENTION: Duration = Duration::from_hours(1);

    /// Takes a mark in and returns whether it is new.
    ///
    /// Nothing takes a mark back. An expired mark that still travels is not taken in again, else two entries could
    /// keep it alive between them for ever.
    pub fn insert(&mut self, now: Instant, mark: Mark) -> bool {
        let age = Duration::from_secs(u64::from(mark.age_s));
        if age >= Self::RETENTION || self.marks.contains_key(&mark.endpoint) {
            return false;
        }
        self.digest ^= hash(&mark.endpoint);
        self.marks.insert(mark.endpoint.clone(), (mark, now - age));
        true
    }

    /// Returns whether this life of an endpoint leaves.
    pub fn contains(&self, endpoint: &endpoint::Id) -> bool {
        self.marks.contains_key(endpoint)
    }

    /// Returns all marks with their ages brought up to date.
    pub fn iter(&self, now: Instant) -> impl Iterator<Item = Mark> {
        self.marks.values().map(move |(mark, set)| Mark {
            age_s: u16::try_from(now.since(*set).as_secs()).unwrap_or(u16::MAX),
            ..mark.clone()
        })
    }

    /// Forgets marks past their retention, but for endpoints that are still listed.
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

    /// Returns a hash over the marked endpoints.
    pub const fn digest(&self) -> u32 {
        self.digest
    }

    /// Returns the number of marks.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Returns whether nothing is marked.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }
}

fn hash(endpoint: &endpoint::Id) -> u32 {
    let seed = endpoint.incarnation.get();
    (xxh3_64(endpoint.vm.as_str().as_bytes()) ^ seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)) as u32
}
