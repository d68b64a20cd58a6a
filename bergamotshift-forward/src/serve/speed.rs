//! Measures the speed of endpoints by the first events of streams.

use core::cell::RefCell;
use core::time::Duration;
use std::collections::VecDeque;

use bergamotshift_core::prelude::*;
use bergamotshift_route::speed;
use ntex::http::StatusCode;

use super::Forwarder;
use super::attempt::History;
use super::job::Job;
use crate::endpoint::Endpoint;
use crate::exchange::Head;
use crate::limits::Keeper;
use crate::limits::keeper;

/// Largest share of the time to a first event that the steps of other requests are taken to account for. Without this
/// bound, an engine whose steps are shorter than assumed would seem to read at no cost.
const MAX_STEP_SHARE: f64 = 0.5;

/// Samples for the keeper of the zone, the newest ones.
#[derive(Debug, Default)]
pub(super) struct Samples(RefCell<VecDeque<(Instant, keeper::Sample)>>);

impl Samples {
    /// Adds a sample; the oldest one is dropped beyond [`keeper::MAX_SAMPLES`].
    fn push(&self, at: Instant, sample: keeper::Sample) {
        let mut samples = self.0.borrow_mut();
        if samples.len() == keeper::MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back((at, sample));
    }

    /// Removes all samples, and returns them with their ages.
    pub(super) fn take(&self, now: Instant) -> Vec<keeper::Sample> {
        let with_age = |(at, sample): (Instant, keeper::Sample)| keeper::Sample {
            age_ms: u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX),
            ..sample
        };
        self.0.borrow_mut().drain(..).map(with_age).collect()
    }
}

impl Forwarder {
    /// Applies the load that an endpoint states in an answer, and returns its pace if it states a plausible one.
    pub(super) fn apply_load(&self, job: &Job, endpoint: &Endpoint, head: &Head) -> Option<f64> {
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            // The response comes from another incarnation.
            return None;
        }
        let dialect = &self.shared.dialect;
        let view = self.shared.view.load();
        let service = view.services.get(&job.service)?;
        if service.engine.is_none() || !head.headers.contains_key(&dialect.load) {
            return None;
        }
        let Some(load) = dialect.load(&head.headers) else {
            self.shared.report_implausible(endpoint, "figures are missing");
            return None;
        };
        let now = self.shared.clock.now();
        load.pace
            .filter(|pace| self.shared.state_pace(now, service, endpoint, *pace))
    }

    /// Learns from the first event of a stream, and keeps the measurement for the keeper of the zone.
    ///
    /// Requests that fetched cached parts or waited for a slot are not measured, and neither are those whose tokens ahead
    /// are not known: their times contain more than reading. Their paces are passed on.
    pub(super) fn record_first_event(&self, job: &Job, history: &History, endpoint: &Endpoint, now: Instant) {
        let view = self.shared.view.load();
        let service = view.services.get(&job.service);
        let Some(service) = service.filter(|service| service.learns_speeds()) else {
            return;
        };
        let Some(estimate) = &history.estimate else {
            return;
        };
        let is_measured = estimate.is_measurable && job.metadata.size.is_some();
        if !is_measured && estimate.pace.is_none() {
            return;
        }
        let step_time = f64::from(estimate.ahead_running) * self.choice_settings.request_overhead;
        let elapsed = now.since(estimate.sent).as_secs_f64() * 1e3;
        let steps = (step_time * endpoint.speed.pace(now)).min(elapsed * MAX_STEP_SHARE);
        let sample = speed::Sample {
            tokens: estimate.ahead.unwrap_or_default() + estimate.to_read,
            elapsed: if is_measured {
                Duration::from_secs_f64((elapsed - steps) / 1e3)
            } else {
                Duration::ZERO
            },
            pace: estimate.pace,
        };
        self.shared.metrics.speeds.count_sample("measured");
        self.shared.record_speed(now, now, service, endpoint, &sample);
        if matches!(view.keepers.keeper, Keeper::Other(_) | Keeper::Unknown) {
            self.samples.push(now, keeper::Sample::new(endpoint.hash, &sample));
        }
    }
}
