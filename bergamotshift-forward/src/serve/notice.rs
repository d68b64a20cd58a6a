//! Applies the notices of endpoints in their responses.

use bergamotshift_core::prelude::*;
use bergamotshift_limit::throttle::RateLimit;
use ntex::http::StatusCode;
use slog::info;

use super::Forwarder;
use super::job::Job;
use crate::choice::Choice;
use crate::dialect::Notice;
use crate::endpoint::Endpoint;
use crate::exchange::Head;
use crate::observe::Topic;
use crate::view::Origin;

impl Forwarder {
    /// Applies and returns the notice in the response to a request that was sent at `sent`.
    pub(super) fn apply_notice(&self, job: &Job, choice: &Choice, sent: Instant, head: &Head) -> Notice {
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            // The response comes from another incarnation.
            return Notice::default();
        }
        let notice = Notice::read(&self.shared.dialect, head.status, &head.headers);
        let now = self.shared.clock.now();
        let is_sealed = self.shared.dialect.is_sealed(&head.headers);
        let removed = is_sealed.then(|| RateLimit::lifted(sent));
        if let Some(limit) = notice.rate.map(|rate| RateLimit::named(rate, now)).or(removed) {
            let source = Origin::Answer(&job.metadata.id);
            self.shared.apply_rate(now, &choice.endpoint, limit, source);
        }
        let tolerance = notice.tolerance.map(|rejections| RateLimit::named(rejections, now));
        if let Some(announced) = tolerance.or(removed) {
            self.apply_tolerance(now, job, &choice.endpoint, announced);
        }
        let is_new = notice.is_leaving && choice.endpoint.signals.mark_leaving();
        if let Some(pause) = notice.retry_after {
            choice.endpoint.signals.pause_until(now + pause);
        }
        if is_new || notice.retry_after.is_some() {
            self.log_notice(now, job, choice, head.status, notice);
        }
        notice
    }

    /// Applies the number of rejections per second that an endpoint tolerates, or that it announces none any more.
    fn apply_tolerance(&self, now: Instant, job: &Job, endpoint: &Endpoint, announced: RateLimit) {
        if !endpoint.signals.tolerance.update(announced) {
            return;
        }
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::State) {
            info!(logger, "endpoint tolerates rejections"; "endpoint" => endpoint.registration.id.as_str(),
                "request" => job.metadata.id.as_str(), "per_second" => announced.rate, "left_out" => left_out);
        }
    }

    fn log_notice(&self, now: Instant, job: &Job, choice: &Choice, status: StatusCode, notice: Notice) {
        let endpoint = &choice.endpoint;
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::State) {
            info!(logger, "endpoint wants no more"; "endpoint" => endpoint.registration.id.as_str(),
                "request" => job.metadata.id.as_str(), "status" => status.as_u16(), "leaves" => notice.is_leaving,
                "leaves_registered" => endpoint.is_withdrawn(),
                "pause_ms" => notice.retry_after.map(|pause| pause.as_millis() as u64), "left_out" => left_out);
        }
    }
}
