//! How an endpoint fared lately: whether it can be reached, and how often it fails.

use core::sync::atomic::AtomicU32;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;

use bergamotshift_core::clock::Expiry;
use bergamotshift_core::prelude::*;

/// The first pause after an endpoint could not be reached; a crashed one is back after some seconds.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// The longest pause, so that an endpoint that is back serves again soon after.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The share of failures that counts as all, in thousandths.
const FULL_RATE: u32 = 1_000;

/// A failure moves the share of failures this part of the way up: four in a row make it two thirds.
const RISE_DIVISOR: u32 = 4;

/// A success moves it this part of the way down, slower than failures raise it: an endpoint that fails two in five
/// must not look sound after each good answer.
const FALL_DIVISOR: u32 = 12;

/// Tells how an endpoint fared lately; all methods are lock-free.
#[derive(Debug, Default)]
pub struct Health {
    /// Its share of failures lately, in thousandths.
    failure_rate: AtomicU32,
    /// Failures to reach it in a row.
    consecutive_unreachable: AtomicU32,
    /// Until when it is passed over.
    paused_until: Expiry,
}

impl Health {
    /// Notes an answer that an endpoint in order gives.
    pub fn record_success(&self) {
        self.consecutive_unreachable.store(0, Relaxed);
        self.paused_until.set(Instant::ZERO);
        self.failure_rate
            .update(Relaxed, Relaxed, |rate| rate - rate.div_ceil(FALL_DIVISOR));
    }

    /// Notes a failure of a request that the endpoint had.
    pub fn record_failure(&self) {
        self.failure_rate
            .update(Relaxed, Relaxed, |rate| rate + (FULL_RATE - rate) / RISE_DIVISOR);
    }

    /// Notes that the endpoint could not be reached, or went silent.
    pub fn record_unreachable(&self, now: Instant) {
        self.record_failure();
        let before = self.consecutive_unreachable.fetch_add(1, Relaxed).min(8);
        let pause = INITIAL_BACKOFF.saturating_mul(1 << before).min(MAX_BACKOFF);
        self.paused_until.set(now + pause);
    }

    /// Returns whether the endpoint is passed over for now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.after(now).is_some()
    }

    /// Returns its share of failures lately, between 0 and 1.
    pub fn failure_rate(&self) -> f64 {
        f64::from(self.failure_rate.load(Relaxed)) / f64::from(FULL_RATE)
    }
}
