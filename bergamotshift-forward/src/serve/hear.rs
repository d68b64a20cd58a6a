//! Takes in what an endpoint's answer says of the endpoint.

use bergamotshift_core::prelude::*;
use bergamotshift_limit::throttle::RateLimit;
use ntex::http::StatusCode;
use slog::info;

use super::Forwarder;
use super::job::Job;
use crate::choice::Choice;
use crate::dialect::Notice;
use crate::exchange::Answer;
use crate::observe::Topic;
use crate::view::Origin;

impl Forwarder {
    /// Takes in what an answer to a request that was sent at `sent` says of its endpoint, and returns it.
    pub(super) fn hear(&self, job: &Job, choice: &Choice, sent: Instant, answer: &Answer) -> Notice {
        if answer.status == StatusCode::MISDIRECTED_REQUEST {
            // Another incarnation made it.
            return Notice::default();
        }
        let notice = Notice::read(&self.shared.dialect, answer.status, &answer.headers);
        let now = self.shared.clock.now();
        let is_own = self.shared.dialect.is_sealed(&answer.headers);
        let lifted = is_own.then(|| RateLimit::lifted(sent));
        if let Some(word) = notice.rate.map(|rate| RateLimit::named(rate, now)).or(lifted) {
            let source = Origin::Answer(&job.ask.id);
            self.shared.apply_rate(now, &choice.endpoint, word, source);
        }
        let is_news = notice.is_leaving && choice.endpoint.signals.mark_leaving();
        if let Some(pause) = notice.retry_after {
            choice.endpoint.signals.pause_until(now + pause);
        }
        if is_news || notice.retry_after.is_some() {
            self.log_notice(now, job, choice, answer.status, notice);
        }
        notice
    }

    fn log_notice(&self, now: Instant, job: &Job, choice: &Choice, status: StatusCode, notice: Notice) {
        let endpoint = &choice.endpoint;
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::State) {
            info!(logger, "endpoint wants no more"; "endpoint" => endpoint.registration.id.as_str(),
                "request" => job.ask.id.as_str(), "status" => status.as_u16(), "leaves" => notice.is_leaving,
                "leaves_registered" => endpoint.is_withdrawn(),
                "pause_ms" => notice.retry_after.map(|pause| pause.as_millis() as u64), "left_out" => left_out);
        }
    }
}
