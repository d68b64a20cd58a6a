//! Timing of a response as perceived by its caller, and the estimate for the endpoint that sent it.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use smol_str::SmolStr;

use crate::choice::Choice;

/// Timing of the events of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Pace {
    first_event: Option<Instant>,
    last_event: Instant,
    longest_pause: Duration,
}

impl Pace {
    /// Records that events arrived.
    pub(super) fn record(&mut self, now: Instant) {
        if self.first_event.is_none() {
            self.first_event = Some(now);
        } else {
            self.longest_pause = self.longest_pause.max(now.since(self.last_event));
        }
        self.last_event = now;
    }

    /// Returns the time from the arrival of the request to its first events, in milliseconds; `None` without any.
    pub(super) fn first_ms(&self, arrived: Instant) -> Option<u64> {
        self.first_event.map(|first| first.since(arrived).as_millis() as u64)
    }

    /// Returns the time of the last events; `None` without any.
    pub(super) fn last_event(&self) -> Option<Instant> {
        self.first_event.map(|_| self.last_event)
    }

    /// Returns the time since the last events, in milliseconds; `None` without any.
    pub(super) fn silence_ms(&self, now: Instant) -> Option<u64> {
        self.last_event().map(|last| now.since(last).as_millis() as u64)
    }

    /// Returns the longest time between events, in milliseconds; `None` without any.
    pub(super) fn pause_ms(&self) -> Option<u64> {
        self.first_event.map(|_| self.longest_pause.as_millis() as u64)
    }
}

/// Estimate for the last send of a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Estimate {
    /// Identifier of the endpoint.
    pub(super) endpoint: SmolStr,
    /// Expected time to the beginning of the response, in milliseconds.
    pub(super) expected_ms: u64,
    /// Number of other requests in flight there.
    pub(super) running: u32,
    /// Prompt tokens of other requests that were not read there yet.
    pub(super) unread: u64,
    /// Prompt tokens of this request that the endpoint was expected to read.
    pub(super) to_read: u64,
    /// Time of the send.
    pub(super) sent: Instant,
    /// Prompt tokens ahead of the request, as counted when the endpoint was chosen; `None` if they are not known.
    pub(super) ahead: Option<u64>,
    /// Number of requests there, as counted when the endpoint was chosen.
    pub(super) ahead_running: u32,
    /// Expected time for the work ahead and for the request itself, in milliseconds, by learned speeds.
    pub(super) learned: Option<(u64, u64)>,
    /// Whether the time to the first event measures the speed of reading.
    pub(super) is_measurable: bool,
    /// Pace that the answer stated.
    pub(super) pace: Option<f64>,
}

impl Estimate {
    /// Creates the estimate of a choice, before the request counts as in flight there.
    pub(super) fn new(choice: &Choice) -> Self {
        let (wait, read) = (choice.wait.as_millis() as u64, choice.read.as_millis() as u64);
        let has_slot = choice.running < choice.endpoint.registration.slots.max(1);
        Self {
            endpoint: choice.endpoint.registration.id.clone(),
            expected_ms: choice.cost as u64,
            running: choice.endpoint.running(),
            unread: choice.endpoint.unread(),
            to_read: choice.unread,
            sent: Instant::ZERO,
            ahead: choice.ahead,
            ahead_running: choice.running,
            learned: choice.is_learned.then_some((wait, read)),
            is_measurable: choice.ahead.is_some() && choice.source.is_none() && has_slot,
            pace: None,
        }
    }
}
