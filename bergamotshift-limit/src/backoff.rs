//! Delays between attempts: exponential backoff with jitter from a seeded generator.

use core::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Exponential backoff with jitter in the upper half of each delay.
///
/// Requests that fail together would otherwise be retried together, in bursts at regular intervals. The random half of
/// the delay spreads the retries; the fixed half prevents an immediate retry.
///
/// ```
/// use bergamotshift_limit::backoff::Backoff;
/// use rand_pcg::Pcg64Mcg;
///
/// let backoff = Backoff::default();
/// let delay = backoff.delay(0, &mut Pcg64Mcg::new(7));
/// assert!(delay >= backoff.base / 2 && delay <= backoff.base);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Longest delay after the first failure.
    pub base: Duration,
    /// Upper bound of every delay.
    pub cap: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(50),
            cap: Duration::from_secs(2),
        }
    }
}

impl Backoff {
    /// Returns the longest delay after `retries` earlier retries.
    pub const fn ceiling(&self, retries: u32) -> Duration {
        const MAX_DOUBLINGS: u32 = 30;
        let doublings = if retries < MAX_DOUBLINGS {
            retries
        } else {
            MAX_DOUBLINGS
        };
        let delay = self.base.saturating_mul(1 << doublings);
        if delay.as_nanos() < self.cap.as_nanos() {
            delay
        } else {
            self.cap
        }
    }

    /// Draws the delay after `retries` earlier retries, between half the ceiling and the ceiling.
    pub fn delay(&self, retries: u32, rng: &mut Pcg64Mcg) -> Duration {
        let ceiling = u64::try_from(self.ceiling(retries).as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(rng.random_range(ceiling / 2..=ceiling))
    }
}
