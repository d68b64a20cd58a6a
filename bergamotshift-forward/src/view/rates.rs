//! Applies the rates that endpoints announce for themselves.

use bergamotshift_core::prelude::*;
use bergamotshift_limit::throttle::RateLimit;
use slog::info;

use super::Shared;
use crate::endpoint::Endpoint;
use crate::observe::Topic;

/// Origin of an announced rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin<'a> {
    /// An answer of the endpoint itself to the request with this identifier.
    Answer(&'a str),
    /// Another entry, by its name or address.
    Entry(&'a str),
}

impl Shared {
    /// Applies a rate that an endpoint announced, and logs it if it changes the rate.
    pub fn apply_rate(&self, now: Instant, endpoint: &Endpoint, limit: RateLimit, origin: Origin<'_>) {
        let before = endpoint.signals.throttle.rate();
        let is_direct = matches!(origin, Origin::Answer(_));
        if !endpoint.signals.throttle.update(limit, is_direct) {
            return;
        }
        let (request, entry) = match origin {
            Origin::Answer(request) => (Some(request), None),
            Origin::Entry(entry) => (None, Some(entry)),
        };
        if let Some((logger, left_out)) = self.log.rate_limited(now, Topic::State) {
            info!(logger, "endpoint names its rate"; "endpoint" => endpoint.registration.id.as_str(),
                "rate" => limit.rate, "before" => before, "age_ms" => now.since(limit.at).as_millis() as u64,
                "request" => request, "from" => entry.unwrap_or("answer"), "left_out" => left_out);
        }
    }
}
