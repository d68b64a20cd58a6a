//! Finds the open jobs that nobody runs.
//!
//! A lease has lapsed when its row stood unchanged for the lease's length on the watcher's own clock, so clocks of
//! different VMs are never compared.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::clock::Instant;
use bergamotshift_core::fingerprint::Fingerprint;
use bergamotshift_core::name;
use bergamotshift_core::table::Row;

use super::Id;
use super::Open;
use super::SHARDS;

/// A job that can be taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The job.
    pub id: Id,
    /// Its open row.
    pub open: Open,
    /// The open row's version.
    pub version: u64,
}

#[derive(Clone, Copy, Debug)]
struct Sight {
    version: u64,
    since: Instant,
}

/// Watches the open rows of the shards that an entry lists.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    sights: BTreeMap<Id, Sight>,
}

impl Watch {
    /// Takes in all open rows of a shard and returns those that can be taken, most pressing first.
    pub fn update(&mut self, now: Instant, shard: u8, rows: &[(Id, Row)]) -> Vec<Candidate> {
        let listed = |id: &Id| rows.iter().any(|(listed, _)| listed == id);
        self.sights.retain(|id, _| id.shard() != shard || listed(id));
        let mut found = rows
            .iter()
            .filter_map(|(id, row)| self.sighted(now, *id, row))
            .collect::<Vec<_>>();
        found.sort_by_key(|candidate| (candidate.open.urgency, candidate.open.deadline, candidate.id));
        found
    }

    /// Forgets the shards that another entry lists from now on.
    pub fn retain_shards(&mut self, shards: &[u8]) {
        self.sights.retain(|id, _| shards.contains(&id.shard()));
    }

    fn sighted(&mut self, now: Instant, id: Id, row: &Row) -> Option<Candidate> {
        let version = row.version;
        let sight = self.sights.entry(id).or_insert(Sight { version, since: now });
        if sight.version != version {
            *sight = Sight { version, since: now };
        }
        let open = Open::decode(&row.body).ok()?;
        let wait = open.lease.as_ref().map_or(Duration::ZERO, super::Lease::length);
        let free = now.since(sight.since) >= wait;
        free.then_some(Candidate { id, open, version })
    }
}

/// Returns the shards that `entry` lists among the live `members`, by rendezvous hash.
///
/// Each shard is listed by one entry; when members differ in their view, it is listed by two or, for a while, by
/// none, and neither harms a job.
pub fn shards(entry: &name::Entry, members: &[name::Entry]) -> Vec<u8> {
    let weight = |member: &name::Entry, shard: u8| Fingerprint::of(member.as_str(), "open", "", &[shard]);
    (0..SHARDS)
        .filter(|shard| {
            let own = weight(entry, *shard);
            members.iter().all(|member| weight(member, *shard) <= own)
        })
        .collect()
}
