//! One organisation's share of one service at this entry.

use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;

use bergamotshift_core::prelude::*;

use crate::bucket::Bucket;

/// One organisation's share of a service at this entry.
///
/// All methods take `&self` and are lock-free.
#[derive(Debug)]
pub struct Allowance {
    bucket: Bucket,
    /// Work requested since the last tick, refused work included.
    requested: AtomicU64,
}

impl Allowance {
    pub(super) fn new() -> Self {
        Self {
            bucket: Bucket::new(0.0, 0.0),
            requested: AtomicU64::new(0),
        }
    }

    /// Takes work from the share.
    ///
    /// Without contention, the caller admits the work even if this fails. A failed attempt takes nothing, so capacity
    /// that is borrowed from others does not have to be paid back.
    ///
    /// # Errors
    ///
    /// Returns the time until the share holds enough.
    pub fn try_take(&self, now: Instant, work: u64) -> Result<(), Duration> {
        self.requested.fetch_add(work, Relaxed);
        self.bucket.try_take(now, work)
    }

    /// Gives back work that was taken and then refused.
    pub fn refund(&self, work: u64) {
        self.bucket.refund(work);
    }

    /// Returns the work requested since the last call, refused work included.
    pub(super) fn take_requested(&self) -> u64 {
        self.requested.swap(0, Relaxed)
    }

    /// Sets the rate and the burst of the share.
    pub(super) fn set(&self, now: Instant, rate: f64, burst: f64) {
        self.bucket.set_rate(now, rate, burst);
    }
}
