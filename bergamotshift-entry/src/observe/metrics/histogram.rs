//! A histogram of times without a lock.

use core::fmt;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::sync::Arc;

use prometheus_client::encoding::EncodeMetric;
use prometheus_client::encoding::MetricEncoder;
use prometheus_client::encoding::NoLabelSet;
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::TypedMetric;

/// The upper bounds of all buckets but the last, in microseconds; from 0.5 ms to 60 s.
const BOUNDS: [u64; 16] = [
    500, 1_000, 2_000, 5_000, 10_000, 20_000, 50_000, 100_000, 200_000, 500_000, 1_000_000, 2_000_000, 5_000_000,
    10_000_000, 30_000_000, 60_000_000,
];

/// Bounds and one bucket for what lies above them.
const BUCKETS: usize = BOUNDS.len() + 1;

/// A histogram of times; clones count into the same buckets.
///
/// The metrics library's own takes a lock for each observation, and all worker threads count answers.
#[derive(Clone, Debug, Default)]
pub struct Histogram(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    micros: AtomicU64,
    buckets: [AtomicU64; BUCKETS],
}

impl Histogram {
    /// Counts a time.
    pub fn observe(&self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let bucket = BOUNDS.partition_point(|bound| *bound < micros);
        self.0.buckets[bucket].fetch_add(1, Ordering::Relaxed);
        self.0.micros.fetch_add(micros, Ordering::Relaxed);
    }

    /// Returns how many times were counted.
    pub fn count(&self) -> u64 {
        self.0.buckets.iter().map(|bucket| bucket.load(Ordering::Relaxed)).sum()
    }
}

impl EncodeMetric for Histogram {
    fn encode(&self, mut encoder: MetricEncoder<'_>) -> Result<(), fmt::Error> {
        const MICROS: f64 = 1e6;
        let bounds = BOUNDS.iter().map(|bound| *bound as f64 / MICROS);
        let counts = self.0.buckets.iter().map(|bucket| bucket.load(Ordering::Relaxed));
        let buckets: Vec<_> = bounds.chain([f64::INFINITY]).zip(counts).collect();
        // The sum of what is written, so that the last bucket and the count agree.
        let count = buckets.iter().map(|(_, count)| count).sum();
        let sum = self.0.micros.load(Ordering::Relaxed) as f64 / MICROS;
        encoder.encode_histogram::<NoLabelSet>(sum, count, &buckets, None)
    }

    fn metric_type(&self) -> MetricType {
        Self::TYPE
    }
}

impl TypedMetric for Histogram {
    const TYPE: MetricType = MetricType::Histogram;
}
