//! The endpoints of a fleet: how they come and go.

use core::time::Duration;
use std::io;
use std::sync::Arc;
use std::time::Instant;

use smol_str::SmolStr;

use super::Fleet;
use crate::endpoint::Endpoint;
use crate::endpoint::Notice;
use crate::ledger::Leave;
use crate::ledger::Place;
use crate::ledger::Saying;
use crate::site;
use crate::site::SERVICES;
use crate::site::VERSIONS;

/// How long an endpoint that leaves goes on serving.
const LEAVING: Duration = Duration::from_secs(3);

/// How long a crashed endpoint stays registered.
const LAPSE: Duration = Duration::from_millis(1_200);

/// Something that is due later.
#[derive(Debug)]
pub(super) enum Later {
    /// The endpoint ends.
    End(Endpoint),
    /// The endpoint's registration goes.
    Lapse(SmolStr),
    /// Operators and endpoints write again what a restored store lost.
    Rewrite,
}

impl Fleet {
    /// Starts an endpoint of a service at a place and registers it.
    pub(super) fn endpoint(
        &mut self,
        place: usize,
        service: &'static str,
        usual_pace: Option<u32>,
    ) -> io::Result<Endpoint> {
        self.named += 1;
        let id = site::endpoint_id(self.seed, service, self.named);
        let version = if self.has_versions {
            VERSIONS[self.named as usize / SERVICES.len() % VERSIONS.len()]
        } else {
            VERSIONS[0]
        };
        let endpoint = Endpoint::start(id, service, version, usual_pace, Arc::clone(&self.ledger))?;
        endpoint.set_unframed(self.is_unframed);
        self.ledger.book().places.insert(endpoint.id().clone(), place);
        for entry in &self.entries {
            if let (Some(process), Some(cut)) = (&entry.process, entry.cut) {
                endpoint.proxy.set_cut(process.id(), Some(cut));
            }
        }
        self.store.register(&endpoint.registration("one", false));
        Ok(endpoint)
    }

    pub(super) fn replace(&mut self, place: usize) -> io::Result<Endpoint> {
        let old = &self.endpoints[place];
        let (service, usual_pace) = (old.service(), old.engine().map(|engine| engine.usual));
        let next = self.endpoint(place, service, usual_pace)?;
        Ok(core::mem::replace(&mut self.endpoints[place], next))
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
        self.ledger.note(Place::Endpoint(place), "crash", false);
        let old = self.replace(place)?;
        old.crash();
        let lapse = Later::Lapse(old.id().clone());
        self.later.push((Instant::now() + LAPSE, lapse));
        Ok(())
    }

    pub(super) fn leave(&mut self, place: usize) -> io::Result<()> {
        self.ledger.note(Place::Endpoint(place), "leave", true);
        let old = self.replace(place)?;
        self.store.register(&old.registration("one", true));
        let acknowledged = self.ledger.now();
        self.ledger.book().leaves.push(Leave {
            endpoint: old.id().clone(),
            acknowledged,
        });
        let now = Instant::now();
        self.later.push((now + LEAVING, Later::Lapse(old.id().clone())));
        self.later.push((now + LEAVING, Later::End(old)));
        Ok(())
    }
}
