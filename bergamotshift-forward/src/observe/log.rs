//! Log with a rate limit for each topic.

use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::bucket::Bucket;
use slog::Logger;

/// Maximum rate of the lines of one topic, in lines per second. A line costs about 15 µs of CPU time and 300 bytes; 40
/// lines per second of each topic use less than 1 % of a small VM's share of a core.
const RATE: f64 = 40.0;

/// Maximum number of lines of one topic in a burst.
const BURST: f64 = 80.0;

/// Topic of a log line. Each topic has its own rate limit, so that many lines of one topic do not suppress the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// Requests that were served.
    Served,
    /// Requests that failed or were refused.
    Failed,
    /// Failed attempts and broken streams at endpoints.
    Attempt,
    /// Changes of what the entry knows about endpoints, other entries and the store's contents.
    State,
    /// Requests that were refused by a limit or found no endpoint, and permits for endpoints with a rate limit.
    Limit,
    /// Failed exchanges between entries, and transfers of the document.
    Peers,
    /// Connections to endpoints through other entries.
    Relay,
    /// Requests whose connections to endpoints broke.
    Loss,
    /// Requests that were refused in a shortage.
    Shortage,
    /// Ends of answers without framing.
    End,
}

/// Number of topics.
const TOPICS: usize = 10;

/// Logger that limits the rate of each topic's lines and counts the omitted ones.
#[derive(Debug)]
pub struct Log {
    logger: Logger,
    buckets: [Bucket; TOPICS],
    left_out: [AtomicU64; TOPICS],
}

impl Log {
    /// Creates a log that writes to `logger`.
    pub fn new(logger: Logger) -> Self {
        Self {
            logger,
            buckets: core::array::from_fn(|_| Bucket::new(RATE, BURST)),
            left_out: core::array::from_fn(|_| AtomicU64::new(0)),
        }
    }

    /// Returns the logger without a rate limit, for rare lines.
    pub const fn always(&self) -> &Logger {
        &self.logger
    }

    /// Returns the logger if the topic's rate limit allows a line, with the number of lines omitted since the last one.
    pub fn rate_limited(&self, now: Instant, topic: Topic) -> Option<(&Logger, u64)> {
        let index = topic as usize;
        if self.buckets[index].try_take(now, 1).is_err() {
            self.left_out[index].fetch_add(1, Relaxed);
            return None;
        }
        Some((&self.logger, self.left_out[index].swap(0, Relaxed)))
    }
}
