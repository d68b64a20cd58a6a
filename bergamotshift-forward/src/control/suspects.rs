//! Requests that are suspected of crashing endpoints: deaths that this entry sees, and those that other entries know.

use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::quarantine::Death;
use bergamotshift_limit::quarantine::Suspicion;
use slog::info;

use super::inner::Inner;
use super::inner::instance;
use crate::endpoint::Endpoint;
use crate::observe::Topic;
use crate::view::Shared;

/// Returns a fingerprint as log lines show it.
fn digits(fingerprint: Fingerprint) -> String {
    format!("{:032x}", fingerprint.get())
}

impl Inner {
    /// Records that an endpoint died while it was running a request of this entry.
    pub(super) fn record_death(
        &mut self,
        now: Instant,
        shared: &Shared,
        endpoint: &Endpoint,
        fingerprint: Fingerprint,
        is_confirmed: bool,
    ) {
        let instance = instance(endpoint);
        let vm = instance.vm.clone();
        self.quarantine
            .record_version(now, instance.clone(), Some(endpoint.version_digest()));
        let running = vec![fingerprint];
        if is_confirmed {
            let death = Death {
                instance,
                announced: false,
                running,
            };
            self.quarantine.record_death(now, death);
        } else {
            self.quarantine.record_unconfirmed(now, &instance, &running);
        }
        self.quarantine.apply_answers(&shared.completed);
        shared.metrics.endpoint_deaths.inc();
        let tally = self.quarantine.tally(fingerprint);
        info!(shared.log.always(), "endpoint ended with a request"; "endpoint" => vm.as_str(),
            "fingerprint" => digits(fingerprint), "confirmed" => is_confirmed, "counted" => tally.counted, "correlated" => tally.correlated,
            "forgiven" => tally.forgiven, "excused" => tally.excused,
            "unconfirmed" => tally.unconfirmed, "removed" => tally.removed);
        self.publish_suspects(now, shared, "death");
    }

    /// Merges the suspicions of another entry.
    pub(super) fn merge_suspicions(&mut self, now: Instant, shared: &Shared, suspicions: &[Suspicion], from: &str) {
        if suspicions.is_empty() {
            return;
        }
        self.quarantine.merge(now, suspicions);
        for (died, ..) in suspicions.iter().flat_map(|suspicion| &suspicion.deaths) {
            if self.quarantine.knows_version(died) {
                continue;
            }
            if let Some(endpoint) = self.directory.endpoints().find(|endpoint| instance(endpoint) == *died) {
                let version = Some(endpoint.version_digest());
                self.quarantine.record_version(now, died.clone(), version);
            }
        }
        self.quarantine.apply_answers(&shared.completed);
        self.publish_suspects(now, shared, from);
    }

    /// Excuses deaths after which the same requests were answered whole, and publishes what follows.
    pub(super) fn apply_answers(&mut self, now: Instant, shared: &Shared) {
        if self.quarantine.apply_answers(&shared.completed) {
            self.publish_suspects(now, shared, "answer");
        }
    }

    /// Records that an endpoint stopped accepting requests, by an announcement or because its registration was removed.
    pub(super) fn record_departure(&mut self, now: Instant, shared: &Shared, endpoint: &Endpoint) {
        let instance = instance(endpoint);
        if self.directory.has_announced(endpoint) {
            self.quarantine.announce(now, instance);
            self.log_quarantined(now, shared, "announcement");
        } else {
            self.quarantine.record_removal(now, instance);
        }
    }

    /// Records that endpoints have registered again, so that their deaths count.
    pub(super) fn record_returns(&mut self, now: Instant, shared: &Shared) {
        for endpoint in self.directory.take_returned() {
            self.quarantine.record_return(&instance(&endpoint));
            if let Some((logger, left_out)) = shared.log.rate_limited(now, Topic::State) {
                info!(logger, "endpoint returns"; "endpoint" => endpoint.registration.id.as_str(),
                    "service" => endpoint.registration.service.as_str(), "left_out" => left_out);
            }
        }
    }

    /// Publishes which requests are suspected, and logs which ones are refused since the last call, or no longer.
    fn publish_suspects(&mut self, now: Instant, shared: &Shared, from: &str) {
        self.log_quarantined(now, shared, from);
        self.publish(shared);
    }

    /// Logs which requests are refused since the last call, or no longer.
    pub(super) fn log_quarantined(&mut self, now: Instant, shared: &Shared, from: &str) {
        let table = self.quarantine.table();
        let refused: BTreeSet<Fingerprint> = table.refused(now).collect();
        shared.metrics.suspected.set(table.len() as i64);
        shared.metrics.quarantined.set(refused.len() as i64);
        for fingerprint in refused.symmetric_difference(&self.quarantined) {
            let Some((logger, left_out)) = shared.log.rate_limited(now, Topic::State) else {
                continue;
            };
            let tally = self.quarantine.tally(*fingerprint);
            let verdict = if refused.contains(fingerprint) {
                "refused"
            } else {
                "admitted"
            };
            info!(logger, "suspicion changed"; "fingerprint" => digits(*fingerprint), "verdict" => verdict,
                "from" => from, "counted" => tally.counted, "correlated" => tally.correlated,
                "forgiven" => tally.forgiven, "excused" => tally.excused, "unconfirmed" => tally.unconfirmed,
                "removed" => tally.removed, "left_out" => left_out);
        }
        self.quarantined = refused;
    }
}
