//! What an endpoint says of itself in its answers.

use core::sync::atomic::AtomicBool;
use core::sync::atomic::Ordering::Relaxed;

use bergamotshift_limit::throttle::Throttle;

/// What one incarnation of an endpoint said of itself; no registration takes any of it back.
#[derive(Debug, Default)]
pub struct Said {
    /// The rate that it names.
    pub throttle: Throttle,
    leaves: AtomicBool,
}

impl Said {
    /// Returns whether it said that it leaves.
    pub fn leaves(&self) -> bool {
        self.leaves.load(Relaxed)
    }

    /// Notes that it said that it leaves, and returns whether that is news.
    pub fn leave(&self) -> bool {
        !self.leaves.swap(true, Relaxed)
    }
}
