//! Takes in what an endpoint's answer says of the endpoint.

use bergamotshift_core::prelude::*;
use bergamotshift_limit::throttle::Word;
use ntex::http::StatusCode;

use super::Forwarder;
use super::job::Job;
use crate::choice::Choice;
use crate::dialect::Notice;
use crate::exchange::Answer;
use crate::view::Source;

impl Forwarder {
    /// Takes in what an answer to a request that was sent at `sent` says of its endpoint.
    pub(super) fn hear(&self, job: &Job, choice: &Choice, sent: Instant, answer: &Answer) {
        if answer.status == StatusCode::MISDIRECTED_REQUEST {
            // Another incarnation made it.
            return;
        }
        let notice = Notice::read(&self.shared.dialect, &answer.headers);
        let now = self.shared.clock.now();
        let word = notice.rate.map_or(Word::lifted(sent), |rate| Word::named(rate, now));
        self.shared
            .hear_rate(now, &choice.endpoint, word, Source::Answer(&job.ask.id));
    }
}
