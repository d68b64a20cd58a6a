//! How an endpoint fared lately: whether it can be reached, and how often it fails.

use core::sync::atomic::AtomicU32;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;

use bergamotshift_core::clock::Expiry;
use bergamotshift_core::prelude::*;

/// The first pause after an endpoint could not be reached; a crashed one is back after some seconds.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// The longest pause, so that an endpoint that is back serves again soon after.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// The share of failures that counts as all, in thousandths.
const WHOLE: u32 = 1_000;

/// A failure moves the share of failures this part of the way up: four in a row make it two thirds.
const RISE: u32 = 4;

/// A success moves it this part of the way down, slower than failures raise it: an endpoint that fails two in five
/// must not look sound after each good answer.
const FALL: u32 = 12;

/// Tells how an endpoint fared lately; all methods are lock-free.
#[derive(Debug, Default)]
pub struct Health {
    /// Its share of failures lately, in thousandths.
    trouble: AtomicU32,
    /// Failures to reach it in a row.
    unreachable: AtomicU32,
    /// Until when it is passed over.
    paused: Expiry,
}

impl Health {
    /// Notes an answer that an endpoint in order gives.
    pub fn record_success(&self) {
        self.unreachable.store(0, Relaxed);
        self.paused.set(Instant::ZERO);
        self.trouble
            .update(Relaxed, Relaxed, |trouble| trouble - trouble.div_ceil(FALL));
    }

    /// Notes a failure of a request that the endpoint had.
    pub fn record_failure(&self) {
        self.trouble
            .update(Relaxed, Relaxed, |trouble| trouble + (WHOLE - trouble) / RISE);
    }

    /// Notes that the endpoint could not be reached, or went silent.
    pub fn record_unreachable(&self, now: Instant) {
        self.record_failure();
        let before = self.unreachable.fetch_add(1, Relaxed).min(8);
        let pause = FIRST_PAUSE.saturating_mul(1 << before).min(LONGEST_PAUSE);
        self.paused.set(now + pause);
    }

    /// Returns whether the endpoint is passed over for now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused.after(now).is_some()
    }

    /// Returns its share of failures lately, between 0 and 1.
    pub fn failure_rate(&self) -> f64 {
        f64::from(self.trouble.load(Relaxed)) / f64::from(WHOLE)
    }
}
