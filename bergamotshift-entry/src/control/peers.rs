//! Exchange with other entries: handles their events and announces this entry's observations.

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
use super::fleet::Record;
use super::state::Due;
use crate::peers::Event;
use crate::peers::Request;
use crate::snapshot::Endpoint;

impl State {
    /// Handles an event from the fleet task.
    pub(super) fn handle_peer_event(&mut self, event: Event) {
        match event {
            Event::Marked(mark) => self.handle_mark(&mark),
            Event::Watching(endpoint, true) => {
                self.watched.insert(endpoint);
            }
            Event::Watching(endpoint, false) => {
                self.watched.remove(&endpoint);
            }
            Event::LoadReceived { endpoint, report, age } => {
                let at = self.shared.now() - age;
                let key = self.find_by_id(&endpoint).and_then(|record| record.key);
                if let Some(key) = key {
                    let _ = self.fleet.registry.record_report(key, report, at);
                    self.schedule(Due::Tick);
                }
            }
            Event::NoteReceived { note, .. } => self.handle_note(&note),
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

    /// Marks an endpoint as leaving that another entry announced.
    fn handle_mark(&mut self, mark: &mark::Mark) {
        let Some(record) = self.find_by_id(&mark.endpoint) else {
            return;
        };
        let endpoint = std::sync::Arc::clone(&record.endpoint);
        if self.fleet.mark_leaving(&endpoint) {
            info!(self.shared.settings.logger, "another entry says that an endpoint leaves";
                "vm" => endpoint.vm.as_str());
            self.record_announcement(&endpoint);
            self.schedule(Due::Now);
        }
    }

    /// Merges another entry's suspicions; notes on other topics are ignored.
    fn handle_note(&mut self, note: &note::Note) {
        if note.topic == note::Topic::PARTS {
            self.handle_part_note(note);
            return;
        }
        if note.topic != note::Topic::QUARANTINE {
            return;
        }
        let mut suspicion = match postcard::from_bytes::<Suspicion>(&note.body) {
            Ok(suspicion) => suspicion,
            Err(error) => {
                warn!(self.shared.settings.logger, "a suspicion cannot be decoded"; "error" => %error);
                return;
            }
        };
        for (_, age, _) in &mut suspicion.deaths {
            *age += core::time::Duration::from_secs(u64::from(note.age_s));
        }
        self.quarantine.merge(self.shared.now(), &[suspicion]);
        self.schedule(Due::Now);
    }

    /// Announces this entry's suspicions to the other entries.
    ///
    /// A suspicion that is unchanged has the same key and version, so its announcement is not repeated.
    pub(super) fn share_suspicions(&self) {
        let Some(peers) = self.shared.peers.get() else { return };
        for suspicion in self.quarantine.suspicions(self.shared.now()) {
            for death in suspicion.deaths {
                let (instance, _, attribution) = &death;
                let hash = xxh3_64_with_seed(instance.vm.as_str().as_bytes(), instance.incarnation.get());
                let version = match attribution {
                    Attribution::Unconfirmed => 1,
                    Attribution::Counted => 2,
                    Attribution::Forgiven => 3,
                    Attribution::Excused => 4,
                };
                let key = suspicion.fingerprint.get() ^ u128::from(hash);
                let single = Suspicion {
                    fingerprint: suspicion.fingerprint,
                    deaths: vec![death],
                };
                let body = match postcard::to_stdvec(&single) {
                    Ok(body) => body,
                    Err(error) => {
                        warn!(self.shared.settings.logger, "a suspicion cannot be encoded"; "error" => %error);
                        continue;
                    }
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

    /// Announces to the other entries that an endpoint is leaving.
    pub(super) fn announce_leaving(&self, endpoint: &Endpoint, source: mark::Source, notice_ms: Option<u64>) {
        let Some(peers) = self.shared.peers.get() else { return };
        peers.send(Request::EndpointLeaving {
            endpoint: id(endpoint),
            source,
            notice_ms: notice_ms.and_then(|notice| u32::try_from(notice).ok()),
        });
    }

    /// Handles the platform's VM list and announces it to the other entries.
    pub(super) fn handle_list(&mut self, listings: &[Listing]) {
        self.announce_list(listings);
        self.entry_count = listings.iter().filter(|vm| vm.role == Role::Entry).count();
        for vm in listings {
            self.handle_listing(vm);
        }
    }

    /// Handles the platform's notices and announces them to the other entries.
    pub(super) fn handle_notices(&mut self, notices: &[Notice]) {
        for notice in notices {
            self.announce_notice(&notice.vm);
            self.handle_listing(&notice.vm);
        }
    }

    /// Announces an endpoint that is leaving according to a notice.
    fn announce_notice(&self, listing: &Listing) {
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

    /// Announces the VM list.
    fn announce_list(&self, listings: &[Listing]) {
        if let Some(peers) = self.shared.peers.get() {
            peers.send(Request::VmsListed(listings.to_vec()));
        }
    }

    /// Announces the load of an endpoint, if this entry watches it for the others.
    pub(super) fn announce_load(&self, endpoint: &Endpoint, report: Report) {
        let endpoint = id(endpoint);
        if let Some(peers) = self.shared.peers.get().filter(|_| self.watched.contains(&endpoint)) {
            peers.send(Request::LoadReported { endpoint, report });
        }
    }

    /// Returns the endpoints that other entries probe, so that this entry does not have to.
    pub(super) fn probed_by_others(&self) -> BTreeSet<name::Vm> {
        let records = self.fleet.records.values();
        let probed = records.filter(|record| self.is_probed_by_others(record));
        probed.map(|record| record.endpoint.vm.clone()).collect()
    }

    /// Returns whether other entries probe an endpoint, so that this entry does not have to.
    ///
    /// An unreachable endpoint is probed by every entry that lost it, and one that no VM list contains by all entries.
    fn is_probed_by_others(&self, record: &Record) -> bool {
        let is_listed = record.endpoint.incarnation != Incarnation::default();
        is_listed
            && record.key.is_some()
            && self.shared.peers.get().is_some()
            && !self.watched.contains(&id(&record.endpoint))
    }

    fn find_by_id(&self, endpoint: &endpoint::Id) -> Option<&Record> {
        let record = self.fleet.records.get(&endpoint.vm);
        record.filter(|record| record.endpoint.incarnation == endpoint.incarnation)
    }
}

fn id(endpoint: &Endpoint) -> endpoint::Id {
    endpoint::Id {
        vm: endpoint.vm.clone(),
        incarnation: endpoint.incarnation,
    }
}
