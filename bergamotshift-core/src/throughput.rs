//! Minimum throughput of long transfers.
//!
//! A timeout on a whole transfer fails when the data grows: once a transfer takes longer than the timeout over the
//! slowest link, it is aborted and restarted forever, and the link is filled with discarded data. A minimum throughput
//! aborts a stalled transfer just as early, but lets a transfer of any size finish while it makes progress.
//!
//! ```
//! use bergamotshift_core::throughput::Throughput;
//! use core::time::Duration;
//!
//! let minimum = Throughput { bytes: 1_000, within: Duration::from_millis(500) };
//! let mut monitor = minimum.monitor();
//! assert!(monitor.is_sustained(1_000), "enough bytes in the first half second");
//! assert!(monitor.is_sustained(2_500), "and in the second one");
//! assert!(!monitor.is_sustained(3_000), "too few bytes in the third one");
//! ```

use core::time::Duration;

/// Minimum throughput of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Throughput {
    /// Minimum number of bytes per interval.
    pub bytes: usize,
    /// Length of the interval.
    pub within: Duration,
}

impl Throughput {
    /// Creates a monitor for a transfer that has not moved any bytes yet.
    pub const fn monitor(self) -> Monitor {
        Monitor {
            bytes: self.bytes,
            due: self.bytes,
        }
    }
}

/// Monitor of the throughput of one transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Monitor {
    bytes: usize,
    /// Total number of bytes due by the end of the current interval.
    due: usize,
}

impl Monitor {
    /// Returns whether enough bytes moved in the interval that ends now; call it at the end of each interval.
    ///
    /// `moved` is the total number of bytes moved so far.
    pub const fn is_sustained(&mut self, moved: usize) -> bool {
        let is_sustained = moved >= self.due;
        self.due = moved.saturating_add(self.bytes);
        is_sustained
    }
}
