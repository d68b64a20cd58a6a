//! Applies the rates that endpoints announce for themselves.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

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

/// Endpoints that announced a rate in an answer to this entry, by hash.
///
/// Nearly all endpoints announce none, so their number is no measure of the work for a message.
#[derive(Debug, Default)]
pub struct Announcers(Mutex<BTreeSet<u64>>);

impl Announcers {
    /// Adds an endpoint.
    pub fn add(&self, endpoint: u64) {
        self.set().insert(endpoint);
    }

    /// Keeps those for which `current` returns a value, and returns the values.
    pub fn retain<T>(&self, mut current: impl FnMut(u64) -> Option<T>) -> Vec<T> {
        let mut values = Vec::new();
        self.set().retain(|endpoint| match current(*endpoint) {
            Some(value) => {
                values.push(value);
                true
            }
            None => false,
        });
        values
    }

    fn set(&self) -> MutexGuard<'_, BTreeSet<u64>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shared {
    /// Applies a rate that an endpoint announced, and logs it if it changes the rate.
    pub fn apply_rate(&self, now: Instant, endpoint: &Endpoint, limit: RateLimit, origin: Origin<'_>) {
        let before = endpoint.signals.throttle.rate();
        let is_direct = matches!(origin, Origin::Answer(_));
        if is_direct && limit.rate.or(before).is_some() {
            self.announcers.add(endpoint.hash);
        }
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
