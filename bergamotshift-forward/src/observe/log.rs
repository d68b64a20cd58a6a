//! A log whose volume is bounded.

use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::bucket::Bucket;
use slog::Logger;

/// Lines a second of one topic. A line costs about 15 µs of processor time and 300 bytes; 40 a second of each topic are
/// under one part in a hundred of a small VM's share of a core.
const RATE: f64 = 40.0;

/// Lines of one topic at once.
const BURST: f64 = 80.0;

/// What lines are about; each topic is bounded by itself, so that a flood of one hides no other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// Requests that were served.
    Served,
    /// Requests that failed or were refused.
    Failed,
    /// What went wrong between an entry and an endpoint.
    Attempt,
    /// What the entry believes of endpoints.
    State,
    /// Why there was no room for a request.
    Limit,
    /// What went wrong between entries.
    Peers,
}

const TOPICS: usize = 6;

/// Bounds the lines of each topic and counts what is left out.
#[derive(Debug)]
pub struct Log {
    logger: Logger,
    buckets: [Bucket; TOPICS],
    left_out: [AtomicU64; TOPICS],
}

impl Log {
    /// Makes a log that writes to `logger`.
    pub fn new(logger: Logger) -> Self {
        Self {
            logger,
            buckets: core::array::from_fn(|_| Bucket::new(RATE, BURST)),
            left_out: core::array::from_fn(|_| AtomicU64::new(0)),
        }
    }

    /// Returns the logger for lines that are few by nature.
    pub const fn always(&self) -> &Logger {
        &self.logger
    }

    /// Returns the logger if the topic has room for a line, with the number of lines left out before it.
    pub fn rate_limited(&self, now: Instant, topic: Topic) -> Option<(&Logger, u64)> {
        let place = topic as usize;
        if self.buckets[place].try_take(now, 1).is_err() {
            self.left_out[place].fetch_add(1, Relaxed);
            return None;
        }
        Some((&self.logger, self.left_out[place].swap(0, Relaxed)))
    }
}
