//! One organisation's use of its limits at this entry, on the request path.

use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;

use bergamotshift_core::prelude::*;

use super::Cost;
use super::Excess;
use super::Limit;
use super::Limits;
use crate::bucket::Bucket;

const SECONDS_PER_HOUR: f64 = 3_600.0;

/// Token buckets of one organisation at this entry.
///
/// All methods take `&self` and are lock-free.
#[derive(Debug)]
pub struct Account {
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
    spend: Option<Bucket>,
    /// Requests since the last tick, refused ones included.
    requested: AtomicU64,
}

impl Account {
    pub(super) fn new(limits: &Limits) -> Self {
        let bucket = |rate: Option<f64>| rate.map(|_| Bucket::new(0.0, 0.0));
        Self {
            requests: bucket(limits.requests_per_second),
            tokens: bucket(limits.tokens_per_second),
            spend: bucket(limits.spend_per_hour.map(|_| 0.0)),
            requested: AtomicU64::new(0),
        }
    }

    /// Charges one request of this cost to all limits, or to none of them.
    ///
    /// # Errors
    ///
    /// Returns the first limit that is reached and the time until the request would be admitted.
    pub fn admit(&self, now: Instant, cost: Cost) -> Result<(), Excess> {
        self.requested.fetch_add(1, Relaxed);
        let charges = self.charges(cost);
        for (index, (limit, bucket, units)) in charges.iter().enumerate() {
            let Err(retry_after) = take(*bucket, now, *units) else {
                continue;
            };
            for (_, bucket, units) in &charges[..index] {
                refund(*bucket, *units);
            }
            let limit = *limit;
            return Err(Excess { limit, retry_after });
        }
        Ok(())
    }

    /// Gives back the cost of an admitted request that was then refused or deferred.
    pub fn refund(&self, cost: Cost) {
        for (_, bucket, units) in self.charges(cost) {
            refund(bucket, units);
        }
    }

    /// Replaces the expected cost of an admitted request by its actual cost.
    pub fn settle(&self, now: Instant, expected: Cost, used: Cost) {
        settle(self.tokens.as_ref(), now, expected.tokens, used.tokens);
        let spend = (expected.spend.as_micros(), used.spend.as_micros());
        settle(self.spend.as_ref(), now, spend.0, spend.1);
    }

    /// Returns the number of requests since the last call, refused ones included.
    pub(super) fn take_requested(&self) -> u64 {
        self.requested.swap(0, Relaxed)
    }

    /// Sets the buckets to this portion of the limits' rates, with the whole burst.
    ///
    /// When an idle organisation sends requests to one entry, that entry's portion is small until the others have
    /// received its announcement. Each entry therefore holds the whole burst; otherwise the organisation would be
    /// refused far below its limit. Debt is kept in units, so that every entry grants at most one burst, once, and the
    /// fleet grants the limit's rate after that.
    pub(super) fn set_portion(&self, now: Instant, limits: &Limits, portion: f64) {
        let seconds = limits.burst_seconds();
        let requests = limits.requests_per_second.unwrap_or(0.0);
        set_rate(self.requests.as_ref(), now, requests * portion, limits.burst.max(1.0));
        let tokens = limits.tokens_per_second.unwrap_or(0.0);
        set_rate(self.tokens.as_ref(), now, tokens * portion, tokens * seconds);
        let spend = limits.spend_per_hour.unwrap_or_default().as_micros() as f64 / SECONDS_PER_HOUR;
        set_rate(self.spend.as_ref(), now, spend * portion, spend * seconds);
    }

    /// Returns each limit with its bucket and the units that a request of this cost takes from it.
    const fn charges(&self, cost: Cost) -> [(Limit, Option<&Bucket>, u64); 3] {
        [
            (Limit::Requests, self.requests.as_ref(), 1),
            (Limit::Tokens, self.tokens.as_ref(), cost.tokens),
            (Limit::Spend, self.spend.as_ref(), cost.spend.as_micros()),
        ]
    }
}

fn take(bucket: Option<&Bucket>, now: Instant, units: u64) -> Result<(), Duration> {
    bucket.map_or(Ok(()), |bucket| bucket.try_take(now, units))
}

fn refund(bucket: Option<&Bucket>, units: u64) {
    if let Some(bucket) = bucket {
        bucket.refund(units);
    }
}

fn settle(bucket: Option<&Bucket>, now: Instant, expected: u64, used: u64) {
    let Some(bucket) = bucket else { return };
    if used > expected {
        bucket.charge(now, used - expected);
    } else {
        bucket.refund(expected - used);
    }
}

fn set_rate(bucket: Option<&Bucket>, now: Instant, rate: f64, burst: f64) {
    if let Some(bucket) = bucket {
        bucket.set_rate(now, rate, burst);
    }
}
