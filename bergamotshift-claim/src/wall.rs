//! Conversion of kernel time to wall-clock time.

use bergamotshift_core::clock::Instant;

/// Ties kernel time to the wall clock, in milliseconds since the Unix epoch.
///
/// Rows outlive the process that wrote them, so their times are wall-clock times. No safety property rests on them:
/// they only choose between "still running" and "unknown", and when a row may be purged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct WallClock {
    at: Instant,
    unix_millis: u64,
}

impl WallClock {
    /// Ties the kernel time `at` to `unix_millis`.
    pub const fn new(at: Instant, unix_millis: u64) -> Self {
        Self { at, unix_millis }
    }

    /// Returns the wall-clock time at `instant`, in milliseconds since the Unix epoch.
    pub const fn millis(self, instant: Instant) -> u64 {
        const MICROS: u64 = 1_000;
        let origin = self.at.as_micros() / MICROS;
        let instant = instant.as_micros() / MICROS;
        self.unix_millis.saturating_add(instant).saturating_sub(origin)
    }
}
