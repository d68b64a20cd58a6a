//! Counts of what this entry has in flight at one endpoint, shared by its threads and by successive views.

use core::sync::atomic::AtomicU32;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering;
use std::sync::Arc;

/// Running totals of one endpoint; they only grow, and wrap.
///
/// Relaxed ordering is enough: a decision tolerates a count that is a few sends old, and no other memory depends on it.
#[derive(Debug, Default)]
pub struct Counter {
    sent: AtomicU32,
    finished: AtomicU32,
    prompt_tokens: AtomicU64,
}

/// The totals at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mark {
    /// Requests sent so far.
    pub sent: u32,
    /// Requests ended so far.
    pub finished: u32,
    /// Prompt tokens sent so far.
    pub prompt_tokens: u64,
}

impl Counter {
    /// Returns the totals now.
    pub fn mark(&self) -> Mark {
        Mark {
            sent: self.sent.load(Ordering::Relaxed),
            finished: self.finished.load(Ordering::Relaxed),
            prompt_tokens: self.prompt_tokens.load(Ordering::Relaxed),
        }
    }

    /// Returns how many requests this entry has in flight.
    pub fn in_flight(&self) -> u32 {
        self.mark().in_flight()
    }
}

impl Mark {
    /// Returns how many requests were sent and not ended.
    pub const fn in_flight(self) -> u32 {
        self.sent.wrapping_sub(self.finished)
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct Guard(Arc<Counter>);

impl Guard {
    /// Counts a request that is sent now.
    pub fn start(counter: &Arc<Counter>, prompt_tokens: u32) -> Self {
        counter.sent.fetch_add(1, Ordering::Relaxed);
        counter
            .prompt_tokens
            .fetch_add(u64::from(prompt_tokens), Ordering::Relaxed);
        Self(Arc::clone(counter))
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.finished.fetch_add(1, Ordering::Relaxed);
    }
}
