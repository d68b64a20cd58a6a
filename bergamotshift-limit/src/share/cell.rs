//! One organisation's share of one service at this entry.

use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;

use bergamotshift_core::prelude::*;

use crate::bucket::Bucket;

/// One organisation's share at this entry; every method takes `&self` and is lock-free.
#[derive(Debug)]
pub struct Cell {
    bucket: Bucket,
    asked: AtomicU64,
}

impl Cell {
    pub(super) fn new() -> Self {
        Self {
            bucket: Bucket::new(0.0, 0.0),
            asked: AtomicU64::new(0),
        }
    }

    /// Takes work from the share.
    ///
    /// The caller admits without contention even when this fails; a share that is used up holds no debt, so borrowing
    /// what others leave costs nothing later.
    ///
    /// # Errors
    ///
    /// Returns how long it takes until the share holds enough.
    pub fn try_take(&self, now: Instant, work: u64) -> Result<(), Duration> {
        self.asked.fetch_add(work, Relaxed);
        self.bucket.try_take(now, work)
    }

    /// Gives back work that was taken and then refused.
    pub fn refund(&self, work: u64) {
        self.bucket.refund(work);
    }

    pub(super) fn drain_asked(&self) -> u64 {
        self.asked.swap(0, Relaxed)
    }

    pub(super) fn set(&self, now: Instant, rate: f64, burst: f64) {
        self.bucket.set_rate(now, rate, burst);
    }
}
