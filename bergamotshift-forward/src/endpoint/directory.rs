//! Maintains the known endpoints from registration events.
//!
//! An endpoint whose registration announced that it is leaving never returns to service.

use core::cell::Cell;
use core::cmp::Ordering;
use core::cmp::Reverse;
use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::Endpoint;
use super::Registration;
use crate::outside::Cursor;

/// Time after the last failed call of the store, or after its restore, during which lapsed registrations may still be
/// renewed; the platform guarantees about two seconds.
const RENEWAL_GRACE: Duration = Duration::from_millis(2_300);

/// Time for which an endpoint is kept after its registration was removed. Its last requests end within this time, and
/// no outdated list can bring it back.
const REMOVED_RETENTION: Duration = Duration::from_mins(1);

/// Maximum number of removals that another entry is told, the newest ones; some 6 kB.
const MAX_REMOVALS: usize = 64;

/// Endpoint whose registration was removed, as entries tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Removal {
    /// Its last registration, which says whether it announced that it leaves.
    pub registration: Registration,
    /// Time since the removal became known.
    pub age: Duration,
    /// Position up to which the store may contain the registration from a copy.
    pub copied_until: Option<Cursor>,
}

/// One change of a registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A registration was written.
    Written(Registration),
    /// The registration with this identifier was removed.
    Removed(SmolStr),
    /// The stored value is no valid registration, for instance because a third party overwrote it.
    Unreadable {
        /// Identifier of the registration.
        id: SmolStr,
        /// Reason why it cannot be read.
        cause: bergamotshift_platform::Error,
    },
}

impl Change {
    /// Returns the identifier of the registration.
    pub const fn id(&self) -> &SmolStr {
        match self {
            Self::Written(registration) => &registration.id,
            Self::Removed(id) | Self::Unreadable { id, .. } => id,
        }
    }
}

/// Event that updates the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// All registrations as of one point in time, read from the store.
    Listed(Vec<Registration>),
    /// Changes since the last event.
    Changed(Vec<Change>),
    /// All registrations known to another entry as of a newer point in time.
    Relayed(Vec<Registration>),
    /// A call of the store failed.
    StoreFailed,
    /// The store was restored from a copy, and its position is now at most this one. The copy may lack registrations of
    /// endpoints that are alive, and contain those of endpoints that were removed.
    Restored(Cursor),
}

/// Endpoint with the state of its registration.
#[derive(Clone, Debug)]
struct Record {
    endpoint: Arc<Endpoint>,
    /// Time since which its registration is missing without proof that it was removed.
    lapsed_since: Option<Instant>,
    /// Time since which it is known to be removed.
    gone_since: Option<Instant>,
    /// Position up to which the store may contain its registration from a copy, although it was removed.
    copied_until: Option<Cursor>,
    /// Position of its last write in the store's history.
    written: Cursor,
    /// Position of its last change, other than a heartbeat, in the store's history; a later one if it is not known.
    changed: Cursor,
    /// Whether its registration announced that it is leaving; later registrations do not revoke this.
    announced_leaving: bool,
}

impl Record {
    /// Returns the registration as this entry knows it.
    fn registration(&self) -> Registration {
        Registration {
            leaving: self.announced_leaving,
            written: self.written,
            ..self.endpoint.registration.clone()
        }
    }

    /// Compares the incarnation of its endpoint with that of a registration under the same identifier: `Less` if that one is
    /// later. A process that states another version is another one, also if the start times are unknown.
    fn compare(&self, registration: &Registration) -> Ordering {
        let known = &self.endpoint.registration;
        let is_same = known.version == registration.version && known.service == registration.service;
        let by_write = if is_same || self.written.era != registration.written.era {
            Ordering::Equal
        } else {
            self.written.cmp(&registration.written)
        };
        known.born.cmp(&registration.born).then(by_write)
    }

    /// Returns this record's part of the digest.
    fn digest(&self) -> u64 {
        if self.gone_since.is_some() || self.lapsed_since.is_some() {
            return 0;
        }
        self.endpoint.hash.rotate_left(u32::from(self.announced_leaving))
    }
}

/// Properties of all records together, which each message between entries contains.
#[derive(Clone, Copy, Debug)]
struct Summary {
    digest: u64,
    is_settled: bool,
}

/// Set of known endpoints, updated by events.
#[derive(Debug, Default)]
pub struct Directory {
    records: BTreeMap<SmolStr, Record>,
    /// Summary of the records; `None` after they changed.
    summary: Cell<Option<Summary>>,
    /// Position in the store's history that the records are known at.
    position: Cursor,
    /// Position up to which removals may be missing here: that of the last whole list, or of records dropped since.
    listed: Cursor,
    /// Time of the last failed call of the store, or of its last restore.
    store_failed_at: Option<Instant>,
    /// Endpoints whose removed registrations returned since they were last taken.
    returned: Vec<Arc<Endpoint>>,
}

impl Directory {
    /// Sets the position in the store's history that the next event leads to.
    pub fn set_position(&mut self, position: Cursor) {
        self.position = self.position.max(position);
    }

    /// Applies an event that tells how things are now, and returns the endpoints that it removed from service.
    pub fn apply(&mut self, now: Instant, event: Event) -> Vec<Arc<Endpoint>> {
        self.apply_as_of(now, now, event)
    }

    /// Applies an event that tells how things were at `as_of`, and returns the endpoints that it removed from service.
    pub fn apply_as_of(&mut self, now: Instant, as_of: Instant, event: Event) -> Vec<Arc<Endpoint>> {
        if matches!(event, Event::Listed(_) | Event::Relayed(_)) {
            self.listed = self.position;
        }
        let mut leaving = self.apply_event(now, as_of, event);
        leaving.extend(self.settle(now, as_of));
        leaving
    }

    /// Takes the endpoints whose registrations were removed, and returned since the last call.
    pub fn take_returned(&mut self) -> Vec<Arc<Endpoint>> {
        core::mem::take(&mut self.returned)
    }

    fn apply_event(&mut self, now: Instant, as_of: Instant, event: Event) -> Vec<Arc<Endpoint>> {
        let mut leaving = Vec::new();
        match event {
            Event::StoreFailed => self.store_failed_at = Some(now),
            Event::Restored(cursor) => {
                self.store_failed_at = Some(now);
                for record in self.records.values_mut().filter(|record| record.gone_since.is_some()) {
                    record.copied_until = Some(cursor);
                }
            }
            Event::Listed(registrations) | Event::Relayed(registrations) => {
                let listed: BTreeSet<SmolStr> = registrations.iter().map(|one| one.id.clone()).collect();
                for registration in registrations {
                    self.upsert(registration, &mut leaving);
                }
                let missing: Vec<SmolStr> = self
                    .records
                    .keys()
                    .filter(|id| !listed.contains(*id))
                    .cloned()
                    .collect();
                for id in missing {
                    self.remove(now, as_of, &id, &mut leaving);
                }
            }
            Event::Changed(changes) => {
                for change in changes {
                    match change {
                        Change::Written(registration) => self.upsert(registration, &mut leaving),
                        Change::Removed(id) | Change::Unreadable { id, .. } => {
                            self.remove(now, as_of, &id, &mut leaving);
                        }
                    }
                }
            }
        }
        leaving
    }

    /// Returns the changes after a position, for an entry whose registrations are known at that position; `None` if they
    /// are not all known, or most records have changed.
    pub fn changes_since(&self, position: Cursor) -> Option<Vec<Change>> {
        if position < self.listed || position.era != self.position.era {
            return None;
        }
        let later = self.records.iter().filter(|(_, record)| record.changed > position);
        let change = |(id, record): (&SmolStr, &Record)| match record.gone_since {
            Some(_) => Change::Removed(id.clone()),
            None => Change::Written(record.registration()),
        };
        let changes: Vec<_> = later.map(change).collect();
        (2 * changes.len() <= self.records.len()).then_some(changes)
    }

    /// Returns the endpoints that are not removed.
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        let present = self.records.values().filter(|record| record.gone_since.is_none());
        present.map(|record| &record.endpoint)
    }

    /// Returns whether an endpoint's registration announced that it leaves.
    pub fn has_announced(&self, endpoint: &Endpoint) -> bool {
        let Registration { id, born, .. } = &endpoint.registration;
        let record = self.records.get(id);
        record.is_some_and(|record| record.announced_leaving && record.endpoint.registration.born == *born)
    }

    /// Returns the registrations of all endpoints that are not removed, for entries whose registrations are older.
    pub fn registrations(&self) -> Vec<Registration> {
        let present = self.records.values().filter(|record| record.gone_since.is_none());
        present.map(Record::registration).collect()
    }

    /// Returns the newest removals, for entries that may not know of them.
    pub fn removals(&self, now: Instant) -> Vec<Removal> {
        let records = self.records.values();
        let mut removed: Vec<_> = records
            .filter_map(|record| Some((record.gone_since?, record)))
            .collect();
        removed.sort_by_key(|(since, _)| Reverse(*since));
        let removal = |(since, record): (Instant, &Record)| Removal {
            registration: record.registration(),
            age: now.since(since),
            copied_until: record.copied_until,
        };
        removed.into_iter().take(MAX_REMOVALS).map(removal).collect()
    }

    /// Records removals that another entry knows, and returns the endpoints that they remove from service.
    ///
    /// Otherwise an entry that started after a removal would use the endpoint once the store is restored from a copy that
    /// contains its registration. An endpoint that announced that it is leaving has left for good. Another one may have
    /// registered again, so one that is known here is removed only if its registration may come from the copy.
    pub fn learn_removals(&mut self, now: Instant, removals: Vec<Removal>) -> Vec<Arc<Endpoint>> {
        self.summary.set(None);
        let mut leaving = Vec::new();
        for removal in removals.into_iter().filter(|removal| removal.age < REMOVED_RETENTION) {
            let Removal {
                registration,
                age,
                copied_until,
            } = removal;
            let Some(record) = self.records.get_mut(&registration.id) else {
                let endpoint = Arc::new(Endpoint::new(registration.clone()));
                endpoint.mark_leaving();
                let record = Record {
                    endpoint,
                    lapsed_since: None,
                    gone_since: Some(now - age),
                    copied_until,
                    written: registration.written,
                    changed: Cursor::default(),
                    announced_leaving: registration.leaving,
                };
                self.records.insert(registration.id, record);
                continue;
            };
            if record.endpoint.registration.born != registration.born {
                continue;
            }
            record.announced_leaving |= registration.leaving;
            record.copied_until = record.copied_until.max(copied_until);
            let may_be_copied = copied_until.is_some_and(|until| record.written <= until);
            if record.gone_since.is_some() || !registration.leaving && !may_be_copied {
                continue;
            }
            record.lapsed_since = None;
            record.gone_since = Some(now - age);
            record.changed = self.position;
            if record.endpoint.mark_leaving() {
                leaving.push(Arc::clone(&record.endpoint));
            }
        }
        leaving
    }

    /// Returns whether no registration has lapsed without proof of removal. Until then this directory must not count as
    /// newer than that of other entries.
    pub fn is_settled(&self) -> bool {
        self.summary().is_settled
    }

    /// Returns a digest of the registered endpoints, including which of them are leaving.
    ///
    /// What answers showed is excluded, since only this entry received them. If its digest differed from those of others
    /// until the store told the same, each exchange with them would carry all registrations.
    ///
    /// Lapsed registrations are excluded too: an entry that knows them to be removed then has the same digest, and
    /// confirms how fresh this directory is.
    pub fn digest(&self) -> u64 {
        self.summary().digest
    }

    /// Returns the summary of the records. It is computed once after each change, not for each message.
    fn summary(&self) -> Summary {
        if let Some(summary) = self.summary.get() {
            return summary;
        }
        let summary = Summary {
            digest: self.records.values().map(Record::digest).fold(0, u64::wrapping_add),
            is_settled: self.records.values().all(|record| record.lapsed_since.is_none()),
        };
        self.summary.set(Some(summary));
        summary
    }

    /// Returns an endpoint by [`Endpoint::hash`].
    pub fn by_hash(&self, hash: u64) -> Option<&Arc<Endpoint>> {
        self.endpoints().find(|endpoint| endpoint.hash == hash)
    }

    /// Inserts or updates an endpoint from its registration.
    ///
    /// An endpoint that crashes and restarts keeps its identifier but not its cache, requests or state, so a later
    /// incarnation replaces the earlier one. Delayed registrations of an earlier incarnation are ignored; otherwise
    /// they would hide the new one.
    fn upsert(&mut self, registration: Registration, leaving: &mut Vec<Arc<Endpoint>>) {
        let (is_leaving, written) = (registration.leaving, registration.written);
        let known = self.records.get(&registration.id);
        let mut digest = known.map_or(0, Record::digest);
        match known.map(|known| known.compare(&registration)) {
            Some(Ordering::Greater) => return,
            Some(Ordering::Less) => {
                digest = 0;
                let replaced = self.records.remove(&registration.id);
                leaving.extend(
                    replaced
                        .map(|record| record.endpoint)
                        .filter(|endpoint| endpoint.mark_leaving()),
                );
            }
            Some(Ordering::Equal) | None => {}
        }
        let record = self.records.entry(registration.id.clone()).or_insert_with(|| Record {
            endpoint: Arc::new(Endpoint::new(registration.clone())),
            lapsed_since: None,
            gone_since: None,
            copied_until: None,
            written: Cursor::default(),
            changed: Cursor::default(),
            announced_leaving: is_leaving,
        });
        record.lapsed_since = None;
        record.written = record.written.max(registration.written);
        record.announced_leaving |= is_leaving;
        let may_be_copied = record.copied_until.is_some_and(|until| registration.written <= until);
        if record.announced_leaving {
            if record.endpoint.mark_leaving() {
                leaving.push(Arc::clone(&record.endpoint));
            }
        } else if !may_be_copied && record.gone_since.take().is_some() {
            // The registration was only missing because the endpoint or the store was cut off.
            record.endpoint = Arc::new(record.endpoint.reregistered(registration));
            self.returned.push(Arc::clone(&record.endpoint));
        }
        if record.digest() != digest {
            record.changed = written;
        }
    }

    /// Handles a registration that was missing at `as_of`.
    ///
    /// Registrations lapse while the store is unavailable, because endpoints cannot renew them. If that counted as
    /// removal, all endpoints would disappear at once and all callers would be refused. After a failed call of the
    /// store, or its restore, a missing registration therefore proves nothing until [`RENEWAL_GRACE`] is over; the
    /// platform guarantees renewal within that time.
    fn remove(&mut self, now: Instant, as_of: Instant, id: &SmolStr, leaving: &mut Vec<Arc<Endpoint>>) {
        let is_inconclusive = self
            .store_failed_at
            .is_some_and(|failed| as_of.since(failed) < RENEWAL_GRACE);
        let Some(record) = self.records.get_mut(id).filter(|record| record.gone_since.is_none()) else {
            return;
        };
        if is_inconclusive && !record.announced_leaving {
            record.lapsed_since.get_or_insert(now);
            return;
        }
        record.gone_since = Some(now);
        record.changed = self.position;
        if record.endpoint.mark_leaving() {
            leaving.push(Arc::clone(&record.endpoint));
        }
    }

    /// Removes lapsed endpoints if the registrations known as of `as_of` prove that they are gone, drops endpoints that
    /// were removed long ago, and returns the endpoints that stopped accepting requests.
    pub fn settle(&mut self, now: Instant, as_of: Instant) -> Vec<Arc<Endpoint>> {
        self.summary.set(None);
        let mut leaving = Vec::new();
        let is_conclusive = self
            .store_failed_at
            .is_none_or(|failed| as_of.since(failed) >= RENEWAL_GRACE);
        for record in self.records.values_mut() {
            if is_conclusive && record.lapsed_since.take().is_some() {
                record.gone_since = Some(now);
                record.changed = self.position;
                if record.endpoint.mark_leaving() {
                    leaving.push(Arc::clone(&record.endpoint));
                }
            }
        }
        let listed = &mut self.listed;
        self.records.retain(|_, record| {
            let is_kept = record.gone_since.is_none_or(|gone| now.since(gone) < REMOVED_RETENTION);
            if !is_kept {
                *listed = record.changed.max(*listed);
            }
            is_kept
        });
        leaving
    }
}
