//! Lock-free token bucket with a variable rate.

use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;

use bergamotshift_core::prelude::*;

const PICOS_PER_SECOND: f64 = 1e12;
const PICOS_PER_NANO: u64 = 1_000;
const NANOS_PER_MICRO: u64 = 1_000;

/// Token bucket that limits units per second and allows bursts, by the generic cell rate algorithm.
///
/// The state is a single instant, the algorithm's theoretical arrival time: the time at which all units taken so far
/// are paid for. It lies in the past when the bucket is full. Any worker may take units; only the control thread sets
/// the rate.
///
/// ```
/// use bergamotshift_core::prelude::*;
/// use bergamotshift_limit::bucket::Bucket;
///
/// let bucket = Bucket::new(10.0, 2.0);
/// let now = Instant::from_secs(1);
/// assert!(bucket.try_take(now, 2).is_ok());
/// let wait = bucket.try_take(now, 1).expect_err("the burst is used up");
/// assert!(bucket.try_take(now + wait, 1).is_ok());
/// ```
#[derive(Debug)]
pub struct Bucket {
    /// Theoretical arrival time, in nanoseconds since the epoch.
    paid_at: AtomicU64,
    picos_per_unit: AtomicU64,
    burst_nanos: AtomicU64,
}

impl Bucket {
    /// Creates a full bucket of `rate` units per second that holds `burst` units.
    pub fn new(rate: f64, burst: f64) -> Self {
        let picos = picos_per_unit(rate);
        Self {
            paid_at: AtomicU64::new(0),
            picos_per_unit: AtomicU64::new(picos),
            burst_nanos: AtomicU64::new(burst_nanos(picos, burst)),
        }
    }

    /// Takes units if the bucket holds them.
    ///
    /// More units than the burst can be taken from a full bucket, which is then in debt.
    ///
    /// # Errors
    ///
    /// Returns the time until the bucket holds enough units.
    pub fn try_take(&self, now: Instant, units: u64) -> Result<(), Duration> {
        let now = nanos(now);
        let cost = self.cost(units);
        let burst = self.burst_nanos.load(Relaxed);
        let needed = cost.min(burst);
        let taken = self.paid_at.try_update(Relaxed, Relaxed, |paid_at| {
            let owed = paid_at.saturating_sub(now);
            (owed.saturating_add(needed) <= burst).then(|| now.saturating_add(owed).saturating_add(cost))
        });
        taken.map(|_| ()).map_err(|paid_at| {
            let owed = paid_at.saturating_sub(now);
            Duration::from_nanos(owed.saturating_add(needed).saturating_sub(burst))
        })
    }

    /// Takes units even if the bucket does not hold them.
    pub fn charge(&self, now: Instant, units: u64) {
        let now = nanos(now);
        let cost = self.cost(units);
        self.paid_at
            .update(Relaxed, Relaxed, |paid_at| paid_at.max(now).saturating_add(cost));
    }

    /// Returns units to the bucket.
    pub fn refund(&self, units: u64) {
        let cost = self.cost(units);
        self.paid_at
            .update(Relaxed, Relaxed, |paid_at| paid_at.saturating_sub(cost));
    }

    /// Returns the time from `now` until all units taken are paid for.
    pub fn owed(&self, now: Instant) -> Duration {
        Duration::from_nanos(self.paid_at.load(Relaxed).saturating_sub(nanos(now)))
    }

    /// Returns the time in which units are paid for.
    pub fn duration(&self, units: u64) -> Duration {
        Duration::from_nanos(self.cost(units))
    }

    /// Returns the number of units taken that are not paid for yet.
    pub fn owed_units(&self, now: Instant) -> u64 {
        let owed = self.owed(now).as_nanos() * u128::from(PICOS_PER_NANO);
        let per_unit = u128::from(self.picos_per_unit.load(Relaxed).max(1));
        u64::try_from(owed / per_unit).unwrap_or(u64::MAX)
    }

    /// Sets the time from `now` until all units taken are paid for.
    pub fn set_owed(&self, now: Instant, owed: Duration) {
        let owed = u64::try_from(owed.as_nanos()).unwrap_or(u64::MAX);
        self.paid_at.store(nanos(now).saturating_add(owed), Relaxed);
    }

    /// Reduces the time until all units taken are paid for.
    pub fn forgive(&self, time: Duration) {
        let time = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
        self.paid_at
            .update(Relaxed, Relaxed, |paid_at| paid_at.saturating_sub(time));
    }

    /// Changes the rate and the burst; the debt stays the same in units.
    pub fn set_rate(&self, now: Instant, rate: f64, burst: f64) {
        self.set_rate_keeping(now, rate, burst, Duration::ZERO);
    }

    /// Changes the rate and the burst; `kept` of the debt stays the same in time, and the rest in units.
    pub fn set_rate_keeping(&self, now: Instant, rate: f64, burst: f64, kept: Duration) {
        let new = picos_per_unit(rate);
        let old = self.picos_per_unit.swap(new, Relaxed);
        self.burst_nanos.store(burst_nanos(new, burst), Relaxed);
        if old == new {
            return;
        }
        let now = nanos(now);
        let kept = u64::try_from(kept.as_nanos()).unwrap_or(u64::MAX);
        let factor = new as f64 / old as f64;
        self.paid_at.update(Relaxed, Relaxed, |paid_at| {
            let owed = paid_at.saturating_sub(now);
            if owed > kept {
                let scaled = (owed - kept) as f64 * factor;
                now.saturating_add(kept).saturating_add(scaled as u64)
            } else {
                paid_at
            }
        });
    }

    /// Returns the time in which the bucket refills by `units`, in nanoseconds.
    fn cost(&self, units: u64) -> u64 {
        let picos = u128::from(self.picos_per_unit.load(Relaxed)) * u128::from(units);
        u64::try_from(picos / u128::from(PICOS_PER_NANO)).unwrap_or(u64::MAX)
    }
}

fn nanos(at: Instant) -> u64 {
    at.as_micros().saturating_mul(NANOS_PER_MICRO)
}

/// Returns the refill time of one unit, in picoseconds; a rate of zero gives a time longer than any process runs.
fn picos_per_unit(rate: f64) -> u64 {
    if rate > 0.0 {
        // The conversion saturates; a refill time of zero would remove the limit.
        ((PICOS_PER_SECOND / rate) as u64).max(1)
    } else {
        u64::MAX
    }
}

/// Returns the refill time of `burst` units, in nanoseconds.
fn burst_nanos(picos_per_unit: u64, burst: f64) -> u64 {
    (picos_per_unit as f64 * burst.max(0.0) / PICOS_PER_NANO as f64) as u64
}
