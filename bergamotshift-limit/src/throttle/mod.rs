//! Rate limits that servers announce for themselves, enforced as one budget over all clients.
//!
//! An overloaded server announces the number of requests per second that it accepts from all clients together, as a
//! [`RateLimit`]. Each client has a [`Throttle`] for each server, which keeps the newest limit. One client grants
//! requests to the server from its throttle, and the other clients ask it for permits.
//!
//! ```
//! use bergamotshift_core::prelude::*;
//! use bergamotshift_limit::throttle::{RateLimit, Throttle};
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

/// Cost of a request that a deputy grants because the first granter cannot be reached, in requests.
///
/// Both may grant requests at the same time.
pub const DEPUTY_COST: u64 = 3;

/// Rate used for a server that announces a rate of zero, in requests per second.
///
/// Some requests have to be sent, because only an answer can lift the limit.
const MIN_RATE: f64 = 0.1;

/// Burst size, as time at the rate; a burst is at least one request.
const BURST_TIME: Duration = Duration::from_millis(100);

/// Newest known limit and its source.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    limit: RateLimit,
    /// Whether the server itself announced the limit to this client.
    is_direct: bool,
}

/// Rate limit of one server, as known to and enforced by one client.
///
/// Threads hold the lock only for the time of a copy or an update.
#[derive(Debug)]
pub struct Throttle {
    known: Mutex<Known>,
    /// Budget from which this client grants requests of all clients.
    bucket: Bucket,
    /// Time until which this client sends nothing.
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
    /// Applies a limit if it is newer than the known one, and returns whether the rate changed.
    ///
    /// `is_direct` means that the server itself announced the limit to this client.
    pub fn update(&self, limit: RateLimit, is_direct: bool) -> bool {
        let mut known = self.known();
        let before = known.limit;
        let is_relevant = limit.rate.is_some() || before.rate.is_some();
        if !is_relevant || !limit.replaces(before) {
            return false;
        }
        *known = Known { limit, is_direct };
        if limit.rate == before.rate {
            return false;
        }
        match limit.rate {
            Some(rate) => {
                let rate = if rate > 0.0 { rate } else { MIN_RATE };
                let burst = (rate * BURST_TIME.as_secs_f64()).max(1.0);
                self.bucket.set_rate(limit.at, rate, burst);
            }
            None => self.paused.set(Instant::ZERO),
        }
        true
    }

    /// Returns the rate that the server announced, in requests per second; `None` without a limit.
    pub fn rate(&self) -> Option<f64> {
        self.limit().rate
    }

    /// Returns the newest known limit.
    pub fn limit(&self) -> RateLimit {
        self.known().limit
    }

    /// Returns the newest limit if the server itself announced it to this client.
    ///
    /// Only such a limit is passed on to other clients: a limit relayed among clients would look newer with each hop.
    pub fn direct_limit(&self) -> Option<RateLimit> {
        let known = *self.known();
        known.is_direct.then_some(known.limit)
    }

    /// Grants one request, which counts as `cost` requests.
    ///
    /// # Errors
    ///
    /// Returns the time until a request can be granted.
    pub fn grant(&self, now: Instant, cost: u64) -> Result<(), Duration> {
        if self.rate().is_none() {
            return Ok(());
        }
        self.bucket.try_take(now, cost)
    }

    /// Stops this client from sending until `until`, unless the limit is lifted earlier.
    pub fn pause(&self, until: Instant) {
        self.paused.extend(until);
    }

    /// Returns the time until which this client sends nothing; `None` if it may ask for permits.
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.paused.after(now)
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
