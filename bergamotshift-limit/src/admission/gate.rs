//! The predicted wait of one service, kept in one clock per urgency.

use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;

use bergamotshift_core::prelude::*;

use super::Decision;
use super::Reason;
use super::Request;
use crate::bucket::Bucket;

/// When a service counts as contended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The part of the target at which waits begin to be shared by weight.
    pub contention: f64,
    /// The part of the target kept for what the prediction does not see.
    pub margin: f64,
    /// The shortest time that a refused caller is told to stay away.
    pub min_retry: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            contention: 0.4,
            margin: 0.1,
            min_retry: Duration::from_millis(200),
        }
    }
}

/// One per urgency.
pub(super) const CLASSES: usize = 3;

/// Predicts waits from the last reports and from what was admitted since.
///
/// For each urgency a clock holds when the service will have done all admitted work at least as urgent, as engines
/// honour priorities. The control thread sets the clocks from load reports; each admission moves them on, so a burst
/// between two reports sees itself.
#[derive(Debug)]
pub struct Gate {
    settings: Settings,
    clocks: [Bucket; CLASSES],
    concurrency_nanos: AtomicU64,
    admitted: [AtomicU64; CLASSES],
}

impl Gate {
    /// Makes a gate that knows of no capacity: it predicts no wait, as nothing has been admitted.
    pub fn new(settings: Settings) -> Self {
        let clocks = core::array::from_fn(|_| Bucket::new(f64::INFINITY, 0.0));
        let admitted = Default::default();
        Self {
            settings,
            clocks,
            concurrency_nanos: AtomicU64::new(0),
            admitted,
        }
    }

    /// Sets the service's capacity and its present waits; see [`super::Forecast`] for waits that are not present.
    ///
    /// `capacity` is the whole service's, in units of work per second. `waits` are by [`Urgency`], each including more
    /// urgent work, and what [`Gate::set_concurrency`] takes off. `portion` is this entry's part of the demand: what the others admit meanwhile is taken to grow
    /// in step with what this one admits.
    pub fn set(&self, now: Instant, capacity: f64, waits: [Duration; CLASSES], portion: f64) {
        let seen = capacity * portion.clamp(f64::MIN_POSITIVE, 1.0);
        for (clock, wait) in self.clocks.iter().zip(waits) {
            clock.set_rate(now, seen, 0.0);
            clock.set_owed(now, wait);
        }
    }

    /// Sets how much of the admitted work runs at once, as the time that it takes at the whole capacity.
    ///
    /// Failure: an engine runs a full batch side by side, and its work is taken for a queue. Symptom: requests are
    /// refused while slots are free. Only what goes beyond the slots waits.
    pub fn set_concurrency(&self, concurrency: Duration) {
        let nanos = u64::try_from(concurrency.as_nanos()).unwrap_or(u64::MAX);
        self.concurrency_nanos.store(nanos, Relaxed);
    }

    /// Returns the predicted wait of a request that arrives now.
    pub fn wait(&self, now: Instant, urgency: Urgency) -> Duration {
        let concurrency = Duration::from_nanos(self.concurrency_nanos.load(Relaxed));
        self.clocks[class(urgency)].owed(now).saturating_sub(concurrency)
    }

    /// Decides on a request, given whether its organisation's share held its work, and notes it when admitted.
    pub fn weigh(&self, now: Instant, request: Request, share: Result<(), Duration>) -> Decision {
        let wait = self.wait(now, request.urgency);
        let decision = self.judge(now, request, share, wait);
        if decision == Decision::Admit {
            self.note(now, request);
        }
        decision
    }

    fn judge(&self, now: Instant, request: Request, share: Result<(), Duration>, wait: Duration) -> Decision {
        let contended = wait > request.target.mul_f64(self.settings.contention);
        let bound = request.target.mul_f64(1.0 - self.settings.margin);
        let excess = |reason, over: Duration| {
            let retry_after = over.max(self.settings.min_retry);
            Decision::Refuse { reason, retry_after }
        };
        if contended && request.deferrable && (share.is_err() || request.urgency == Urgency::Deferrable) {
            // It yields: what it would make wait might be urgent, or lie within its share.
            return Decision::Defer;
        }
        if now + wait >= request.deadline {
            return excess(Reason::Deadline, wait);
        }
        if let (Err(until), true) = (share, contended) {
            let uncontended = wait.saturating_sub(request.target.mul_f64(self.settings.contention));
            return excess(Reason::Share, until.min(uncontended));
        }
        if request.urgency == Urgency::Urgent && wait > bound {
            return excess(Reason::Target, wait.saturating_sub(bound));
        }
        Decision::Admit
    }

    /// Notes that an admitted request ended, of whatever was expected of it.
    ///
    /// Failure: a full batch ends and as many callers come at once. Symptom: until the next reading the freed slots
    /// count as taken, and callers are refused before idle engines. Time takes off what the capacity does as well, so
    /// between two readings the wait may be believed shorter by the time between them, and no more.
    pub fn complete(&self, urgency: Urgency, work: u64) {
        for clock in &self.clocks[class(urgency)..] {
            clock.refund(work);
        }
    }

    /// Returns the work admitted so far, by urgency, each including more urgent work.
    pub(super) fn admitted(&self) -> [u64; CLASSES] {
        core::array::from_fn(|class| self.admitted[class].load(Relaxed))
    }

    fn note(&self, now: Instant, request: Request) {
        for class in class(request.urgency)..CLASSES {
            self.clocks[class].charge(now, request.work);
            self.admitted[class].fetch_add(request.work, Relaxed);
        }
    }
}

const fn class(urgency: Urgency) -> usize {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Deferrable => 2,
    }
}
