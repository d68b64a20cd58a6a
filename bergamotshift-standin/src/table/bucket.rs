//! A rate limit that allows one second's worth at once.

use std::time::Instant;

/// A token bucket.
#[derive(Debug)]
pub(super) struct Bucket {
    rate: Option<u32>,
    level: f64,
    at: Instant,
}

impl Bucket {
    /// Makes a full bucket; without a rate it never runs dry.
    pub(super) fn new(rate: Option<u32>, now: Instant) -> Self {
        Self {
            rate,
            level: rate.map_or(0.0, f64::from),
            at: now,
        }
    }

    /// Takes so many units, or none when there are too few.
    pub(super) fn take(&mut self, units: usize, now: Instant) -> bool {
        let Some(rate) = self.rate.map(f64::from) else {
            return true;
        };
        let gained = now.duration_since(self.at).as_secs_f64() * rate;
        self.level = (self.level + gained).min(rate);
        self.at = now;
        let enough = self.level >= units as f64;
        if enough {
            self.level -= units as f64;
        }
        enough
    }
}
