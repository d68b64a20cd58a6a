//! The clock that decisions are made by.

use bergamotshift_core::prelude::*;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Tells kernel time from the system's boot clock.
///
/// Failure: a VM is suspended for seconds, and the steady clock does not count them. Symptom: a process wakes with a
/// lease that lapsed long ago and believes in it. The boot clock counts the pause, so every age and lease is true.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// Returns the time since the system started.
    pub fn now(self) -> Instant {
        const MICROS: u64 = 1_000_000;
        const NANOS: u64 = 1_000;
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        Instant::from_micros(seconds * MICROS + nanos / NANOS)
    }
}
