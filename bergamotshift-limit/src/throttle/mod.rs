//! Rates that servers name for themselves, kept as one budget over all clients.
//!
//! A server in need names the requests a second that it takes from all clients together. [`RateLimit`] is what is known of
//! that. Each client has a [`Throttle`] for each server, which keeps the newest limit. One of the clients grants requests to
//! the server from its throttle, and the others ask that one.
//!
//! ```
//! use bergamotshift_core::prelude::*;
//! use bergamotshift_limit::throttle::{Throttle, RateLimit};
//!
//! let throttle = Throttle::default();
//! let now = Instant::from_secs(5);
//! assert!(throttle.update(RateLimit::named(2.0, now), true));
//! assert!(throttle.grant(now, 1).is_ok());
//! let wait = throttle.grant(now, 1).expect_err("half a second has to pass");
//! assert!(throttle.grant(now + wait, 1).is_ok());
//! assert!(throttle.update(RateLimit::lifted(Instant::from_secs(6)), true));
//! assert_eq!(throttle.rate(), None);
//! ```

mod rate_limit;

use core::time::Duration;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bergamotshift_core::clock::Expiry;
use bergamotshift_core::prelude::*;

pub use self::rate_limit::RateLimit;
use crate::bucket::Bucket;

/// What one request counts that a client grants in the place of the first one, which it does not reach: both may grant at
/// the same time.
pub const DEPUTY_COST: u64 = 3;

/// The rate that is kept where a server takes none at all, in requests per second: only an answer tells that a limit has
/// ended.
const LEAST: f64 = 0.1;

/// The requests that come at once without waiting for one another are those of this time at the rate, and one at the least.
const BURST: Duration = Duration::from_millis(100);

/// The newest word, and how it came here.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    limit: RateLimit,
    is_direct: bool,
}

/// One server's rate, as one client knows and keeps it. Threads hold its lock for the time of a copy.
#[derive(Debug)]
pub struct Throttle {
    known: Mutex<Known>,
    /// What this client grants to all of them.
    bucket: Bucket,
    /// Until when this client sends nothing.
    paused: Expiry,
}

impl Default for Throttle {
    fn default() -> Self {
        Self {
            known: Mutex::default(),
            bucket: Bucket::new(1.0, 1.0),
            paused: Expiry::default(),
        }
    }
}

impl Throttle {
    /// Takes in a word, and returns whether it changes the rate; `is_direct` says that the server itself gave it to
    /// this client.
    pub fn update(&self, limit: RateLimit, is_direct: bool) -> bool {
        let mut known = self.known();
        let before = known.limit;
        let is_news = limit.rate.is_some() || before.rate.is_some();
        if !is_news || !limit.replaces(before) {
            return false;
        }
        *known = Known { limit, is_direct };
        if limit.rate == before.rate {
            return false;
        }
        match limit.rate {
            Some(rate) => {
                let rate = if rate > 0.0 { rate } else { LEAST };
                let burst = (rate * BURST.as_secs_f64()).max(1.0);
                self.bucket.set_rate(limit.at, rate, burst);
            }
            None => self.paused.set(Instant::ZERO),
        }
        true
    }

    /// Returns the rate that the server names, in requests per second; `None` without a limit.
    pub fn rate(&self) -> Option<f64> {
        self.limit().rate
    }

    /// Returns the newest limit.
    pub fn limit(&self) -> RateLimit {
        self.known().limit
    }

    /// Returns the newest word if the server itself gave it to this client, for clients that do not know it.
    ///
    /// Only that is passed on: words that go round among clients would look newer with each step.
    pub fn direct_limit(&self) -> Option<RateLimit> {
        let known = *self.known();
        known.is_direct.then_some(known.limit)
    }

    /// Grants one request, which counts as `cost` of them.
    ///
    /// # Errors
    ///
    /// Returns how long it takes until one can be granted.
    pub fn grant(&self, now: Instant, cost: u64) -> Result<(), Duration> {
        if self.rate().is_none() {
            return Ok(());
        }
        self.bucket.try_take(now, cost)
    }

    /// Has this client send nothing until `until`, unless the limit ends before.
    pub fn pause(&self, until: Instant) {
        self.paused.extend(until);
    }

    /// Returns until when this client sends nothing; `None` when it may ask.
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.paused.after(now)
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
