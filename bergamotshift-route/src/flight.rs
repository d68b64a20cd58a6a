//! Counters of the requests that this entry has in flight at an endpoint, shared by its threads and successive views.

use core::sync::atomic::AtomicU32;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering;
use std::sync::Arc;

use bergamotshift_core::prelude::Urgency;

/// Request counters of one endpoint. The totals only grow, and wrap around.
///
/// Relaxed ordering is enough: a decision tolerates a count that is a few requests old, and no other memory depends on
/// it.
#[derive(Debug, Default)]
pub struct Counter {
    sent: AtomicU32,
    finished: AtomicU32,
    prompt_tokens: AtomicU64,
    by_urgency: [AtomicU32; URGENCIES],
}

const URGENCIES: usize = 3;

/// A snapshot of a [`Counter`]'s totals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Number of requests sent so far.
    pub sent: u32,
    /// Number of requests that ended so far, in whatever way.
    pub finished: u32,
    /// Number of prompt tokens to compute in the requests sent so far.
    pub prompt_tokens: u64,
}

impl Counter {
    /// Returns the current totals.
    pub fn totals(&self) -> Totals {
        Totals {
            sent: self.sent.load(Ordering::Relaxed),
            finished: self.finished.load(Ordering::Relaxed),
            prompt_tokens: self.prompt_tokens.load(Ordering::Relaxed),
        }
    }

    /// Returns the share of the requests in flight that are at least as urgent as `urgency`; 1 when none is in flight.
    ///
    /// Engines serve requests by urgency, but do not report the urgency of those that wait. All entries send a similar
    /// mix, so the share among this entry's own requests is an estimate for all of them.
    pub fn share_ahead(&self, urgency: Urgency) -> f32 {
        let counts = self
            .by_urgency
            .each_ref()
            .map(|count| count.load(Ordering::Relaxed) as f32);
        let all: f32 = counts.iter().sum();
        let ahead: f32 = counts[..=urgency as usize].iter().sum();
        if all > 0.0 { ahead / all } else { 1.0 }
    }

    /// Returns the number of requests that this entry has in flight.
    pub fn in_flight(&self) -> u32 {
        self.totals().in_flight()
    }
}

impl Totals {
    /// Returns the number of requests that were sent and have not ended.
    pub const fn in_flight(self) -> u32 {
        self.sent.wrapping_sub(self.finished)
    }
}

/// A guard that counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct Guard {
    counter: Arc<Counter>,
    urgency: Urgency,
}

impl Guard {
    /// Counts a request as sent and returns its guard.
    pub fn start(counter: &Arc<Counter>, urgency: Urgency, prompt_tokens: u32) -> Self {
        counter.sent.fetch_add(1, Ordering::Relaxed);
        counter.by_urgency[urgency as usize].fetch_add(1, Ordering::Relaxed);
        counter
            .prompt_tokens
            .fetch_add(u64::from(prompt_tokens), Ordering::Relaxed);
        Self {
            counter: Arc::clone(counter),
            urgency,
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.counter.finished.fetch_add(1, Ordering::Relaxed);
        self.counter.by_urgency[self.urgency as usize].fetch_sub(1, Ordering::Relaxed);
    }
}
