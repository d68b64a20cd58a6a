//! One organisation's use at this entry.

use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::bucket::Bucket;

use crate::document::Limit;
use crate::document::Unit;

/// Stands for no limit.
const UNLIMITED: u64 = u64::MAX;

/// Stands for a part of nothing.
const CLOSED: u64 = u64::MAX - 1;

/// When there may be a part; entries tell each other theirs several times a second.
const SOON: Duration = Duration::from_millis(300);

/// What a process that starts takes to be used up, in bursts, of an organisation that may have been at its limit: what was
/// owed before its start is not known, and every entry lets one request overdraw its share.
const INITIAL_DEBT: f64 = 1.25;

/// The same of an organisation that all entries knew to be far below its limit a few seconds before. Entries may be killed
/// twice within a window, so it gets no whole burst each time: two of these and what the limit lets in between them stay
/// below the tenth by which a window may exceed a limit.
pub const INITIAL_DEBT_CALM: f64 = 0.4;

/// An entry's part of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units per second.
    pub rate: f64,
    /// Units beyond that at once.
    pub burst: f64,
    /// What the burst is when nothing but this entry's share is counted.
    pub share_burst: f64,
    /// How many times that a process that starts takes to be used up.
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
    /// Returns a part of this one; `burst` is the part of the burst that may be used at once.
    #[must_use]
    pub fn scaled(self, share: f64, burst: f64) -> Self {
        Self {
            rate: self.rate * share,
            burst: self.burst * burst,
            share_burst: self.share_burst * share,
            ..self
        }
    }

    /// Returns how long so many bursts last at the rate, which is not zero.
    fn lasts(self, bursts: f64) -> Duration {
        Duration::from_secs_f64(self.share_burst / self.rate).mul_f64(bursts)
    }
}

/// The organisation is over this entry's share of its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// How long until there is room.
    pub retry_after: Duration,
}

/// One organisation's use at this entry; lives as long as the process, so that no reload forgets what is owed.
#[derive(Debug)]
pub struct Account {
    bucket: Bucket,
    /// How long the burst lasts at the rate, in nanoseconds, or [`UNLIMITED`] or [`CLOSED`].
    burst: AtomicU64,
    /// Whether it ever had a part of a limit.
    is_open: AtomicBool,
    /// Units asked for since the last look, refused ones included.
    asked: AtomicU64,
    /// Units let in that no keeper was told of.
    untold: AtomicU64,
}

impl Default for Account {
    fn default() -> Self {
        Self {
            bucket: Bucket::new(1.0, 1.0),
            burst: AtomicU64::new(UNLIMITED),
            is_open: AtomicBool::new(false),
            asked: AtomicU64::new(0),
            untold: AtomicU64::new(0),
        }
    }
}

impl Account {
    /// Sets this entry's part of the limit, or that there is no limit; a part of nothing lets nothing in.
    ///
    /// Failure: all entries are killed and start again, each with a whole burst. Symptom: the organisation uses its
    /// burst twice within a window. A limit that is new to the process starts with bursts used up.
    pub fn set(&self, now: Instant, part: Option<Quota>) {
        let Some(part) = part else {
            self.burst.store(UNLIMITED, Relaxed);
            return;
        };
        if part.rate <= 0.0 {
            self.burst.store(CLOSED, Relaxed);
            return;
        }
        self.bucket.set_rate(now, part.rate, part.burst);
        let length = Duration::from_secs_f64(part.burst / part.rate);
        let nanos = u64::try_from(length.as_nanos()).unwrap_or(CLOSED).min(CLOSED - 1);
        self.burst.store(nanos, Relaxed);
        if !self.is_open.swap(true, Relaxed) {
            self.bucket.set_owed(now, part.lasts(part.initial_debt));
        }
    }

    /// Takes no more than `used` bursts to be used up, now that the organisation is known to have been far below its limit.
    pub fn cap_debt(&self, now: Instant, part: Quota, used: f64) {
        if part.rate > 0.0 && self.is_open.load(Relaxed) {
            let owed = self.bucket.owed(now).min(part.lasts(used));
            self.bucket.set_owed(now, owed);
        }
    }

    /// Takes units for a request.
    ///
    /// A request is let in while anything of the burst is left and may overdraw it: a large request must not be
    /// refused for being larger than one entry's share of the burst. The debt is paid before the next is let in.
    ///
    /// # Errors
    ///
    /// Returns how long it takes until there is room.
    pub fn take(&self, now: Instant, units: u64) -> Result<(), Refused> {
        self.asked.fetch_add(units, Relaxed);
        let burst = match self.burst.load(Relaxed) {
            UNLIMITED => return Ok(()),
            CLOSED => return Err(Refused { retry_after: SOON }),
            burst => Duration::from_nanos(burst),
        };
        let owed = self.bucket.owed(now);
        let retry_after = owed.saturating_sub(burst);
        if !retry_after.is_zero() {
            return Err(Refused { retry_after });
        }
        self.bucket.charge(now, units);
        self.untold.fetch_add(units, Relaxed);
        Ok(())
    }

    /// Returns the units that were let in here, are not paid for yet and no keeper was told of; it is told now.
    ///
    /// Failure: a fleet grows, and its entries let callers in by their own shares until each has heard of enough others;
    /// whoever keeps the zone then grants the burst once more. Symptom: the organisation uses its burst twice. What was
    /// let in moves to the keeper with the first question, before that grants anything to the same entry.
    pub fn take_unreported(&self, now: Instant) -> u64 {
        let untold = self.untold.swap(0, Relaxed);
        untold.min(self.bucket.owed_units(now))
    }

    /// Takes back what a keeper did not get to hear.
    pub fn restore_unreported(&self, untold: u64) {
        self.untold.fetch_add(untold, Relaxed);
    }

    /// Counts units that another entry let in before it asked this one; whether there is room does not matter any more.
    pub fn charge(&self, now: Instant, units: u64) {
        if units > 0 && self.is_open.load(Relaxed) {
            self.bucket.charge(now, units);
        }
    }

    /// Gives the units of a request back that did not run.
    pub fn refund(&self, units: u64) {
        if self.burst.load(Relaxed) != UNLIMITED {
            self.bucket.refund(units);
        }
    }

    /// Returns the units asked for since the last call.
    pub fn take_requested(&self) -> u64 {
        self.asked.swap(0, Relaxed)
    }
}

impl Limit {
    /// Returns what a request counts; `size` is that of a generation.
    pub const fn units(&self, size: Option<u64>) -> u64 {
        match (self.unit, size) {
            (Unit::Requests, _) => 1,
            (Unit::Tokens { .. }, Some(tokens)) => tokens,
            (Unit::Tokens { plain }, None) => plain as u64,
        }
    }
}
