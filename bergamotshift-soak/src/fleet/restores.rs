//! Restores of the store from a copy.

use core::time::Duration;
use std::collections::BTreeSet;
use std::time::Instant;

use smol_str::SmolStr;

use super::Fleet;
use super::endpoints::Later;
use crate::ledger::Place;
use crate::site::SERVICES;

/// Time for which the registration of an endpoint that is gone stays in a restored store.
const LAPSE: Duration = Duration::from_millis(1_200);

impl Fleet {
    /// Restores the store from the last copy, and has operators and endpoints write again after `delay`.
    pub(super) fn restore(&mut self, delay: Duration) {
        let Some(copy) = self.copy.take() else { return };
        self.ledger.during(Place::Store, "restore", delay);
        self.store.restore(copy);
        self.later.push((Instant::now() + delay, Later::Rewrite));
    }

    /// Writes the newest document and all registrations, and lets those of endpoints that are gone lapse.
    pub(super) fn rewrite(&mut self) {
        let service = SERVICES[(self.version % SERVICES.len() as u64) as usize];
        self.write_document(service);
        let mut known = BTreeSet::new();
        for endpoint in &self.endpoints {
            self.store.register(&endpoint.registration("one", false));
            known.insert(endpoint.id().clone());
        }
        for (_, what) in &self.later {
            let (endpoint, leaves) = match what {
                Later::End(endpoint) => (endpoint, true),
                Later::Leave(endpoint) | Later::Crash(endpoint) => (endpoint, false),
                _ => continue,
            };
            self.store.register(&endpoint.registration("one", leaves));
            known.insert(endpoint.id().clone());
        }
        let registered: Vec<SmolStr> = self.store.keys("servers");
        for id in registered.into_iter().filter(|id| !known.contains(id)) {
            self.later.push((Instant::now() + LAPSE, Later::Lapse(id)));
        }
    }
}
