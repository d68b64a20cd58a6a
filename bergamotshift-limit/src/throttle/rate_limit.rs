//! Rate limit that a server announces for itself.

use bergamotshift_core::prelude::*;

/// Rate limit of a server as known at a given time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateLimit {
    /// Requests per second from all clients together; `None` without a limit.
    pub rate: Option<f64>,
    /// Time up to which this is known.
    pub at: Instant,
}

impl RateLimit {
    /// Creates the limit from an answer that names a rate and was received at `received`.
    pub const fn named(rate: f64, received: Instant) -> Self {
        Self {
            rate: Some(rate),
            at: received,
        }
    }

    /// Creates the limit from an answer that names no rate, to a request that was sent at `sent`.
    ///
    /// Answers may arrive out of order. An answer without a rate lifts only limits known before its request was sent.
    pub const fn lifted(sent: Instant) -> Self {
        Self { rate: None, at: sent }
    }

    /// Returns whether this limit replaces `before`.
    ///
    /// The later one replaces the earlier one; at equal times, a limit with a rate does.
    pub fn replaces(self, before: Self) -> bool {
        self.at > before.at || self.at == before.at && self.rate.is_some()
    }
}
