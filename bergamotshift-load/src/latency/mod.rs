//! Latency histograms and their summaries.

use core::time::Duration;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

/// Longest latency that is told apart, in microseconds; longer ones count as this.
const MAX_MICROS: u64 = 3_600_000_000;
const DIGITS: u8 = 3;

/// A histogram of latencies in microseconds.
///
/// ```
/// use bergamotshift_load::latency::Recorder;
/// use core::time::Duration;
///
/// let mut recorder = Recorder::new();
/// recorder.record(Duration::from_millis(3));
/// assert_eq!(recorder.summary().count, 1);
/// ```
#[derive(Clone, Debug)]
pub struct Recorder(Histogram<u64>);

impl Recorder {
    /// Makes an empty recorder.
    ///
    /// # Panics
    ///
    /// Never: the bounds are constants that the histogram takes.
    pub fn new() -> Self {
        Self(Histogram::new_with_bounds(1, MAX_MICROS, DIGITS).expect("the bounds are valid"))
    }

    /// Counts one latency.
    pub fn record(&mut self, latency: Duration) {
        self.0.saturating_record(latency.as_micros() as u64);
    }

    /// Adds all latencies of another recorder.
    ///
    /// # Panics
    ///
    /// Never: both have the same bounds.
    pub fn merge(&mut self, other: &Self) {
        self.0.add(&other.0).expect("the bounds are equal");
    }

    /// Returns the figures of a report.
    pub fn summary(&self) -> Summary {
        Summary {
            count: self.0.len(),
            mean_us: self.0.mean() as u64,
            p50_us: self.0.value_at_quantile(0.5),
            p90_us: self.0.value_at_quantile(0.9),
            p95_us: self.0.value_at_quantile(0.95),
            p99_us: self.0.value_at_quantile(0.99),
            p999_us: self.0.value_at_quantile(0.999),
            max_us: self.0.max(),
        }
    }

    /// Returns pairs of percentile and latency in microseconds, for a plot.
    pub fn curve(&self) -> Vec<(f64, u64)> {
        const TICKS_PER_HALF: u32 = 5;
        self.0
            .iter_quantiles(TICKS_PER_HALF)
            .map(|step| (step.quantile_iterated_to(), step.value_iterated_to()))
            .collect()
    }
}

impl Default for Recorder {
    fn default() -> Self {
        Self::new()
    }
}

/// The figures of a histogram, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Summary {
    /// How many latencies.
    pub count: u64,
    /// Their mean.
    pub mean_us: u64,
    /// The median.
    pub p50_us: u64,
    /// The 90th percentile.
    pub p90_us: u64,
    /// The 95th percentile.
    pub p95_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
    /// The 99.9th percentile.
    pub p999_us: u64,
    /// The longest.
    pub max_us: u64,
}
