//! Handling of failed attempts: determines whether the endpoint is dead, and attributes its death to the requests that
//! ran there.

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
use crate::watch::Waiter;

impl State {
    /// Determines the state of an endpoint after a failed attempt and sends the verdict.
    ///
    /// A failed attempt alone does not show that the endpoint is dead: it may have closed only this connection. The
    /// endpoint is therefore probed, and only a death counts against the request that ran there.
    pub(super) fn handle_failed_attempt(&mut self, endpoint: Arc<Endpoint>, connected: bool, waiter: Waiter) {
        let announced = self.fleet.find(&endpoint).is_some_and(|record| record.leaving);
        if announced {
            let _ = waiter.answer.send(Verdict { announced, dead: false });
            return;
        }
        if connected {
            let finished = self.finished_attempts(&endpoint);
            if self.fleet.record_failure(&endpoint, finished, self.shared.now()) {
                warn!(self.shared.settings.logger, "endpoint is suspended"; &*endpoint);
                self.schedule(Due::Now);
            }
            self.probe(endpoint, Some(waiter));
            return;
        }
        self.handle_death(&endpoint, None);
        // The snapshot is published first, so that the worker does not choose the dead endpoint again.
        self.publish();
        let _ = waiter.answer.send(Verdict { announced, dead: true });
    }

    /// Handles the result of a load probe and sends the verdict to the worker that waits for it, if any.
    pub(super) fn handle_probe(
        &mut self,
        endpoint: &Arc<Endpoint>,
        report: &Result<load::Report, Failure>,
        waiter: Option<Waiter>,
    ) {
        let (fingerprint, parts, answer) = match waiter {
            Some(waiter) => (Some(waiter.fingerprint), waiter.parts, Some(waiter.answer)),
            None => (None, Vec::new(), None),
        };
        if let Some(record) = self.fleet.find(endpoint) {
            record.is_probing = false;
        }
        let dead = matches!(report, Err(Failure::Connect(_)));
        match report {
            Ok(report) => self.handle_report(endpoint, *report),
            Err(Failure::Connect(_)) => {
                self.handle_death(endpoint, fingerprint);
                self.record_lost_parts(endpoint, &parts, true);
            }
            // An invalid answer still shows that the endpoint is alive; it may not support load reports.
            Err(Failure::Malformed(_) | Failure::Mismatch) => self.mark_reachable(endpoint),
            // The endpoint accepts connections but does not answer: it may live, but gets no requests until it answers
            // again.
            Err(failure) => {
                if self.fleet.mark_unreachable(endpoint) {
                    warn!(self.shared.settings.logger, "endpoint does not answer"; &**endpoint);
                    self.schedule(Due::Now);
                }
                if matches!(failure, Failure::Broken(_)) {
                    self.record_unconfirmed_death(endpoint, fingerprint);
                    self.record_lost_parts(endpoint, &parts, false);
                }
            }
        }
        self.publish();
        if let Some(answer) = answer {
            let announced = self.fleet.find(endpoint).is_some_and(|record| record.leaving);
            let _ = answer.send(Verdict { announced, dead });
        }
    }

    /// Handles an endpoint's load report and forwards it to the other entries.
    fn handle_report(&mut self, endpoint: &Endpoint, report: load::Report) {
        if report.leaving && self.fleet.mark_leaving(endpoint) {
            info!(self.shared.settings.logger, "endpoint says that it leaves"; endpoint);
            self.record_announcement(endpoint);
            self.announce_leaving(endpoint, mark::Source::Endpoint, None);
            self.schedule(Due::Now);
        }
        self.announce_load(endpoint, report);
        self.mark_reachable(endpoint);
        let key = self.fleet.find(endpoint).and_then(|record| record.key);
        if let Some(key) = key {
            let _ = self.fleet.registry.record_report(key, report, self.shared.now());
            self.schedule(Due::Tick);
        }
    }

    /// Puts an endpoint that answered back into routing, unless it is suspended.
    fn mark_reachable(&mut self, endpoint: &Endpoint) {
        if self.fleet.mark_reachable(&self.config, endpoint, self.shared.now()) {
            info!(self.shared.settings.logger, "endpoint is reached again"; endpoint);
            self.schedule(Due::Now);
        }
    }

    /// Returns the number of this entry's attempts that have ended at an endpoint.
    fn finished_attempts(&mut self, endpoint: &Endpoint) -> u32 {
        let key = self.fleet.find(endpoint).and_then(|record| record.key);
        let snapshot = self.shared.publisher.current();
        let row = key.and_then(|key| snapshot.view.find(key));
        row.map_or(0, |row| row.counter().totals().finished)
    }

    /// Records that an endpoint's end was announced, so that its death counts against no request.
    pub(super) fn record_announcement(&mut self, endpoint: &Endpoint) {
        let instance = self.fleet.find(endpoint).map(|record| record.instance());
        if let Some(instance) = instance {
            self.quarantine.announce(self.shared.now(), instance);
        }
    }

    /// Records the death of an endpoint and schedules probes of the other endpoints in its zone.
    ///
    /// The loss of a whole zone would otherwise cast suspicion on every request that ran there. Deaths of other
    /// endpoints in the zone show a common cause, so these endpoints are probed at the next tick, before requests are
    /// refused.
    fn handle_death(&mut self, endpoint: &Endpoint, fingerprint: Option<Fingerprint>) {
        let Some(record) = self.fleet.find(endpoint) else {
            return;
        };
        let death = Death {
            instance: record.instance(),
            announced: record.leaving,
            running: fingerprint.into_iter().collect(),
        };
        let is_new = self.fleet.mark_unreachable(endpoint);
        if !is_new && death.running.is_empty() {
            return;
        }
        let now = self.shared.now();
        self.quarantine
            .record_version(now, death.instance.clone(), endpoint.statement.digest(now));
        self.quarantine.record_death(now, death);
        self.quarantine.apply_answers(&self.shared.completed);
        self.log_verdict(endpoint, fingerprint);
        self.share_suspicions();
        self.schedule(Due::Now);
        if !is_new {
            return;
        }
        warn!(self.shared.settings.logger, "endpoint cannot be reached"; endpoint);
        let now = self.shared.now();
        for neighbour in self.fleet.records.values_mut() {
            if neighbour.endpoint.zone == endpoint.zone && neighbour.key.is_some() {
                neighbour.next_probe = now;
            }
        }
    }

    /// Records that an endpoint may have died with a request: connections to it are accepted and cut, which something on the path
    /// may do.
    fn record_unconfirmed_death(&mut self, endpoint: &Endpoint, fingerprint: Option<Fingerprint>) {
        let instance = self.fleet.find(endpoint).map(|record| record.instance());
        let (Some(instance), Some(fingerprint)) = (instance, fingerprint) else {
            return;
        };
        let now = self.shared.now();
        self.quarantine
            .record_version(now, instance.clone(), endpoint.statement.digest(now));
        self.quarantine.record_unconfirmed(now, &instance, &[fingerprint]);
        self.quarantine.apply_answers(&self.shared.completed);
        self.log_verdict(endpoint, Some(fingerprint));
        self.share_suspicions();
        self.schedule(Due::Now);
    }

    /// Logs the quarantine's verdict on the request that ran at a dead endpoint.
    fn log_verdict(&self, endpoint: &Endpoint, fingerprint: Option<Fingerprint>) {
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
