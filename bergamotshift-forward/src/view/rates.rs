//! Takes in the rates that endpoints name for themselves.

use bergamotshift_core::prelude::*;
use bergamotshift_limit::throttle::RateLimit;
use slog::info;

use super::Shared;
use crate::endpoint::Endpoint;
use crate::observe::Topic;

/// Whose word it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin<'a> {
    /// The endpoint's own, in the answer to this request.
    Answer(&'a str),
    /// That of another entry, by its name or address.
    Entry(&'a str),
}

impl Shared {
    /// Takes in a word of an endpoint's rate, and logs it when it is news.
    pub fn apply_rate(&self, now: Instant, endpoint: &Endpoint, word: RateLimit, source: Origin<'_>) {
        let before = endpoint.signals.throttle.rate();
        let is_first_hand = matches!(source, Origin::Answer(_));
        if !endpoint.signals.throttle.update(word, is_first_hand) {
            return;
        }
        let (request, entry) = match source {
            Origin::Answer(request) => (Some(request), None),
            Origin::Entry(entry) => (None, Some(entry)),
        };
        if let Some((logger, left_out)) = self.log.room(now, Topic::Belief) {
            info!(logger, "endpoint names its rate"; "endpoint" => endpoint.registration.id.as_str(),
                "rate" => word.rate, "before" => before, "age_ms" => now.since(word.at).as_millis() as u64,
                "request" => request, "from" => entry.unwrap_or("answer"), "left_out" => left_out);
        }
    }
}
