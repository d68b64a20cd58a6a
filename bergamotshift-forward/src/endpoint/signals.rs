//! Signals that an endpoint sends in its answers.

use core::sync::atomic::AtomicBool;
use core::sync::atomic::Ordering::Relaxed;

use bergamotshift_core::clock::Expiry;
use bergamotshift_core::prelude::*;
use bergamotshift_limit::throttle::Throttle;
use bergamotshift_limit::tolerance::Tolerance;

/// Signals from the answers of one incarnation of an endpoint; registrations do not override them.
#[derive(Debug, Default)]
pub struct Signals {
    /// Rate that it announces.
    pub throttle: Throttle,
    /// Rejections that it tolerates.
    pub tolerance: Tolerance,
    /// Whether it announced that it is leaving.
    leaving: AtomicBool,
    /// Time until which it accepts no requests from this entry.
    paused: Expiry,
}

impl Signals {
    /// Returns whether it announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Relaxed)
    }

    /// Records that it announced that it is leaving; returns whether this was not known before.
    pub fn mark_leaving(&self) -> bool {
        !self.leaving.swap(true, Relaxed)
    }

    /// Pauses requests from this entry until `until`; an earlier time does not shorten a pause.
    pub fn pause_until(&self, until: Instant) {
        self.paused.extend(until);
    }

    /// Returns the time until which it accepts no requests from this entry; `None` if no pause is in force.
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.paused.after(now)
    }
}
