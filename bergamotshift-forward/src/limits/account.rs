//! Rate limit of one organisation at this entry.

use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::bucket::Bucket;
use bergamotshift_limit::precedence::Kind;
use bergamotshift_limit::precedence::Level;
use bergamotshift_limit::precedence::Precedence;

use crate::document::Limit;
use crate::document::Unit;

/// Value of [`Account::burst`] without a limit.
const UNLIMITED: u64 = u64::MAX;

/// Value of [`Account::burst`] for a quota of nothing.
const CLOSED: u64 = u64::MAX - 1;

/// Time after which a quota of nothing may have grown; entries announce their shares several times per second.
const CLOSED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Debt that a starting process assumes for an organisation that may have been at its limit, in bursts. The debt from
/// before the start is unknown, and every entry lets one request overdraw its share.
const INITIAL_DEBT: f64 = 1.25;

/// Debt that a starting process assumes for an organisation that all entries knew to be far below its limit a few
/// seconds before, in bursts. Entries may be killed twice within a window, so not the whole burst is available after
/// each start: what two such starts make available and what the limit admits between them stay below the tenth by which
/// a window may exceed a limit.
pub const INITIAL_DEBT_CALM: f64 = 0.4;

/// Part of a limit that an entry may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Rate, in units per second.
    pub rate: f64,
    /// Burst, in units.
    pub burst: f64,
    /// Burst of this entry's share alone, in units; `burst` may be larger while demand is far below the limit.
    pub share_burst: f64,
    /// Debt that a starting process assumes, in multiples of `share_burst`.
    pub initial_debt: f64,
}

impl Default for Quota {
    fn default() -> Self {
        Self {
            rate: 0.0,
            burst: 0.0,
            share_burst: 0.0,
            initial_debt: INITIAL_DEBT,
        }
    }
}

impl Quota {
    /// Returns this quota with the rate and the share's burst multiplied by `share`, and the burst multiplied by
    /// `burst`.
    #[must_use]
    pub fn scaled(self, share: f64, burst: f64) -> Self {
        Self {
            rate: self.rate * share,
            burst: self.burst * burst,
            share_burst: self.share_burst * share,
            ..self
        }
    }

    /// Returns the time in which the rate, which must not be zero, pays for a number of bursts.
    fn burst_duration(self, bursts: f64) -> Duration {
        pay_time(self.share_burst, self.rate).mul_f64(bursts)
    }
}

/// Longest time in which a rate pays for units, which can be converted and multiplied safely: a century. An operator may state a
/// rate that is next to nothing beside its burst, and the whole burst has to count.
const MAX_PAY_TIME: Duration = Duration::from_hours(24 * 365 * 100);

/// Returns the time in which a rate, which must not be zero, pays for a number of units.
fn pay_time(units: f64, rate: f64) -> Duration {
    Duration::from_secs_f64((units / rate).clamp(0.0, MAX_PAY_TIME.as_secs_f64()))
}

/// Refusal of a request, as its organisation exceeds this entry's share of its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Time until units are available.
    pub retry_after: Duration,
}

/// Token bucket of one organisation at this entry; lives as long as the process, so that no reload forgets a debt.
#[derive(Debug)]
pub struct Account {
    bucket: Bucket,
    precedence: Precedence,
    /// Time in which the rate pays for the burst, in nanoseconds, or [`UNLIMITED`] or [`CLOSED`].
    burst: AtomicU64,
    /// Whether it ever had a quota above zero.
    had_quota: AtomicBool,
    /// Time at which the debt that was assumed at the start is paid, in microseconds.
    assumed_until: AtomicU64,
    /// Units requested since the last call of [`Account::take_requested`], refused ones included.
    requested: AtomicU64,
    /// Units admitted that were not reported to a keeper.
    unreported: AtomicU64,
}

impl Default for Account {
    fn default() -> Self {
        Self {
            bucket: Bucket::new(1.0, 1.0),
            precedence: Precedence::default(),
            burst: AtomicU64::new(UNLIMITED),
            had_quota: AtomicBool::new(false),
            assumed_until: AtomicU64::new(0),
            requested: AtomicU64::new(0),
            unreported: AtomicU64::new(0),
        }
    }
}

impl Account {
    /// Sets this entry's quota; `None` removes the limit, and a quota of nothing admits no request.
    ///
    /// The first quota above zero starts with the debt of [`Quota::initial_debt`]. If all entries were killed and each
    /// started again with a whole burst, the organisation would use its burst twice within a window. That debt is the
    /// organisation's, and grows and shrinks with this entry's part of the limit until it is paid.
    pub fn set(&self, now: Instant, quota: Option<Quota>) {
        let Some(quota) = quota else {
            self.burst.store(UNLIMITED, Relaxed);
            return;
        };
        if quota.rate <= 0.0 {
            self.burst.store(CLOSED, Relaxed);
            return;
        }
        self.bucket
            .set_rate_keeping(now, quota.rate, quota.burst, self.assumed(now));
        let length = pay_time(quota.burst, quota.rate);
        let nanos = u64::try_from(length.as_nanos()).unwrap_or(CLOSED).min(CLOSED - 1);
        self.burst.store(nanos, Relaxed);
        if !self.had_quota.swap(true, Relaxed) {
            let assumed = quota.burst_duration(quota.initial_debt);
            self.bucket.set_owed(now, assumed);
            self.set_assumed(now, assumed);
        }
    }

    /// Reduces the debt that was assumed at the start to at most `bursts`, once the organisation is known to have been
    /// far below its limit. What was admitted since stays owed.
    pub fn cap_debt(&self, now: Instant, quota: Quota, bursts: f64) {
        if quota.rate > 0.0 && self.had_quota.load(Relaxed) {
            let assumed = self.assumed(now);
            let capped = assumed.min(quota.burst_duration(bursts));
            self.bucket.forgive(assumed.saturating_sub(capped));
            self.set_assumed(now, capped);
        }
    }

    /// Returns the time until the debt that was assumed at the start is paid.
    fn assumed(&self, now: Instant) -> Duration {
        Instant::from_micros(self.assumed_until.load(Relaxed)).since(now)
    }

    fn set_assumed(&self, now: Instant, assumed: Duration) {
        self.assumed_until.store((now + assumed).as_micros(), Relaxed);
    }

    /// Takes units for a request.
    ///
    /// A request is admitted while any of the burst is left, and may overdraw it: a large request must not be refused
    /// for being larger than one entry's share of the burst. The debt is paid before the next request is admitted. A stream
    /// that its caller takes up goes before requests that begin.
    ///
    /// # Errors
    ///
    /// Returns the time until units are available.
    pub fn take(&self, now: Instant, units: u64, kind: Kind) -> Result<(), Refused> {
        self.requested.fetch_add(units, Relaxed);
        let burst = match self.burst.load(Relaxed) {
            UNLIMITED => return Ok(()),
            CLOSED => {
                return Err(Refused {
                    retry_after: CLOSED_RETRY_AFTER,
                });
            }
            burst => Duration::from_nanos(burst),
        };
        let level = Level {
            owed: self.bucket.owed(now),
            burst,
            cost: self.bucket.duration(units),
        };
        let admitted = self.precedence.admit(now, kind, level);
        admitted.map_err(|retry_after| Refused { retry_after })?;
        self.bucket.charge(now, units);
        self.unreported.fetch_add(units, Relaxed);
        Ok(())
    }

    /// Returns the units that were admitted here, are not paid for yet and were not reported to a keeper, and counts
    /// them as reported.
    ///
    /// They move to the keeper with the entry's first question, before the keeper grants anything to it. While a fleet
    /// grows, its entries admit requests from their own shares until each knows enough others. If the keeper did
    /// not count those units, it would grant the burst a second time.
    pub fn take_unreported(&self, now: Instant) -> u64 {
        let unreported = self.unreported.swap(0, Relaxed);
        unreported.min(self.bucket.owed_units(now))
    }

    /// Counts units as unreported again, since their report did not reach a keeper.
    pub fn restore_unreported(&self, units: u64) {
        self.unreported.fetch_add(units, Relaxed);
    }

    /// Charges units that another entry admitted before it asked this one, even if they exceed the quota.
    pub fn charge(&self, now: Instant, units: u64) {
        if units > 0 && self.had_quota.load(Relaxed) {
            self.bucket.charge(now, units);
        }
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&self, units: u64) {
        if self.burst.load(Relaxed) != UNLIMITED {
            self.bucket.refund(units);
        }
    }

    /// Returns the units requested since the last call, refused ones included.
    pub fn take_requested(&self) -> u64 {
        self.requested.swap(0, Relaxed)
    }
}

impl Limit {
    /// Returns the units that a request costs; `size` is the number of tokens of a generation.
    pub const fn units(&self, size: Option<u64>) -> u64 {
        match (self.unit, size) {
            (Unit::Requests, _) => 1,
            (Unit::Tokens { .. }, Some(tokens)) => tokens,
            (Unit::Tokens { plain }, None) => plain as u64,
        }
    }
}
