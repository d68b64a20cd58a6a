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
const RENEWAL: Duration = Duration::from_millis(2_300);

/// How long a leaving endpoint is remembered after its registration went: its last requests end within this time, and
/// no old listing can bring it back.
const MEMORY: Duration = Duration::from_mins(1);

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
    Lost,
}

#[derive(Clone, Debug)]
struct Known {
    endpoint: Arc<Endpoint>,
    /// Since when its registration is missing without proof that it left.
    lapsed: Option<Instant>,
    /// Since when it is gone.
    gone: Option<Instant>,
    /// Whether it said itself that it leaves; no later word takes that back.
    said: bool,
}

/// Folds events into the endpoints that may get work.
#[derive(Debug, Default)]
pub struct Directory {
    known: BTreeMap<SmolStr, Known>,
    /// When a call of the store last failed.
    lost: Option<Instant>,
}

impl Directory {
    /// Takes an event in and returns the endpoints that stopped taking work by it.
    pub fn on(&mut self, now: Instant, event: Event) -> Vec<Arc<Endpoint>> {
        let mut leaving = Vec::new();
        match event {
            Event::Lost => self.lost = Some(now),
            Event::Listed(registrations) | Event::Relayed(registrations) => {
                let listed: BTreeSet<SmolStr> = registrations.iter().map(|one| one.id.clone()).collect();
                for registration in registrations {
                    self.written(registration, &mut leaving);
                }
                let missing: Vec<SmolStr> = self.known.keys().filter(|id| !listed.contains(*id)).cloned().collect();
                for id in missing {
                    self.removed(now, &id, &mut leaving);
                }
            }
            Event::Changed(changes) => {
                for change in changes {
                    match change {
                        Change::Written(registration) => self.written(registration, &mut leaving),
                        Change::Removed(id) | Change::Unreadable { id, .. } => self.removed(now, &id, &mut leaving),
                    }
                }
            }
        }
        leaving.extend(self.settle(now, now));
        leaving
    }

    /// Returns the endpoints that are not gone.
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        let present = self.known.values().filter(|known| known.gone.is_none());
        present.map(|known| &known.endpoint)
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
        self.known.values().all(|known| known.lapsed.is_none())
    }

    /// Returns a digest of the endpoints that are registered and of those among them that leave.
    ///
    /// What this entry alone knows, from answers, does not count: others would look as if they knew something else.
    ///
    /// What lapsed does not count: another entry that knows it to be gone has the same, and this one learns from that how
    /// fresh its own knowledge is.
    pub fn digest(&self) -> u64 {
        let registered = self
            .known
            .values()
            .filter(|known| known.gone.is_none() && known.lapsed.is_none());
        let marks = registered
            .map(|known| &known.endpoint)
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
    fn written(&mut self, registration: Registration, leaving: &mut Vec<Arc<Endpoint>>) {
        let leaves = registration.leaving;
        let before = self.known.get(&registration.id);
        match before.map(|known| known.endpoint.registration.born.cmp(&registration.born)) {
            Some(Ordering::Greater) => return,
            Some(Ordering::Less) => {
                let ended = self.known.remove(&registration.id);
                leaving.extend(
                    ended
                        .map(|known| known.endpoint)
                        .filter(|endpoint| endpoint.mark_leaving()),
                );
            }
            Some(Ordering::Equal) | None => {}
        }
        let known = self.known.entry(registration.id.clone()).or_insert_with(|| Known {
            endpoint: Arc::new(Endpoint::new(registration.clone())),
            lapsed: None,
            gone: None,
            said: leaves,
        });
        known.lapsed = None;
        known.said |= leaves;
        if known.said {
            if known.endpoint.mark_leaving() {
                leaving.push(Arc::clone(&known.endpoint));
            }
        } else if known.gone.take().is_some() {
            // It was only missing, because it or the store was cut off.
            known.endpoint = Arc::new(known.endpoint.reregistered(registration));
        }
    }

    /// A registration is missing.
    ///
    /// Failure: the store was away, and registrations lapsed because nobody could renew them. Symptom: every endpoint
    /// looks gone at once and all callers are refused. Right after such a time a missing registration proves nothing
    /// until the endpoints had time to renew it; that is enough, since the platform promises when it is proof again.
    fn removed(&mut self, now: Instant, id: &SmolStr, leaving: &mut Vec<Arc<Endpoint>>) {
        let unsure = self.lost.is_some_and(|lost| now.since(lost) < RENEWAL);
        let Some(known) = self.known.get_mut(id).filter(|known| known.gone.is_none()) else {
            return;
        };
        if unsure && !known.said {
            known.lapsed.get_or_insert(now);
            return;
        }
        known.gone = Some(now);
        if known.endpoint.mark_leaving() {
            leaving.push(Arc::clone(&known.endpoint));
        }
    }

    /// Settles what lapsed by what is known as of a moment, forgets what is long gone, and returns the endpoints that
    /// stopped taking work.
    pub fn settle(&mut self, now: Instant, as_of: Instant) -> Vec<Arc<Endpoint>> {
        let mut leaving = Vec::new();
        let calm = self.lost.is_none_or(|lost| as_of.since(lost) >= RENEWAL);
        for known in self.known.values_mut() {
            if calm && known.lapsed.take().is_some() {
                known.gone = Some(now);
                if known.endpoint.mark_leaving() {
                    leaving.push(Arc::clone(&known.endpoint));
                }
            }
        }
        self.known
            .retain(|_, known| known.gone.is_none_or(|gone| now.since(gone) < MEMORY));
        leaving
    }
}
