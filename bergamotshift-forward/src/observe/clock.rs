//! Clock of the entry.

use core::time::Duration;
use std::time::SystemTime;

use bergamotshift_core::prelude::*;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Clock of the entry.
#[derive(Clone, Copy, Debug, Default)]
pub enum Clock {
    /// Time since boot, including the time for which the VM was suspended (`CLOCK_BOOTTIME`).
    ///
    /// The monotonic clock does not advance while a VM is suspended, so a process would resume with a lease that expired
    /// long ago and consider it valid.
    #[default]
    Boot,
    /// Time of the asynchronous runtime since an instant, which a model of a fleet can pause.
    Runtime(tokio::time::Instant),
}

impl Clock {
    /// Returns the time since boot.
    pub fn now(self) -> Instant {
        match self {
            Self::Boot => boot_time(),
            Self::Runtime(start) => Instant::ZERO + start.elapsed(),
        }
    }

    /// Returns the time of day, as time since the start of 1970; with [`Clock::Runtime`], the time since its start.
    pub fn unix_time(self) -> Duration {
        match self {
            Self::Boot => SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap_or_default(),
            Self::Runtime(start) => start.elapsed(),
        }
    }
}

fn boot_time() -> Instant {
    const MICROS: u64 = 1_000_000;
    const NANOS: u64 = 1_000;
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Instant::from_micros(seconds * MICROS + nanos / NANOS)
}
