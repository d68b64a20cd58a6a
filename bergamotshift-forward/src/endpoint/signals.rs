//! What an endpoint says of itself in its answers.

use core::sync::atomic::AtomicBool;
use core::sync::atomic::Ordering::Relaxed;

use bergamotshift_core::clock::Expiry;
use bergamotshift_core::prelude::*;
use bergamotshift_limit::throttle::Throttle;

/// What one incarnation of an endpoint said of itself; no registration takes any of it back.
#[derive(Debug, Default)]
pub struct Signals {
    /// The rate that it names.
    pub throttle: Throttle,
    leaving: AtomicBool,
    /// Until when it wants nothing from this entry.
    paused: Expiry,
}

impl Signals {
    /// Returns whether it said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Relaxed)
    }

    /// Notes that it said that it leaves, and returns whether that is news.
    pub fn mark_leaving(&self) -> bool {
        !self.leaving.swap(true, Relaxed)
    }

    /// Notes until when it wants nothing from this entry; an earlier time takes nothing back.
    pub fn pause_until(&self, until: Instant) {
        self.paused.extend(until);
    }

    /// Returns until when it wants nothing from this entry; `None` when it said no such time, or that is over.
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.paused.after(now)
    }
}
