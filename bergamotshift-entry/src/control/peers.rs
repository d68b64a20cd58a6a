//! What other entries tell the control thread, and what it tells them.

use std::collections::BTreeSet;

use bergamotshift_core::load::Report;
use bergamotshift_core::prelude::*;
use bergamotshift_core::vm;
use bergamotshift_core::vm::Listing;
use bergamotshift_core::vm::Role;
use bergamotshift_fleet::endpoint;
use bergamotshift_fleet::mark;
use bergamotshift_fleet::note;
use bergamotshift_limit::quarantine::Attribution;
use bergamotshift_limit::quarantine::Suspicion;
use bergamotshift_platform::vms::Notice;
use slog::info;
use slog::warn;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::State;
use super::fleet::Known;
use super::state::Due;
use crate::peers::Event;
use crate::peers::Request;
use crate::snapshot::Endpoint;

impl State {
    /// Folds what another entry said.
    pub(super) fn told(&mut self, event: Event) {
        match event {
            Event::Marked(mark) => self.marked(&mark),
            Event::Watching(endpoint, true) => {
                self.watched.insert(endpoint);
            }
            Event::Watching(endpoint, false) => {
                self.watched.remove(&endpoint);
            }
            Event::LoadReceived { endpoint, report, age } => {
                let at = self.shared.now() - age;
                let key = self.by_id(&endpoint).and_then(|known| known.key);
                if let Some(key) = key {
                    let _ = self.fleet.registry.record_report(key, report, at);
                    self.due(Due::Tick);
                }
            }
            Event::NoteReceived { note, .. } => self.noted(&note),
            Event::Paused(gap) => {
                warn!(self.shared.settings.logger, "this entry was paused"; "gap_ms" => gap.as_millis());
            }
            Event::Superseded => {
                warn!(
                    self.shared.settings.logger,
                    "a later life of this entry runs; this one takes no callers"
                );
                self.shared.draining.store(true, core::sync::atomic::Ordering::Release);
            }
        }
    }

    fn marked(&mut self, mark: &mark::Mark) {
        let Some(known) = self.by_id(&mark.endpoint) else {
            return;
        };
        let endpoint = std::sync::Arc::clone(&known.endpoint);
        if self.fleet.leave(&endpoint) {
            info!(self.shared.settings.logger, "another entry says that an endpoint leaves";
                "vm" => endpoint.vm.as_str());
            self.announced(&endpoint);
            self.due(Due::Now);
        }
    }

    fn noted(&mut self, note: &note::Note) {
        if note.topic != note::Topic::QUARANTINE {
            return;
        }
        let Ok(mut suspicion) = postcard::from_bytes::<Suspicion>(&note.body) else {
            return;
        };
        for (_, age, _) in &mut suspicion.deaths {
            *age += core::time::Duration::from_secs(u64::from(note.age_s));
        }
        self.quarantine.merge(self.shared.now(), &[suspicion]);
        self.due(Due::Now);
    }

    /// Tells the others what this entry suspects; what they were told before costs nothing.
    pub(super) fn share_suspicions(&self) {
        let Some(peers) = self.shared.peers.get() else { return };
        for suspicion in self.quarantine.suspicions(self.shared.now()) {
            for death in suspicion.deaths {
                let (victim, _, standing) = &death;
                let hash = xxh3_64_with_seed(victim.vm.as_str().as_bytes(), victim.incarnation.get());
                let version = match standing {
                    Attribution::Counted => 1,
                    Attribution::Forgiven => 2,
                    Attribution::Announced => 3,
                };
                let key = suspicion.fingerprint.get() ^ u128::from(hash);
                let alone = Suspicion {
                    fingerprint: suspicion.fingerprint,
                    deaths: vec![death],
                };
                let Ok(body) = postcard::to_stdvec(&alone) else {
                    continue;
                };
                peers.send(Request::NotePublished {
                    topic: note::Topic::QUARANTINE,
                    key,
                    version,
                    body,
                });
            }
        }
    }

    /// Tells the others that an endpoint leaves.
    pub(super) fn tell_leaving(&self, endpoint: &Endpoint, source: mark::Source, notice_ms: Option<u64>) {
        let Some(peers) = self.shared.peers.get() else { return };
        peers.send(Request::EndpointLeaving {
            endpoint: id(endpoint),
            source,
            notice_ms: notice_ms.and_then(|notice| u32::try_from(notice).ok()),
        });
    }

    /// Takes the platform's list in and tells the others.
    pub(super) fn all_listed(&mut self, listings: &[Listing]) {
        self.tell_list(listings);
        for vm in listings {
            self.listed(vm);
        }
    }

    /// Takes the platform's notices in and tells the others.
    pub(super) fn all_noticed(&mut self, notices: &[Notice]) {
        for notice in notices {
            self.tell_notice(&notice.vm);
            self.listed(&notice.vm);
        }
    }

    /// Tells the others of an endpoint whose notice this entry read.
    fn tell_notice(&self, listing: &Listing) {
        let Some(peers) = self.shared.peers.get() else { return };
        let (vm::State::Leaving { notice_ms }, Role::Endpoint(_)) = (listing.state, &listing.role) else {
            return;
        };
        peers.send(Request::EndpointLeaving {
            endpoint: endpoint::Id {
                vm: listing.name.clone(),
                incarnation: listing.incarnation,
            },
            source: mark::Source::Notice,
            notice_ms: u32::try_from(notice_ms).ok(),
        });
    }

    /// Tells the others what the VM list shows.
    fn tell_list(&self, listings: &[Listing]) {
        if let Some(peers) = self.shared.peers.get() {
            peers.send(Request::VmsListed(listings.to_vec()));
        }
    }

    /// Tells the others an endpoint's load.
    pub(super) fn tell_load(&self, endpoint: &Endpoint, report: Report) {
        let endpoint = id(endpoint);
        if let Some(peers) = self.shared.peers.get().filter(|_| self.watched.contains(&endpoint)) {
            peers.send(Request::LoadReported { endpoint, report });
        }
    }

    /// Returns the endpoints that other entries ask for their load, so that this one need not.
    pub(super) fn left_to_others(&self) -> BTreeSet<name::Vm> {
        let known = self.fleet.known.values();
        let left = known.filter(|known| self.is_left_to_others(known));
        left.map(|known| known.endpoint.vm.clone()).collect()
    }

    /// Returns whether other entries ask an endpoint for its load, so that this one need not.
    ///
    /// One that cannot be reached is asked by everybody who lost it, and so are those that no VM list shows.
    fn is_left_to_others(&self, known: &Known) -> bool {
        let is_listed = known.endpoint.incarnation != Incarnation::default();
        is_listed
            && known.key.is_some()
            && self.shared.peers.get().is_some()
            && !self.watched.contains(&id(&known.endpoint))
    }

    fn by_id(&self, endpoint: &endpoint::Id) -> Option<&Known> {
        let known = self.fleet.known.get(&endpoint.vm);
        known.filter(|known| known.endpoint.incarnation == endpoint.incarnation)
    }
}

fn id(endpoint: &Endpoint) -> endpoint::Id {
    endpoint::Id {
        vm: endpoint.vm.clone(),
        incarnation: endpoint.incarnation,
    }
}
