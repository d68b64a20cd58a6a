//! Finds out what became of an endpoint whose attempt broke, and what follows for the work that ran there.

use std::sync::Arc;

use bergamotshift_core::load;
use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::answer::Failure;
use bergamotshift_fleet::mark;
use bergamotshift_limit::quarantine;
use bergamotshift_limit::quarantine::Death;
use slog::info;
use slog::warn;

use super::State;
use super::Verdict;
use super::state::Due;
use crate::snapshot::Endpoint;
use crate::watch::Waiting;

impl State {
    /// Finds out what became of an endpoint whose attempt broke.
    ///
    /// A broken attempt alone does not say whether the endpoint died: it may have cut this one exchange. Asking it
    /// again tells, and only a death counts against the work that ran there.
    pub(super) fn broken(&mut self, endpoint: Arc<Endpoint>, connected: bool, waiting: Waiting) {
        let announced = self.fleet.find(&endpoint).is_some_and(|known| known.leaving);
        if announced {
            let _ = waiting.answer.send(Verdict { announced, dead: false });
            return;
        }
        if connected {
            let finished = self.finished(&endpoint);
            if self.fleet.fault(&endpoint, finished, self.shared.now()) {
                warn!(self.shared.settings.logger, "endpoint is suspended"; &*endpoint);
                self.due(Due::Now);
            }
            self.ask(endpoint, Some(waiting));
            return;
        }
        self.died(&endpoint, None);
        // The snapshot goes first, so that the worker's next choice already knows.
        self.publish();
        let _ = waiting.answer.send(Verdict { announced, dead: true });
    }

    pub(super) fn probed(
        &mut self,
        endpoint: &Arc<Endpoint>,
        report: &Result<load::Report, Failure>,
        waiting: Option<Waiting>,
    ) {
        let (fingerprint, answer) = match waiting {
            Some(waiting) => (Some(waiting.fingerprint), Some(waiting.answer)),
            None => (None, None),
        };
        if let Some(known) = self.fleet.find(endpoint) {
            known.asked = false;
        }
        let dead = matches!(report, Err(Failure::Connect(_)));
        match report {
            Ok(report) => self.reported(endpoint, *report),
            Err(Failure::Connect(_)) => self.died(endpoint, fingerprint),
            // Something answers there, if only to say that it gives no reports.
            Err(Failure::Malformed(_) | Failure::Mismatch) => self.regain(endpoint),
            // It takes connections and answers nothing: it is not dead, and of no use until it answers again.
            Err(_) => {
                if self.fleet.lose(endpoint) {
                    warn!(self.shared.settings.logger, "endpoint does not answer"; &**endpoint);
                    self.due(Due::Now);
                }
            }
        }
        self.publish();
        if let Some(answer) = answer {
            let announced = self.fleet.find(endpoint).is_some_and(|known| known.leaving);
            let _ = answer.send(Verdict { announced, dead });
        }
    }

    fn reported(&mut self, endpoint: &Endpoint, report: load::Report) {
        if report.leaving && self.fleet.leave(endpoint) {
            info!(self.shared.settings.logger, "endpoint says that it leaves"; endpoint);
            self.announced(endpoint);
            self.tell_leaving(endpoint, mark::Source::Endpoint, None);
            self.due(Due::Now);
        }
        self.tell_load(endpoint, report);
        self.regain(endpoint);
        let key = self.fleet.find(endpoint).and_then(|known| known.key);
        if let Some(key) = key {
            let _ = self.fleet.registry.record_report(key, report, self.shared.now());
            self.due(Due::Tick);
        }
    }

    fn regain(&mut self, endpoint: &Endpoint) {
        if self.fleet.regain(&self.config, endpoint, self.shared.now()) {
            info!(self.shared.settings.logger, "endpoint is reached again"; endpoint);
            self.due(Due::Now);
        }
    }

    /// Returns how many attempts of this entry have ended at an endpoint.
    fn finished(&mut self, endpoint: &Endpoint) -> u32 {
        let key = self.fleet.find(endpoint).and_then(|known| known.key);
        let snapshot = self.shared.publisher.current();
        let row = key.and_then(|key| snapshot.view.find(key));
        row.map_or(0, |row| row.counter().totals().finished)
    }

    pub(super) fn announced(&mut self, endpoint: &Endpoint) {
        let victim = self.fleet.find(endpoint).map(|known| known.victim());
        if let Some(victim) = victim {
            self.quarantine.announce(self.shared.now(), victim);
        }
    }

    /// Notes that nothing listens at an endpoint, and looks whether its neighbours are still there.
    ///
    /// Failure: a zone is lost at once and each of its requests is next to a death. Symptom: innocent requests are
    /// suspected. Neighbours that died too show a common cause, so they are asked before anybody is refused.
    fn died(&mut self, endpoint: &Endpoint, fingerprint: Option<Fingerprint>) {
        let Some(known) = self.fleet.find(endpoint) else { return };
        let death = Death {
            instance: known.victim(),
            announced: known.leaving,
            running: fingerprint.into_iter().collect(),
        };
        let news = self.fleet.lose(endpoint);
        if !news && death.running.is_empty() {
            return;
        }
        self.quarantine.record_death(self.shared.now(), death);
        self.tell_suspicion(endpoint, fingerprint);
        self.share_suspicions();
        self.due(Due::Now);
        if !news {
            return;
        }
        warn!(self.shared.settings.logger, "endpoint cannot be reached"; endpoint);
        let now = self.shared.now();
        for neighbour in self.fleet.known.values_mut() {
            if neighbour.endpoint.zone == endpoint.zone && neighbour.key.is_some() {
                neighbour.due = now;
            }
        }
    }

    /// Logs what follows from a death for the work that ran there.
    fn tell_suspicion(&self, endpoint: &Endpoint, fingerprint: Option<Fingerprint>) {
        let Some(fingerprint) = fingerprint else { return };
        let logger = &self.shared.settings.logger;
        let work = format!("{:032x}", fingerprint.get());
        match self.quarantine.table().verdict(self.shared.now(), fingerprint) {
            quarantine::Verdict::Clear => {}
            quarantine::Verdict::Alone => {
                warn!(logger, "request is suspected of killing its endpoint"; "fingerprint" => work, endpoint);
            }
            quarantine::Verdict::Refused { retry_after } => {
                let seconds = retry_after.as_secs();
                warn!(logger, "request is quarantined"; "fingerprint" => work, "for_s" => seconds, endpoint);
            }
        }
    }
}
