//! Positive number that any thread may read and adjust.

use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;

/// Largest factor by which one sample changes a figure.
pub(super) const MAX_STEP: f64 = 2.0;

/// Factor from its initial value beyond which a figure does not move, so that no sequence of wrong samples makes it
/// useless.
const MAX_RANGE: f64 = 16.0;

/// Positive number with its initial value.
#[derive(Debug)]
pub(super) struct Figure {
    bits: AtomicU64,
    initial: f64,
}

impl Figure {
    /// Creates a figure.
    pub(super) const fn new(initial: f64) -> Self {
        Self {
            bits: AtomicU64::new(initial.to_bits()),
            initial,
        }
    }

    /// Returns its current value.
    pub(super) fn get(&self) -> f64 {
        f64::from_bits(self.bits.load(Relaxed))
    }

    /// Moves it towards its product with `ratio` by a share of `gain` of the logarithm, by a factor of 2 at most.
    pub(super) fn adjust(&self, ratio: f64, gain: f64) {
        let step = ratio.clamp(1.0 / MAX_STEP, MAX_STEP).powf(gain);
        let value = (self.get() * step).clamp(self.initial / MAX_RANGE, self.initial * MAX_RANGE);
        self.bits.store(value.to_bits(), Relaxed);
    }
}
