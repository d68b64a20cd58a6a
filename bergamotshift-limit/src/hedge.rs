//! Hedging: a second attempt in parallel with a slow first one.

use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;

use bergamotshift_core::prelude::*;

use crate::retry::Budget;

/// Hedging parameters of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Share of requests that are answered before a hedge is considered, for instance 0.95.
    pub quantile: f64,
    /// Shortest wait before a hedge.
    pub floor: Duration,
    /// Wait before any answer has been observed.
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

/// State of a request that may be hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Whether the request is safe to run twice.
    pub repeatable: bool,
    /// Urgency of the request.
    pub urgency: Urgency,
    /// Time that the first attempt has waited for its first byte.
    pub waited: Duration,
    /// Whether a hedge has already been sent.
    pub hedged: bool,
    /// Whether the request is suspected of crashing endpoints.
    pub suspected: bool,
}

/// Tracks the time to the first byte and decides on second attempts.
///
/// The wait follows a quantile by stochastic approximation: each answer moves it up or down by a small part of itself,
/// in the proportion that makes the quantile its equilibrium. It is a single atomic, shared by all workers; a lost
/// update between two workers costs one sample.
#[derive(Debug)]
pub struct Hedge {
    settings: Settings,
    /// Wait before a hedge, in microseconds.
    wait: AtomicU64,
}

/// Maximum fraction of the wait by which one answer moves it.
const STEP: f64 = 1.0 / 16.0;

impl Hedge {
    /// Creates a hedge that has observed no answer.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            wait: AtomicU64::new(micros(settings.initial)),
        }
    }

    /// Records the time to the first byte of an unhedged attempt.
    pub fn observe(&self, first_byte: Duration) {
        let wait = self.wait.load(Relaxed) as f64;
        let late = micros(first_byte) as f64 > wait;
        let quantile = self.settings.quantile;
        let factor = if late { quantile } else { quantile - 1.0 };
        let moved = wait * (1.0 + STEP * factor);
        let floor = micros(self.settings.floor).max(1) as f64;
        self.wait.store(moved.max(floor).round() as u64, Relaxed);
    }

    /// Returns the time that an attempt may wait for its first byte before it is hedged.
    pub fn wait(&self) -> Duration {
        Duration::from_micros(self.wait.load(Relaxed))
    }

    /// Returns whether a second attempt starts now, and takes it from the budget.
    ///
    /// Only repeatable, urgent requests are hedged, and only once. A request suspected of crashing endpoints is not
    /// hedged, because it could crash two at a time.
    pub fn decide(&self, request: Request, budget: &Budget) -> bool {
        let eligible = request.repeatable && !request.hedged && !request.suspected;
        eligible && request.urgency == Urgency::Urgent && request.waited >= self.wait() && budget.try_withdraw()
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
