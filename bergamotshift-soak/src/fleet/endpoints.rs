//! The endpoints of a fleet: how they come and go.

use core::time::Duration;
use std::io;
use std::sync::Arc;
use std::time::Instant;

use serde_json::json;
use smol_str::SmolStr;

use super::Fleet;
use crate::endpoint::Endpoint;
use crate::endpoint::Notice;
use crate::ledger::Leave;
use crate::ledger::Place;
use crate::ledger::Saying;
use crate::ledger::Serving;
use crate::plan::Handover;
use crate::site;
use crate::site::SERVICES;
use crate::site::VERSIONS;

/// How long a crashed endpoint stays registered.
const LAPSE: Duration = Duration::from_millis(1_200);

/// Something that is due later.
#[derive(Debug)]
pub(super) enum Later {
    /// The endpoint ends.
    End(Endpoint),
    /// The endpoint's registration goes.
    Lapse(SmolStr),
    /// The endpoint registers.
    Join(Endpoint),
    /// The endpoint leaves in order.
    Leave(Endpoint),
    /// The endpoint crashes.
    Crash(Endpoint),
    /// Operators and endpoints write again what a restored store lost.
    Rewrite,
}

impl Fleet {
    /// Starts an endpoint of a service at a place.
    pub(super) fn endpoint(
        &mut self,
        place: usize,
        service: &'static str,
        usual_pace: Option<u32>,
        version: Option<SmolStr>,
    ) -> io::Result<Endpoint> {
        self.named += 1;
        let id = site::endpoint_id(self.seed, service, self.named);
        let side = self.named / SERVICES.len() as u64 % VERSIONS;
        let version = version.unwrap_or_else(|| site::version(if self.has_versions { side + 1 } else { 1 }));
        let endpoint = Endpoint::start(id, service, version, usual_pace, Arc::clone(&self.ledger))?;
        endpoint.set_unframed(self.is_unframed);
        endpoint.set_idle(self.idle);
        self.ledger.book().places.insert(endpoint.id().clone(), place);
        for entry in &self.entries {
            if let (Some(process), Some(cut)) = (&entry.process, entry.cut) {
                endpoint.proxy.set_cut(process.id(), Some(cut));
            }
        }
        Ok(endpoint)
    }

    /// Leaves rows of another writer among the registrations: nested deeply, with a number and with a port out of range.
    pub(super) fn leave_odd_rows(&self) {
        const DEPTH: usize = 1_000;
        let mut sound = json!({"service": SERVICES[0], "address": "127.0.0.1:99999", "zone": "one", "version": "v1",
            "slots": 1, "state": "ready", "cold_left_ms": 0, "seq": 1});
        self.store.put("servers", "odd-port", &sound);
        sound["address"] = json!("127.0.0.1:1");
        sound["slots"] = json!(u64::MAX);
        self.store.put("servers", "odd-number", &sound);
        let nested = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
        self.store.put_bytes("servers", "odd-depth", nested.as_bytes());
    }

    /// Registers an endpoint.
    pub(super) fn join(&self, endpoint: &Endpoint) {
        self.store.register(&endpoint.registration("one", false));
        let from = self.ledger.now();
        self.ledger.book().serving.push(Serving {
            endpoint: endpoint.id().clone(),
            service: endpoint.service(),
            version: endpoint.version().clone(),
            from,
            until: None,
        });
    }

    /// Replaces an endpoint by one that is not registered; returns the former.
    fn replace(&mut self, place: usize, version: Option<SmolStr>) -> io::Result<Endpoint> {
        let old = &self.endpoints[place];
        let (service, usual_pace) = (old.service(), old.engine().map(|engine| engine.usual));
        let same = (!self.has_versions).then(|| old.version().clone());
        let next = self.endpoint(place, service, usual_pace, version.or(same))?;
        let old = core::mem::replace(&mut self.endpoints[place], next);
        let joins = |what: &Later| matches!(what, Later::Join(endpoint) if endpoint.id() == old.id());
        self.later.retain(|(_, what)| !joins(what));
        Ok(old)
    }

    /// Replaces an endpoint by one of a version; one joins and the other goes in the order of the handover.
    pub(super) fn hand_over(&mut self, place: usize, version: u64, handover: Handover) -> io::Result<()> {
        let old = self.replace(place, Some(site::version(version)))?;
        let now = Instant::now();
        let next = Later::Join(self.endpoints[place].clone());
        self.later.push((now + handover.joins, next));
        let what = if handover.crashes {
            Later::Crash(old)
        } else {
            Later::Leave(old)
        };
        self.later.push((now + handover.goes, what));
        Ok(())
    }

    /// Has an endpoint say something of itself from now on; one that leaves says so up to its end.
    pub(super) fn say(&mut self, place: usize, notice: Notice) {
        if self.endpoints[place].says() == Notice::Leaves {
            return;
        }
        self.ledger.end(Place::Endpoint(place), "notice");
        if notice != Notice::Quiet {
            self.ledger.begin(Place::Endpoint(place), "notice", false);
        }
        let endpoint = &self.endpoints[place];
        endpoint.say(notice);
        let from = self.ledger.now();
        let mut book = self.ledger.book();
        let open = book.sayings.iter_mut().filter(|saying| saying.until.is_none());
        for saying in open.filter(|saying| saying.endpoint == *endpoint.id()) {
            saying.until = Some(from);
        }
        book.sayings.push(Saying {
            endpoint: endpoint.id().clone(),
            notice,
            from,
            until: None,
        });
    }

    pub(super) fn crash(&mut self, place: usize) -> io::Result<()> {
        let old = self.replace(place, None)?;
        self.join(&self.endpoints[place]);
        self.end(&old);
        Ok(())
    }

    /// Crashes an endpoint that has been replaced.
    pub(super) fn end(&mut self, old: &Endpoint) {
        self.note(old, "crash", false);
        old.crash();
        let lapse = Later::Lapse(old.id().clone());
        self.later.push((Instant::now() + LAPSE, lapse));
    }

    /// Notes what becomes of an endpoint that serves no more.
    fn note(&self, old: &Endpoint, what: &'static str, is_planned: bool) {
        let now = self.ledger.now();
        let mut book = self.ledger.book();
        book.end_serving(old.id(), now);
        let place = book.places.get(old.id()).copied();
        drop(book);
        if let Some(place) = place {
            self.ledger.note(Place::Endpoint(place), what, is_planned);
        }
    }

    pub(super) fn leave(&mut self, place: usize) -> io::Result<()> {
        let old = self.replace(place, None)?;
        self.join(&self.endpoints[place]);
        self.retire(old);
        Ok(())
    }

    /// Lets an endpoint that has been replaced leave in order.
    pub(super) fn retire(&mut self, old: Endpoint) {
        self.note(&old, "leave", true);
        self.store.register(&old.registration("one", true));
        let acknowledged = self.ledger.now();
        self.ledger.book().leaves.push(Leave {
            endpoint: old.id().clone(),
            acknowledged,
        });
        let now = Instant::now();
        self.later.push((now + self.leaving, Later::Lapse(old.id().clone())));
        self.later.push((now + self.leaving, Later::End(old)));
    }
}
