//! Health of an endpoint: whether it can be reached, and how often it fails.

use core::sync::atomic::AtomicU32;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;

use bergamotshift_core::clock::Expiry;
use bergamotshift_core::prelude::*;

/// Backoff after the first failure to reach an endpoint. A crashed endpoint is back after some seconds.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Maximum backoff, short enough that a restarted endpoint serves again soon.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Failure rate of 100 %, in thousandths.
const FULL_RATE: u32 = 1_000;

/// Inverse weight of a failure in the moving average: four failures in a row raise the rate to two thirds.
const RISE_DIVISOR: u32 = 4;

/// Inverse weight of a success in the moving average. A success weighs less than a failure, so that an endpoint that
/// fails two of five requests does not look healthy after each success.
const FALL_DIVISOR: u32 = 12;

/// Recent health of an endpoint; all methods are lock-free.
#[derive(Debug, Default)]
pub struct Health {
    /// Moving average of the failure rate, in thousandths.
    failure_rate: AtomicU32,
    /// Number of consecutive failures to reach it.
    consecutive_unreachable: AtomicU32,
    /// Time until which it receives no requests.
    paused_until: Expiry,
}

impl Health {
    /// Records a successful answer, and ends a backoff.
    pub fn record_success(&self) {
        self.consecutive_unreachable.store(0, Relaxed);
        self.paused_until.set(Instant::ZERO);
        self.failure_rate
            .update(Relaxed, Relaxed, |rate| rate - rate.div_ceil(FALL_DIVISOR));
    }

    /// Records a failed request.
    pub fn record_failure(&self) {
        self.failure_rate
            .update(Relaxed, Relaxed, |rate| rate + (FULL_RATE - rate) / RISE_DIVISOR);
    }

    /// Records that the endpoint could not be reached or stopped responding, and starts an exponential backoff.
    pub fn record_unreachable(&self, now: Instant) {
        self.record_failure();
        let before = self.consecutive_unreachable.fetch_add(1, Relaxed).min(8);
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << before).min(MAX_BACKOFF);
        self.paused_until.set(now + backoff);
    }

    /// Forgets that the endpoint could not be reached, which was no fault of its own.
    pub fn forget_unreachable(&self) {
        if self.consecutive_unreachable.swap(0, Relaxed) > 0 {
            self.paused_until.set(Instant::ZERO);
            self.failure_rate.store(0, Relaxed);
        }
    }

    /// Returns whether the endpoint is in backoff.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.after(now).is_some()
    }

    /// Returns the recent failure rate, between 0 and 1.
    pub fn failure_rate(&self) -> f64 {
        f64::from(self.failure_rate.load(Relaxed)) / f64::from(FULL_RATE)
    }
}
