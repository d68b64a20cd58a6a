//! Predicted wait of one service, by urgency.

use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;

use bergamotshift_core::prelude::*;

use super::Decision;
use super::Reason;
use super::Request;
use crate::bucket::Bucket;

/// Admission parameters of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Wait, as a fraction of the latency target, above which a service is contended and shares are enforced.
    pub contention: f64,
    /// Fraction of the latency target reserved for prediction errors.
    pub margin: f64,
    /// Shortest retry time given to a refused caller.
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

/// Number of urgency classes.
pub(super) const CLASSES: usize = 3;

/// Predicts waits from the last load reports and from the work admitted since, and decides on requests.
///
/// For each urgency, a bucket holds the time at which the service will have done all admitted work that is at least as
/// urgent, because engines serve requests by priority. The control thread sets the backlogs from load reports. Each
/// admission adds to them, so that a burst between two reports is taken into account.
#[derive(Debug)]
pub struct Gate {
    settings: Settings,
    /// Backlog of admitted work by urgency, each including more urgent work.
    backlogs: [Bucket; CLASSES],
    /// Work that runs concurrently without waiting, as nanoseconds at full capacity.
    concurrency_nanos: AtomicU64,
    /// Work admitted so far, by urgency, each including more urgent work.
    admitted: [AtomicU64; CLASSES],
}

impl Gate {
    /// Creates a gate without a known capacity, which predicts no wait.
    pub fn new(settings: Settings) -> Self {
        let backlogs = core::array::from_fn(|_| Bucket::new(f64::INFINITY, 0.0));
        let admitted = Default::default();
        Self {
            settings,
            backlogs,
            concurrency_nanos: AtomicU64::new(0),
            admitted,
        }
    }

    /// Sets the service's capacity and its current waits; [`super::Forecast`] computes these from delayed reports.
    ///
    /// `capacity` is that of the whole service, in units of work per second. `waits` are ordered by [`Urgency`]. Each
    /// wait includes more urgent work and the concurrent work that [`Gate::set_concurrency`] subtracts. `portion` is
    /// this entry's share of the demand; the other entries are assumed to admit work in proportion to this one.
    pub fn set(&self, now: Instant, capacity: f64, waits: [Duration; CLASSES], portion: f64) {
        let rate = capacity * portion.clamp(f64::MIN_POSITIVE, 1.0);
        for (backlog, wait) in self.backlogs.iter().zip(waits) {
            backlog.set_rate(now, rate, 0.0);
            backlog.set_owed(now, wait);
        }
    }

    /// Sets the amount of work that runs concurrently, as the time that it takes at full capacity.
    ///
    /// An engine runs a full batch of requests in parallel. If that work counted as a queue, requests would be refused
    /// while slots are free; only work beyond the slots waits.
    pub fn set_concurrency(&self, concurrency: Duration) {
        let nanos = u64::try_from(concurrency.as_nanos()).unwrap_or(u64::MAX);
        self.concurrency_nanos.store(nanos, Relaxed);
    }

    /// Returns the predicted wait of a request that arrives now.
    pub fn wait(&self, now: Instant, urgency: Urgency) -> Duration {
        let concurrency = Duration::from_nanos(self.concurrency_nanos.load(Relaxed));
        self.backlogs[class(urgency)].owed(now).saturating_sub(concurrency)
    }

    /// Decides on a request and records its work if it is admitted.
    ///
    /// `share` is the result of taking the work from the organisation's share.
    pub fn decide(&self, now: Instant, request: Request, share: Result<(), Duration>) -> Decision {
        let wait = self.wait(now, request.urgency);
        let decision = self.evaluate(now, request, share, wait);
        if decision == Decision::Admit {
            self.record(now, request);
        }
        decision
    }

    /// Decides on a request without recording it.
    fn evaluate(&self, now: Instant, request: Request, share: Result<(), Duration>, wait: Duration) -> Decision {
        let contended = wait > request.target.mul_f64(self.settings.contention);
        let bound = request.target.mul_f64(1.0 - self.settings.margin);
        let refuse = |reason, wait: Duration| {
            let retry_after = wait.max(self.settings.min_retry);
            Decision::Refuse { reason, retry_after }
        };
        if contended && request.deferrable && (share.is_err() || request.urgency == Urgency::Deferrable) {
            // Deferrable work yields, because it could delay work that is urgent or within its share.
            return Decision::Defer;
        }
        if now + wait >= request.deadline {
            return refuse(Reason::Deadline, wait);
        }
        if let (Err(share_wait), true) = (share, contended) {
            let contention_wait = wait.saturating_sub(request.target.mul_f64(self.settings.contention));
            return refuse(Reason::Share, share_wait.min(contention_wait));
        }
        if request.urgency == Urgency::Urgent && wait > bound {
            return refuse(Reason::Target, wait.saturating_sub(bound));
        }
        Decision::Admit
    }

    /// Records that an admitted request ended; `work` is its expected work.
    ///
    /// When a full batch ends and as many new callers arrive, the freed slots would otherwise count as taken until the
    /// next reading, and callers would be refused although engines are idle. The backlog also falls with time, so the
    /// predicted wait can be too short by at most the time between two readings.
    pub fn complete(&self, urgency: Urgency, work: u64) {
        for backlog in &self.backlogs[class(urgency)..] {
            backlog.refund(work);
        }
    }

    /// Returns the work admitted so far, by urgency, each including more urgent work.
    pub(super) fn admitted(&self) -> [u64; CLASSES] {
        core::array::from_fn(|class| self.admitted[class].load(Relaxed))
    }

    /// Adds an admitted request to the backlogs.
    fn record(&self, now: Instant, request: Request) {
        for class in class(request.urgency)..CLASSES {
            self.backlogs[class].charge(now, request.work);
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
