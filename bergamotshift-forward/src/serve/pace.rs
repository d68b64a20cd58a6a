//! How an answer came: what its caller felt of it, and what was expected of the endpoint that gave it.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use smol_str::SmolStr;

use crate::choice::Choice;

/// When a stream's events came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Pace {
    first: Option<Instant>,
    last: Instant,
    longest: Duration,
}

impl Pace {
    /// Notes that events came.
    pub(super) fn note(&mut self, now: Instant) {
        if self.first.is_none() {
            self.first = Some(now);
        } else {
            self.longest = self.longest.max(now.since(self.last));
        }
        self.last = now;
    }

    /// Returns how long after its arrival a request's first events came, in milliseconds; `None` without any.
    pub(super) fn first_ms(&self, arrived: Instant) -> Option<u64> {
        self.first.map(|first| first.since(arrived).as_millis() as u64)
    }

    /// Returns the longest time between events, in milliseconds; `None` without any.
    pub(super) fn pause_ms(&self) -> Option<u64> {
        self.first.map(|_| self.longest.as_millis() as u64)
    }
}

/// The last send of a request, and what was expected of it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Sent {
    /// The endpoint.
    pub(super) endpoint: SmolStr,
    /// The expected time to the answer's beginning, in milliseconds.
    pub(super) expected_ms: u64,
    /// Requests that were under way there.
    pub(super) running: u32,
    /// Prompt tokens that were still to be read there for other requests.
    pub(super) unread: u64,
    /// Prompt tokens that the endpoint was expected to read for this request.
    pub(super) to_read: u64,
}

impl Sent {
    /// Notes a choice before the request counts as under way there.
    pub(super) fn new(choice: &Choice) -> Self {
        Self {
            endpoint: choice.endpoint.registration.id.clone(),
            expected_ms: choice.cost as u64,
            running: choice.endpoint.running(),
            unread: choice.endpoint.unread(),
            to_read: choice.unread,
        }
    }
}
