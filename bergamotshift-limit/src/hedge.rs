//! Hedging: a second attempt beside a slow first one.

use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;

use bergamotshift_core::prelude::*;

use crate::retry::Budget;

/// When a service's requests are hedged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The share of requests that are answered before a hedge is considered, for instance 0.95.
    pub quantile: f64,
    /// The shortest wait before a hedge.
    pub floor: Duration,
    /// The wait assumed before any answer was seen.
    pub initial: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            quantile: 0.95,
            floor: Duration::from_millis(5),
            initial: Duration::from_millis(500),
        }
    }
}

/// What the decision needs to know of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Whether running it twice is harmless.
    pub repeatable: bool,
    /// How soon its answer is needed.
    pub urgency: Urgency,
    /// How long the first attempt has gone without its first byte.
    pub waited: Duration,
    /// Whether a hedge was sent already.
    pub hedged: bool,
    /// Whether it is suspected of killing endpoints.
    pub suspected: bool,
}

/// Learns how long first bytes take and decides on second attempts.
///
/// The wait follows a quantile by stochastic approximation: each answer moves it up or down by a small part of
/// itself, in the proportion that leaves it still at the quantile. One atomic holds it, so workers share it freely;
/// a lost update between two of them costs one sample.
#[derive(Debug)]
pub struct Hedge {
    settings: Settings,
    wait: AtomicU64,
}

/// Parts of the wait by which one answer at most moves it.
const STEP: f64 = 1.0 / 16.0;

impl Hedge {
    /// Makes a hedge that has seen no answer.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            wait: AtomicU64::new(micros(settings.initial)),
        }
    }

    /// Notes how long an unhedged attempt took to its first byte.
    pub fn observe(&self, first_byte: Duration) {
        let wait = self.wait.load(Relaxed) as f64;
        let late = micros(first_byte) as f64 > wait;
        let quantile = self.settings.quantile;
        let factor = if late { quantile } else { quantile - 1.0 };
        let moved = wait * (1.0 + STEP * factor);
        let floor = micros(self.settings.floor).max(1) as f64;
        self.wait.store(moved.max(floor).round() as u64, Relaxed);
    }

    /// Returns how long an attempt may go without its first byte before it is hedged.
    pub fn wait(&self) -> Duration {
        Duration::from_micros(self.wait.load(Relaxed))
    }

    /// Returns whether a second attempt starts now, and takes it from the budget.
    ///
    /// Only repeatable and urgent work is hedged, once. Suspected work is not: it would kill two endpoints at a time.
    pub fn decide(&self, request: Request, budget: &Budget) -> bool {
        let eligible = request.repeatable && !request.hedged && !request.suspected;
        eligible && request.urgency == Urgency::Urgent && request.waited >= self.wait() && budget.try_withdraw()
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
