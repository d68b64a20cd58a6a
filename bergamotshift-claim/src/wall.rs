//! Conversion of kernel time to wall-clock time.

use bergamotshift_core::clock::Instant;

/// Offset between kernel time and the wall clock.
///
/// Rows outlive the process that wrote them, so they contain wall-clock times. No safety property depends on these:
/// they only decide between "still running" and "unknown", and when a row may be purged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Clock {
    at: Instant,
    unix_millis: u64,
}

impl Clock {
    /// Creates a wall clock that shows `unix_millis`, in milliseconds since the Unix epoch, at the kernel time `at`.
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
