//! How fast something long has to move over a link.
//!
//! Failure: a limit in time on the whole of something that grows. Symptom: once it takes longer than that over the narrowest
//! link, it is given up each time and begun anew, for good, and the link is full of what is thrown away. A pace asks only
//! that it moves: what is silent is given up as soon as ever, and what keeps coming is let come, however long it is.
//!
//! ```
//! use bergamotshift_core::throughput::Throughput;
//! use core::time::Duration;
//!
//! let minimum = Throughput { bytes: 1_000, within: Duration::from_millis(500) };
//! let mut monitor = minimum.monitor();
//! assert!(monitor.is_sustained(1_000), "enough came in the first half second");
//! assert!(monitor.is_sustained(2_500), "and in the next one");
//! assert!(!monitor.is_sustained(3_000), "it hardly moves any more");
//! ```

use core::time::Duration;

/// How fast something long has to move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Throughput {
    /// So many bytes.
    pub bytes: usize,
    /// Within each such time.
    pub within: Duration,
}

impl Throughput {
    /// Begins to watch over one transfer, of which nothing has moved yet.
    pub const fn monitor(self) -> Monitor {
        Monitor {
            bytes: self.bytes,
            due: self.bytes,
        }
    }
}

/// Watches over one transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Monitor {
    bytes: usize,
    /// How much must have moved by the end of this time.
    due: usize,
}

impl Monitor {
    /// Returns, at the end of each time, whether enough moved within it; `moved` is all that moved so far, in bytes.
    pub const fn is_sustained(&mut self, moved: usize) -> bool {
        let keeps = moved >= self.due;
        self.due = moved.saturating_add(self.bytes);
        keeps
    }
}
