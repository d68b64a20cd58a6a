//! Which endpoints there are: folds what the store says into marks that are never taken back.

use core::cmp::Ordering;
use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use smol_str::SmolStr;

use super::Endpoint;
use super::Registration;

/// How long after the store is back a registration that lapsed meanwhile may still be renewed; the platform promises
/// about two seconds.
const RENEWAL_GRACE: Duration = Duration::from_millis(2_300);

/// How long a leaving endpoint is remembered after its registration went: its last requests end within this time, and
/// no old listing can bring it back.
const REMOVED_RETENTION: Duration = Duration::from_mins(1);

/// One change of a registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was written.
    Written(Registration),
    /// It was taken away.
    Removed(SmolStr),
    /// What stands there is no registration; somebody else wrote it, and it names no endpoint.
    Unreadable {
        /// The identifier under which it stands.
        id: SmolStr,
        /// Why it cannot be read.
        cause: bergamotshift_platform::Error,
    },
}

/// Something that the store, or the lack of it, tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// All registrations as of one moment.
    Listed(Vec<Registration>),
    /// What changed since the last event.
    Changed(Vec<Change>),
    /// All registrations that another entry knows from a newer moment.
    Relayed(Vec<Registration>),
    /// A call of the store failed.
    StoreFailed,
}

#[derive(Clone, Debug)]
struct Record {
    endpoint: Arc<Endpoint>,
    /// Since when its registration is missing without proof that it left.
    lapsed_since: Option<Instant>,
    /// Since when it is gone.
    gone_since: Option<Instant>,
    /// Whether it said itself that it leaves; no later word takes that back.
    announced_leaving: bool,
}

/// Folds events into the endpoints that may get work.
#[derive(Debug, Default)]
pub struct Directory {
    records: BTreeMap<SmolStr, Record>,
    /// When a call of the store last failed.
    store_failed_at: Option<Instant>,
}

impl Directory {
    /// Takes an event in and returns the endpoints that stopped taking work by it.
    pub fn apply(&mut self, now: Instant, event: Event) -> Vec<Arc<Endpoint>> {
        let mut leaving = Vec::new();
        match event {
            Event::StoreFailed => self.store_failed_at = Some(now),
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
                    self.remove(now, &id, &mut leaving);
                }
            }
            Event::Changed(changes) => {
                for change in changes {
                    match change {
                        Change::Written(registration) => self.upsert(registration, &mut leaving),
                        Change::Removed(id) | Change::Unreadable { id, .. } => self.remove(now, &id, &mut leaving),
                    }
                }
            }
        }
        leaving.extend(self.settle(now, now));
        leaving
    }

    /// Returns the endpoints that are not gone.
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        let present = self.records.values().filter(|record| record.gone_since.is_none());
        present.map(|record| &record.endpoint)
    }

    /// Returns the registrations of all endpoints that are not gone, for an entry that cannot read them itself.
    pub fn registrations(&self) -> Vec<Registration> {
        let told = |endpoint: &Arc<Endpoint>| Registration {
            leaving: endpoint.is_withdrawn(),
            ..endpoint.registration.clone()
        };
        self.endpoints().map(told).collect()
    }

    /// Returns whether every missing registration is proof by now; until then nothing that is known here may count as
    /// newer than what others know.
    pub fn is_settled(&self) -> bool {
        self.records.values().all(|record| record.lapsed_since.is_none())
    }

    /// Returns a digest of the endpoints that are registered and of those among them that leave.
    ///
    /// What this entry alone knows, from answers, does not count: others would look as if they knew something else.
    ///
    /// What lapsed does not count: another entry that knows it to be gone has the same, and this one learns from that how
    /// fresh its own knowledge is.
    pub fn digest(&self) -> u64 {
        let registered = self
            .records
            .values()
            .filter(|record| record.gone_since.is_none() && record.lapsed_since.is_none());
        let marks = registered
            .map(|record| &record.endpoint)
            .map(|endpoint| endpoint.hash.rotate_left(u32::from(endpoint.is_withdrawn())));
        marks.fold(0, u64::wrapping_add)
    }

    /// Finds an endpoint by the hash of its identifier.
    pub fn by_hash(&self, hash: u64) -> Option<&Arc<Endpoint>> {
        self.endpoints().find(|endpoint| endpoint.hash == hash)
    }

    /// A registration was written.
    ///
    /// Failure: an endpoint crashes and starts again under its identifier. Symptom: it is taken to hold the cached parts,
    /// the work and the marks of the incarnation before, whose late words hide it. An incarnation that started later takes
    /// the place of the one before; a word of an earlier one says nothing any more.
    fn upsert(&mut self, registration: Registration, leaving: &mut Vec<Arc<Endpoint>>) {
        let leaves = registration.leaving;
        let before = self.records.get(&registration.id);
        match before.map(|record| record.endpoint.registration.born.cmp(&registration.born)) {
            Some(Ordering::Greater) => return,
            Some(Ordering::Less) => {
                let ended = self.records.remove(&registration.id);
                leaving.extend(
                    ended
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
            announced_leaving: leaves,
        });
        record.lapsed_since = None;
        record.announced_leaving |= leaves;
        if record.announced_leaving {
            if record.endpoint.mark_leaving() {
                leaving.push(Arc::clone(&record.endpoint));
            }
        } else if record.gone_since.take().is_some() {
            // It was only missing, because it or the store was cut off.
            record.endpoint = Arc::new(record.endpoint.reregistered(registration));
        }
    }

    /// A registration is missing.
    ///
    /// Failure: the store was away, and registrations lapsed because nobody could renew them. Symptom: every endpoint
    /// looks gone at once and all callers are refused. Right after such a time a missing registration proves nothing
    /// until the endpoints had time to renew it; that is enough, since the platform promises when it is proof again.
    fn remove(&mut self, now: Instant, id: &SmolStr, leaving: &mut Vec<Arc<Endpoint>>) {
        let unsure = self.store_failed_at.is_some_and(|lost| now.since(lost) < RENEWAL_GRACE);
        let Some(record) = self.records.get_mut(id).filter(|record| record.gone_since.is_none()) else {
            return;
        };
        if unsure && !record.announced_leaving {
            record.lapsed_since.get_or_insert(now);
            return;
        }
        record.gone_since = Some(now);
        if record.endpoint.mark_leaving() {
            leaving.push(Arc::clone(&record.endpoint));
        }
    }

    /// Settles what lapsed by what is known as of a moment, forgets what is long gone, and returns the endpoints that
    /// stopped taking work.
    pub fn settle(&mut self, now: Instant, as_of: Instant) -> Vec<Arc<Endpoint>> {
        let mut leaving = Vec::new();
        let calm = self
            .store_failed_at
            .is_none_or(|lost| as_of.since(lost) >= RENEWAL_GRACE);
        for record in self.records.values_mut() {
            if calm && record.lapsed_since.take().is_some() {
                record.gone_since = Some(now);
                if record.endpoint.mark_leaving() {
                    leaving.push(Arc::clone(&record.endpoint));
                }
            }
        }
        self.records
            .retain(|_, record| record.gone_since.is_none_or(|gone| now.since(gone) < REMOVED_RETENTION));
        leaving
    }
}
