//! One organisation's use at this entry, asked on each request's path.

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

/// One organisation's buckets at this entry; every method takes `&self` and is lock-free.
#[derive(Debug)]
pub struct Account {
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
    spend: Option<Bucket>,
    asked: AtomicU64,
}

impl Account {
    pub(super) fn new(limits: &Limits) -> Self {
        let bucket = |rate: Option<f64>| rate.map(|_| Bucket::new(0.0, 0.0));
        Self {
            requests: bucket(limits.requests_per_second),
            tokens: bucket(limits.tokens_per_second),
            spend: bucket(limits.spend_per_hour.map(|_| 0.0)),
            asked: AtomicU64::new(0),
        }
    }

    /// Takes one request of this cost from all limits, or from none.
    ///
    /// # Errors
    ///
    /// Returns the first limit that is reached and when the request would pass.
    pub fn admit(&self, now: Instant, cost: Cost) -> Result<(), Excess> {
        self.asked.fetch_add(1, Relaxed);
        let steps = self.steps(cost);
        for (index, (limit, bucket, units)) in steps.iter().enumerate() {
            let Err(retry_after) = take(*bucket, now, *units) else {
                continue;
            };
            for (_, bucket, units) in &steps[..index] {
                refund(*bucket, *units);
            }
            let limit = *limit;
            return Err(Excess { limit, retry_after });
        }
        Ok(())
    }

    /// Gives back an admitted request that was then refused or deferred.
    pub fn refund(&self, cost: Cost) {
        for (_, bucket, units) in self.steps(cost) {
            refund(bucket, units);
        }
    }

    /// Corrects an admitted request's expected cost to what it did use.
    pub fn settle(&self, now: Instant, expected: Cost, used: Cost) {
        settle(self.tokens.as_ref(), now, expected.tokens, used.tokens);
        let spend = (expected.spend.as_micros(), used.spend.as_micros());
        settle(self.spend.as_ref(), now, spend.0, spend.1);
    }

    /// Returns the requests asked for since the last call, refused ones included.
    pub(super) fn drain_asked(&self) -> u64 {
        self.asked.swap(0, Relaxed)
    }

    /// Sets the buckets to this portion of the limits' rates; bursts are kept whole.
    ///
    /// Failure: a caller that was quiet comes to one entry, whose portion is small until the others have heard of it.
    /// Symptom: it is refused far below its limit. Each entry holds the whole burst for that time. What is taken stays
    /// owed in units, so all entries together give one burst each, once, and the limit's rate after that.
    pub(super) fn set(&self, now: Instant, limits: &Limits, portion: f64) {
        let seconds = limits.burst_seconds();
        let requests = limits.requests_per_second.unwrap_or(0.0);
        set(self.requests.as_ref(), now, requests * portion, limits.burst.max(1.0));
        let tokens = limits.tokens_per_second.unwrap_or(0.0);
        set(self.tokens.as_ref(), now, tokens * portion, tokens * seconds);
        let spend = limits.spend_per_hour.unwrap_or_default().as_micros() as f64 / SECONDS_PER_HOUR;
        set(self.spend.as_ref(), now, spend * portion, spend * seconds);
    }

    const fn steps(&self, cost: Cost) -> [(Limit, Option<&Bucket>, u64); 3] {
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

fn set(bucket: Option<&Bucket>, now: Instant, rate: f64, burst: f64) {
    if let Some(bucket) = bucket {
        bucket.set_rate(now, rate, burst);
    }
}
