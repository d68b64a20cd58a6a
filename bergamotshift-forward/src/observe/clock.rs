//! Clock of the entry.

use bergamotshift_core::prelude::*;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Reads the time since boot, including the time for which the VM was suspended (`CLOCK_BOOTTIME`).
///
/// The monotonic clock does not advance while a VM is suspended, so a process would resume with a lease that expired
/// long ago and consider it valid.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// Returns the time since boot.
    pub fn now(self) -> Instant {
        const MICROS: u64 = 1_000_000;
        const NANOS: u64 = 1_000;
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        Instant::from_micros(seconds * MICROS + nanos / NANOS)
    }
}
