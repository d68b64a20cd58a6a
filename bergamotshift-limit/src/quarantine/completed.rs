//! Requests that completed, and parts of prompts that were answered, and therefore crash no endpoints.

use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering;

use bergamotshift_core::prelude::*;

/// Number of fingerprints that are kept.
const CAPACITY: usize = 4_096;

/// Resolution of the times, in milliseconds.
const TICK_MS: u64 = 8;

/// Number of bits of a slot that hold the time; the others hold digits of the fingerprint.
const TIME_BITS: u32 = 32;

/// Fingerprints of requests that completed recently, with the times. A newer one may replace another one, so a missing
/// fingerprint says nothing.
///
/// ```
/// use bergamotshift_core::prelude::*;
/// use bergamotshift_limit::quarantine::Completed;
///
/// let completed = Completed::default();
/// let poll = Fingerprint::of("horeca", "GET", "/status", b"");
/// assert!(!completed.contains(poll));
/// completed.record(Instant::from_secs(16), poll);
/// assert_eq!(completed.latest(poll), Some(Instant::from_secs(16)));
/// ```
#[derive(Debug)]
pub struct Completed {
    slots: Box<[AtomicU64]>,
}

impl Default for Completed {
    fn default() -> Self {
        Self {
            slots: (0..CAPACITY).map(|_| AtomicU64::new(0)).collect(),
        }
    }
}

impl Completed {
    /// Records that a request completed.
    pub fn record(&self, now: Instant, fingerprint: Fingerprint) {
        let (slot, tag) = self.locate(fingerprint);
        // An empty slot is 0.
        let ticks = now.as_micros() / 1_000 / TICK_MS + 1;
        slot.store(tag | ticks & ((1 << TIME_BITS) - 1), Ordering::Relaxed);
    }

    /// Returns whether a request with this fingerprint is known to have completed.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.latest(fingerprint).is_some()
    }

    /// Returns the time at which a request with this fingerprint last completed, rounded down to 8 ms.
    pub fn latest(&self, fingerprint: Fingerprint) -> Option<Instant> {
        let (slot, tag) = self.locate(fingerprint);
        let value = slot.load(Ordering::Relaxed);
        let ticks = (value & ((1 << TIME_BITS) - 1)).checked_sub(1)?;
        (value >> TIME_BITS == tag >> TIME_BITS).then(|| Instant::from_millis(ticks * TICK_MS))
    }

    /// Returns the slot of a fingerprint, and the digits that distinguish it there.
    fn locate(&self, fingerprint: Fingerprint) -> (&AtomicU64, u64) {
        let digits = fingerprint.get();
        let (high, low) = ((digits >> 64) as u64, digits as u64);
        (&self.slots[low as usize % CAPACITY], high << TIME_BITS)
    }
}
