//! What one answer says of its server's rate.

use bergamotshift_core::prelude::*;

/// What is known of the rate that a server names for itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateLimit {
    /// Requests per second from all clients together; `None` when the server names none.
    pub rate: Option<f64>,
    /// Up to when it is known.
    pub at: Instant,
}

impl RateLimit {
    /// Makes the word of an answer that names a rate and was received at `received`.
    pub const fn named(rate: f64, received: Instant) -> Self {
        Self {
            rate: Some(rate),
            at: received,
        }
    }

    /// Makes the word of an answer that names none, to a request that was sent at `sent`.
    ///
    /// Answers overtake one another. One that names no rate lifts only what was heard before its request was sent.
    pub const fn lifted(sent: Instant) -> Self {
        Self { rate: None, at: sent }
    }

    /// Returns whether this word takes the place of another one; of two with the same time the one with a rate does.
    pub fn replaces(self, before: Self) -> bool {
        self.at > before.at || self.at == before.at && self.rate.is_some()
    }
}
