//! Records the outcome of requests in metrics and in the log.

use bergamotshift_core::prelude::*;
use ntex::http::StatusCode;
use slog::info;
use smol_str::SmolStr;

use super::Forwarder;
use super::attempt::History;
use super::job::Job;
use super::refusal::Reason;
use super::refusal::Refusal;
use crate::dialect::Metadata;
use crate::document::Organisation;
use crate::exchange::Failure;
use crate::observe::Topic;

impl Forwarder {
    /// Records that the response to a request began.
    pub(super) fn record_start(&self, job: &Job) {
        let now = self.shared.clock.now();
        self.shared
            .metrics
            .latency
            .observe(now.since(job.arrived).as_secs_f64());
        if let Some(organisation) = &job.organisation {
            self.shared.tally.count(organisation);
        }
    }

    /// Records a request whose caller gets an endpoint's complete response.
    pub(super) fn record_served(&self, job: &Job, history: &History, status: StatusCode) {
        let outcome = if status.is_success() {
            self.shared
                .completed
                .record(self.shared.clock.now(), job.content.fingerprint);
            self.record_answered(job);
            "served"
        } else {
            "endpoint_failed"
        };
        self.shared.metrics.count_request(&job.route.name, outcome);
        let now = self.shared.clock.now();
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Served) {
            info!(logger, "request ended"; "request" => job.metadata.id.as_str(), "route" => job.route.name.as_str(),
                "service" => job.service.as_str(), "status" => status.as_u16(), "outcome" => outcome,
                "sends" => history.sends, "ms" => now.since(job.arrived).as_millis() as u64,
                "first_ms" => history.pace.first_ms(job.arrived), "pause_ms" => history.pace.pause_ms(),
                "parts" => Metadata::part_ids(&job.metadata.parts),
                "endpoint" => history.estimate.as_ref().map(|estimate| estimate.endpoint.as_str()),
                "expected_ms" => history.estimate.as_ref().map(|estimate| estimate.expected_ms),
                "running" => history.estimate.as_ref().map(|estimate| estimate.running),
                "unread" => history.estimate.as_ref().map(|estimate| estimate.unread),
                "to_read" => history.estimate.as_ref().map(|estimate| estimate.to_read),
                "wait_ms" => history.estimate.as_ref().and_then(|estimate| estimate.learned).map(|times| times.0),
                "read_ms" => history.estimate.as_ref().and_then(|estimate| estimate.learned).map(|times| times.1),
                "pace" => history.estimate.as_ref().and_then(|estimate| estimate.pace),
                "document" => self.document_version(), "left_out" => left_out);
        }
    }

    /// Returns a refusal whose status is true of the request: 502 in place of one that would guarantee that it has not run.
    pub(super) fn guaranteed(&self, job: &Job, history: &History, refusal: Refusal) -> Refusal {
        let status = refusal.reason.status();
        if history.may_state(job, status) {
            return refusal;
        }
        self.log_withheld(job, history, status);
        Reason::Broken.into()
    }

    /// Logs that a caller does not get a status which would guarantee that its request has not run.
    pub(super) fn log_withheld(&self, job: &Job, history: &History, status: StatusCode) {
        let now = self.shared.clock.now();
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Attempt) {
            info!(logger, "status withheld"; "request" => job.metadata.id.as_str(),
                "route" => job.route.name.as_str(), "status" => status.as_u16(), "sends" => history.sends,
                "endpoint" => history.estimate.as_ref().map(|estimate| estimate.endpoint.as_str()),
                "document" => self.document_version(), "left_out" => left_out);
        }
    }

    /// Records a stream that its caller does not get completely.
    pub(super) fn record_cut(&self, job: &Job, history: &History, failure: &Failure) {
        self.shared.metrics.count_request(&job.route.name, "cut");
        let now = self.shared.clock.now();
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Failed) {
            info!(logger, "request ended"; "request" => job.metadata.id.as_str(), "route" => job.route.name.as_str(),
                "service" => job.service.as_str(), "outcome" => "cut", "cause" => %failure,
                "sends" => history.sends, "ms" => now.since(job.arrived).as_millis() as u64,
                "document" => self.document_version(), "left_out" => left_out);
        }
    }

    /// Logs why an organisation exceeds this entry's share of its limit.
    pub(super) fn log_over_limit(
        &self,
        organisation: Option<&Organisation>,
        metadata: &Metadata,
        refusal: Refusal,
        version: u64,
    ) {
        let now = self.shared.clock.now();
        let limit = organisation.and_then(|organisation| organisation.limit);
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Limit) {
            info!(logger, "over the limit"; "request" => metadata.id.as_str(),
                "organisation" => organisation.map(|organisation| organisation.name.as_str()),
                "units" => limit.map(|limit| limit.units(metadata.size.map(crate::dialect::Size::total))),
                "rate" => limit.map(|limit| limit.rate), "last_event" => metadata.last_event,
                "began_as" => metadata.resumes.as_ref().map(SmolStr::as_str),
                "owed_beyond_share_ms" => refusal.retry_after.map(|after| after.as_millis() as u64),
                "document" => version, "left_out" => left_out);
        }
    }

    /// Records a refused request.
    pub(super) fn record_refusal(&self, route: &str, id: &SmolStr, arrived: Instant, refusal: Refusal) {
        self.shared.metrics.count_request(route, refusal.reason.as_str());
        let now = self.shared.clock.now();
        self.shared.metrics.refusal.observe(now.since(arrived).as_secs_f64());
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::Failed) {
            info!(logger, "request ended"; "request" => id.as_str(), "route" => route,
                "status" => refusal.reason.status().as_u16(), "outcome" => refusal.reason.as_str(),
                "retry_after_ms" => refusal.retry_after.map(|after| after.as_millis() as u64),
                "ms" => now.since(arrived).as_millis() as u64, "document" => self.document_version(),
                "left_out" => left_out);
        }
    }
}
