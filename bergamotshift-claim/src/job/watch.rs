//! Detection of open jobs that no entry runs.
//!
//! A lease has expired when its row stayed unchanged for the lease's length by the clock of the entry that lists it, so
//! clocks of different VMs are never compared.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::clock::Instant;
use bergamotshift_core::fingerprint::Fingerprint;
use bergamotshift_core::name;
use bergamotshift_core::table::Row;

use super::Id;
use super::Open;
use super::SHARDS;

/// Open job that can be taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Identifier of the job.
    pub id: Id,
    /// Open row of the job.
    pub open: Open,
    /// Version of the open row.
    pub version: u64,
}

/// Version of an open row, and the time since which it is known.
#[derive(Clone, Copy, Debug)]
struct Observation {
    version: u64,
    since: Instant,
}

/// Observed open rows of the shards that an entry lists.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    observations: BTreeMap<Id, Observation>,
}

impl Watch {
    /// Records all open rows of a shard and returns the jobs that can be taken, by urgency and deadline.
    pub fn update(&mut self, now: Instant, shard: u8, rows: &[(Id, Row)]) -> Vec<Candidate> {
        let is_listed = |id: &Id| rows.iter().any(|(listed, _)| listed == id);
        self.observations.retain(|id, _| id.shard() != shard || is_listed(id));
        let mut candidates = rows
            .iter()
            .filter_map(|(id, row)| self.observe(now, *id, row))
            .collect::<Vec<_>>();
        candidates.sort_by_key(|candidate| (candidate.open.urgency, candidate.open.deadline, candidate.id));
        candidates
    }

    /// Forgets the open rows of all shards but `shards`.
    pub fn retain_shards(&mut self, shards: &[u8]) {
        self.observations.retain(|id, _| shards.contains(&id.shard()));
    }

    /// Records an open row and returns its job if it can be taken.
    fn observe(&mut self, now: Instant, id: Id, row: &Row) -> Option<Candidate> {
        let version = row.version;
        let observation = self
            .observations
            .entry(id)
            .or_insert(Observation { version, since: now });
        if observation.version != version {
            *observation = Observation { version, since: now };
        }
        let open = Open::decode(&row.body).ok()?;
        let length = open.lease.as_ref().map_or(Duration::ZERO, super::Lease::length);
        let is_free = now.since(observation.since) >= length;
        is_free.then_some(Candidate { id, open, version })
    }
}

/// Returns the shards that `entry` lists among the live `members`, by rendezvous hash.
///
/// Each shard is listed by one entry. While entries disagree on the members, a shard may be listed by two entries or by
/// none, which harms no job.
pub fn shards(entry: &name::Entry, members: &[name::Entry]) -> Vec<u8> {
    let weight = |member: &name::Entry, shard: u8| Fingerprint::of(member.as_str(), "open", "", &[shard]);
    (0..SHARDS)
        .filter(|shard| {
            let own = weight(entry, *shard);
            members.iter().all(|member| weight(member, *shard) <= own)
        })
        .collect()
}
