//! Learned speeds of endpoints, from answers to this entry and from samples of the zone's entries.

use bergamotshift_core::prelude::*;
use bergamotshift_route::speed::Sample;
use slog::info;

use super::Service;
use super::Shared;
use crate::endpoint::Endpoint;
use crate::limits::keeper;
use crate::observe::Topic;
use crate::settings::Learn;

impl Shared {
    /// Records the pace that an endpoint of a service stated at `at`, in percent of the usual time; returns whether it is
    /// plausible.
    pub fn state_pace(&self, at: Instant, service: &Service, endpoint: &Endpoint, percent: f64) -> bool {
        if service.engine.is_none() || service.learn == Learn::Never {
            return false;
        }
        if !endpoint.speed.state_pace(at, percent) {
            self.report_implausible(endpoint, "the pace is out of range");
            return false;
        }
        if service.typical.mark_paced() {
            self.metrics.speeds.count_change("paced");
            let registration = &endpoint.registration;
            info!(self.log.always(), "speeds are learned"; "service" => registration.service.as_str(),
                "endpoint" => registration.id.as_str(), "pace" => percent);
        }
        true
    }

    /// Logs, once per incarnation, that an endpoint stated a load that cannot be used.
    pub fn report_implausible(&self, endpoint: &Endpoint, cause: &str) {
        if !endpoint.speed.mark_reported() {
            return;
        }
        self.metrics.speeds.count_change("implausible");
        info!(self.log.always(), "stated load ignored"; "endpoint" => endpoint.registration.id.as_str(),
            "cause" => cause);
    }

    /// Learns from a measurement that was made at `at` at an endpoint of a service, if speeds are learned for it.
    pub fn record_speed(&self, now: Instant, at: Instant, service: &Service, endpoint: &Endpoint, sample: &Sample) {
        let Some(typical) = service.learned() else {
            return;
        };
        typical.record(at, &endpoint.speed, sample);
        let name = &endpoint.registration.service;
        if let Some((token_time, overhead)) = typical.take_change() {
            self.metrics.speeds.count_change("service");
            self.metrics.speeds.set(name, 1.0 / token_time, overhead);
            if let Some((logger, left_out)) = self.log.rate_limited(now, Topic::State) {
                info!(logger, "speed of a service changed"; "service" => name.as_str(),
                    "tokens_per_ms" => 1.0 / token_time, "overhead_ms" => overhead, "samples" => typical.samples(),
                    "endpoint" => endpoint.registration.id.as_str(), "tokens" => sample.tokens,
                    "elapsed_ms" => sample.elapsed.as_millis() as u64, "pace" => sample.pace,
                    "age_ms" => now.since(at).as_millis() as u64, "left_out" => left_out);
            }
        }
        if let Some(lasting) = endpoint.speed.take_change() {
            self.metrics.speeds.count_change("endpoint");
            if let Some((logger, left_out)) = self.log.rate_limited(now, Topic::State) {
                info!(logger, "speed of an endpoint changed"; "endpoint" => endpoint.registration.id.as_str(),
                    "service" => name.as_str(), "lasting_pace" => lasting, "current_pace" => endpoint.speed.pace(now),
                    "tokens" => sample.tokens, "elapsed_ms" => sample.elapsed.as_millis() as u64,
                    "pace" => sample.pace, "age_ms" => now.since(at).as_millis() as u64, "left_out" => left_out);
            }
        }
    }

    /// Learns from the samples that an entry of the zone sent to this one as its keeper.
    pub fn record_samples(&self, now: Instant, view: &super::View, samples: &[keeper::Sample]) {
        for sample in samples.iter().take(keeper::MAX_SAMPLES) {
            let Some(age) = sample.age() else {
                self.metrics.speeds.count_sample("late");
                continue;
            };
            let endpoint = view.endpoint(sample.endpoint);
            let found = endpoint.and_then(|one| Some((one, view.services.get(&one.registration.service)?)));
            let Some((endpoint, service)) = found else {
                self.metrics.speeds.count_sample("unknown");
                continue;
            };
            self.metrics.speeds.count_sample("received");
            let at = now - age;
            let pace = sample.pace.filter(|pace| self.state_pace(at, service, endpoint, *pace));
            let sample = Sample {
                pace,
                ..sample.measured()
            };
            self.record_speed(now, at, service, endpoint, &sample);
        }
    }
}
