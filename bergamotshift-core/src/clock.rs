//! Kernel time in microseconds since an epoch that the process chooses.
//!
//! The kernel never reads a clock. Every event carries an [`Instant`], so a test or a replay can simulate a day in a
//! second and always processes events in the same order.

use core::fmt;
use core::ops::Add;
use core::ops::Sub;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Point in kernel time, in microseconds since the process's epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Instant(u64);

impl Instant {
    /// Epoch of kernel time.
    pub const ZERO: Self = Self(0);

    /// Latest representable instant, which no event reaches.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates an instant from microseconds since the epoch.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates an instant from milliseconds since the epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Creates an instant from seconds since the epoch.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000_000))
    }

    /// Returns the microseconds since the epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than this instant.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Expiry time of a temporary state, which any thread may set.
///
/// ```
/// use bergamotshift_core::prelude::*;
/// use bergamotshift_core::clock::Expiry;
///
/// let pause = Expiry::default();
/// pause.extend(Instant::from_secs(5));
/// pause.extend(Instant::from_secs(3));
/// assert_eq!(pause.after(Instant::from_secs(4)), Some(Instant::from_secs(5)));
/// assert_eq!(pause.after(Instant::from_secs(5)), None);
/// ```
#[derive(Debug, Default)]
pub struct Expiry(AtomicU64);

impl Expiry {
    /// Sets the expiry time.
    pub fn set(&self, at: Instant) {
        self.0.store(at.0, Relaxed);
    }

    /// Sets the expiry time if it is later than the current one.
    pub fn extend(&self, at: Instant) {
        self.0.fetch_max(at.0, Relaxed);
    }

    /// Returns the expiry time if it is after `now`, otherwise `None`.
    pub fn after(&self, now: Instant) -> Option<Instant> {
        Some(Instant(self.0.load(Relaxed))).filter(|at| *at > now)
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
