//! Counts of what this entry has in flight at one endpoint, shared by its threads and by successive views.

use core::sync::atomic::AtomicU32;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering;
use std::sync::Arc;

use bergamotshift_core::prelude::Urgency;

/// Running totals of one endpoint; they only grow, and wrap.
///
/// Relaxed ordering is enough: a decision tolerates a count that is a few sends old, and no other memory depends on it.
#[derive(Debug, Default)]
pub struct Counter {
    sent: AtomicU32,
    finished: AtomicU32,
    prompt_tokens: AtomicU64,
    by_urgency: [AtomicU32; URGENCIES],
}

const URGENCIES: usize = 3;

/// The totals at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Requests sent so far.
    pub sent: u32,
    /// Requests ended so far.
    pub finished: u32,
    /// Prompt tokens sent so far.
    pub prompt_tokens: u64,
}

impl Counter {
    /// Returns the totals now.
    pub fn totals(&self) -> Totals {
        Totals {
            sent: self.sent.load(Ordering::Relaxed),
            finished: self.finished.load(Ordering::Relaxed),
            prompt_tokens: self.prompt_tokens.load(Ordering::Relaxed),
        }
    }

    /// Returns the share of the requests in flight that an engine serves no later than one of this urgency.
    ///
    /// Engines serve by urgency and do not report who waits. Entries send alike, so the share of this entry's own
    /// requests stands for all.
    pub fn share_ahead(&self, urgency: Urgency) -> f32 {
        let counts = self
            .by_urgency
            .each_ref()
            .map(|count| count.load(Ordering::Relaxed) as f32);
        let all: f32 = counts.iter().sum();
        let ahead: f32 = counts[..=urgency as usize].iter().sum();
        if all > 0.0 { ahead / all } else { 1.0 }
    }

    /// Returns how many requests this entry has in flight.
    pub fn in_flight(&self) -> u32 {
        self.totals().in_flight()
    }
}

impl Totals {
    /// Returns how many requests were sent and not ended.
    pub const fn in_flight(self) -> u32 {
        self.sent.wrapping_sub(self.finished)
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct Guard {
    counter: Arc<Counter>,
    urgency: Urgency,
}

impl Guard {
    /// Counts a request that is sent now.
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
