//! Takes in what an endpoint's answer says of the endpoint.

use bergamotshift_core::prelude::*;
use bergamotshift_limit::throttle::Word;
use ntex::http::StatusCode;
use slog::info;

use super::Forwarder;
use super::job::Job;
use crate::choice::Choice;
use crate::dialect::Notice;
use crate::exchange::Answer;
use crate::observe::Topic;

impl Forwarder {
    /// Takes in what an answer to a request that was sent at `sent` says of its endpoint.
    pub(super) fn hear(&self, job: &Job, choice: &Choice, sent: Instant, answer: &Answer) {
        if answer.status == StatusCode::MISDIRECTED_REQUEST {
            // Another incarnation made it.
            return;
        }
        let endpoint = &choice.endpoint;
        let notice = Notice::read(&self.shared.dialect, &answer.headers);
        let now = self.shared.clock.now();
        let before = endpoint.throttle.rate();
        let word = notice.rate.map_or(Word::lifted(sent), |rate| Word::named(rate, now));
        if endpoint.throttle.hear(word, true)
            && let Some((logger, left_out)) = self.shared.log.room(now, Topic::Belief)
        {
            info!(logger, "endpoint names its rate"; "endpoint" => endpoint.registration.id.as_str(),
                "request" => job.ask.id.as_str(), "rate" => notice.rate, "before" => before,
                "status" => answer.status.as_u16(), "sent_ms_ago" => now.since(sent).as_millis() as u64,
                "from" => "answer", "left_out" => left_out);
        }
    }
}
