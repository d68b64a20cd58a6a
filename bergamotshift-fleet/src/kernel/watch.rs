//! Assignment of the endpoints whose load this entry reads for the whole zone.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::clock::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Action;
use super::Kernel;
use crate::endpoint;
use crate::load;
use crate::rendezvous;
use crate::tag;

/// Watchers per endpoint; the second one publishes when the first one stops.
const WATCHERS_PER_ENDPOINT: usize = 2;

/// Endpoints that this entry watches.
#[derive(Clone, Debug, Default)]
pub(super) struct Watches {
    by_endpoint: BTreeMap<endpoint::Id, Watch>,
    /// Generations of the members and of the directory that the watches were computed for.
    computed_for: Option<(u64, u64)>,
}

#[derive(Clone, Copy, Debug)]
struct Watch {
    is_primary: bool,
    published: Option<Published>,
    /// Time at which a report of the other watcher last arrived.
    other_reported: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Published {
    at: Instant,
    level: load::Level,
    sequence: u64,
}

impl Watches {
    pub(super) fn endpoints(&self) -> impl Iterator<Item = &endpoint::Id> {
        self.by_endpoint.keys()
    }

    pub(super) fn state_bytes(&self) -> usize {
        self.by_endpoint.len() * (size_of::<endpoint::Id>() + size_of::<Watch>())
    }

    /// Returns whether this entry has to publish a load.
    ///
    /// The second watcher is silent as long as reports of the first one arrive, because both together would double the
    /// traffic for nothing.
    pub(super) fn is_due(
        &self,
        now: Instant,
        endpoint: &endpoint::Id,
        level: load::Level,
        interval: Duration,
        repeat: u32,
    ) -> bool {
        let Some(watch) = self.by_endpoint.get(endpoint) else {
            return false;
        };
        if !watch.is_primary
            && watch
                .other_reported
                .is_some_and(|at| now.since(at) < interval * (repeat + 2))
        {
            return false;
        }
        let Some(published) = watch.published else { return true };
        let since = now.since(published.at);
        (published.level != level && since >= interval) || since >= interval * repeat
    }

    /// Records that a report of an endpoint arrived by gossip. Reports of this entry itself come back too and are
    /// ignored.
    pub(super) fn record_report(&mut self, now: Instant, endpoint: tag::Short, sequence: u64) {
        let watch = self.by_endpoint.iter_mut().find(|(id, _)| id.tag() == endpoint);
        let Some((_, watch)) = watch else { return };
        if watch.published.is_none_or(|published| published.sequence < sequence) {
            watch.other_reported = Some(now);
        }
    }

    pub(super) fn set_published(&mut self, now: Instant, endpoint: &endpoint::Id, level: load::Level, sequence: u64) {
        if let Some(watch) = self.by_endpoint.get_mut(endpoint) {
            watch.published = Some(Published {
                at: now,
                level,
                sequence,
            });
        }
    }
}

impl Kernel {
    /// Recomputes this entry's watches if members or endpoints have changed.
    pub(super) fn refresh_watches(&mut self, out: &mut Vec<Action>) {
        let computed_for = Some((self.members.generation(), self.directory.generation()));
        if self.watches.computed_for == computed_for {
            return;
        }
        self.watches.computed_for = computed_for;
        let mut wanted = BTreeMap::new();
        for known in self.directory.iter() {
            if let Some(is_primary) = self.watch_role(known) {
                wanted.insert(known.id.clone(), is_primary);
            }
        }
        let watches = &mut self.watches.by_endpoint;
        watches.retain(|endpoint, _| {
            let keep = wanted.contains_key(endpoint);
            if !keep {
                out.push(Action::Unwatch(endpoint.clone()));
            }
            keep
        });
        for (endpoint, is_primary) in wanted {
            let watch = watches.entry(endpoint).or_insert_with_key(|endpoint| {
                out.push(Action::Watch(endpoint.clone()));
                Watch {
                    is_primary,
                    published: None,
                    other_reported: None,
                }
            });
            watch.is_primary = is_primary;
        }
    }

    /// Returns whether this entry is the first watcher of an endpoint, or `None` if it does not watch it.
    fn watch_role(&self, known: &endpoint::Record) -> Option<bool> {
        let is_own = known.zone == self.me.zone;
        // A zone without entries is watched from the other zones.
        if !is_own && self.members.live_in(&known.zone).next().is_some() {
            return None;
        }
        let key = xxh3_64_with_seed(known.id.vm.as_str().as_bytes(), known.id.incarnation.get());
        let watchers = if is_own {
            let live = self.members.live_in(&known.zone);
            rendezvous::top(
                key,
                WATCHERS_PER_ENDPOINT,
                live.map(|(key, record)| (record.tag().get(), key)),
            )
        } else {
            let live = self.members.iter().filter(|(_, record)| record.is_live());
            rendezvous::top(
                key,
                WATCHERS_PER_ENDPOINT,
                live.map(|(key, record)| (record.tag().get(), key)),
            )
        };
        let me = self.members.find(&self.me.name)?;
        let rank = watchers.iter().position(|watcher| *watcher == me)?;
        Some(rank == 0)
    }
}
