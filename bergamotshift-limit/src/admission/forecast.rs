//! Current waits of a service, computed from delayed load reports.

use core::time::Duration;
use std::collections::VecDeque;
use std::sync::Arc;

use bergamotshift_core::prelude::*;

use super::Gate;
use super::Settings;
use super::gate::CLASSES;

/// Load of a service at an earlier time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// Units of work per second, over all endpoints.
    pub capacity: f64,
    /// Waits at that time, by [`Urgency`], each including more urgent work.
    pub waits: [Duration; CLASSES],
    /// Part of the waits that runs concurrently without waiting; see [`Gate::set_concurrency`].
    pub concurrency: Duration,
    /// Age of the reading.
    pub age: Duration,
    /// This entry's share of the service's demand.
    pub portion: f64,
}

/// Work admitted until a given time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Instant,
    admitted: [u64; CLASSES],
}

/// Updates a service's [`Gate`] from delayed reports, on the control thread.
///
/// A report from before a burst must not replace the work that the gate has admitted since; otherwise each report would
/// open the gate again and the queue would grow past the target. The work admitted since the time of the report is
/// therefore added to it.
#[derive(Debug)]
pub struct Forecast {
    gate: Arc<Gate>,
    samples: VecDeque<Sample>,
    max_report_age: Duration,
}

impl Forecast {
    /// Creates a forecast and its gate.
    ///
    /// Admitted work is remembered for `max_report_age`; older reports count as that old.
    pub fn new(settings: Settings, max_report_age: Duration) -> Self {
        Self {
            gate: Arc::new(Gate::new(settings)),
            samples: VecDeque::new(),
            max_report_age,
        }
    }

    /// Returns the gate, for the workers.
    pub fn gate(&self) -> Arc<Gate> {
        Arc::clone(&self.gate)
    }

    /// Updates the gate from a reading and from the work admitted since.
    ///
    /// Call it at each tick of the control thread, even if the reading is not new: it also samples the work admitted
    /// until now.
    pub fn tick(&mut self, now: Instant, reading: Reading) {
        let admitted = self.gate.admitted();
        self.samples.push_back(Sample { at: now, admitted });
        let then = self.admitted_at(now - reading.age);
        let rate = reading.capacity * reading.portion.clamp(f64::MIN_POSITIVE, 1.0);
        let wait = |class: usize| {
            let since = admitted[class].saturating_sub(then[class]) as f64;
            let added = Duration::try_from_secs_f64(since / rate).unwrap_or(Duration::MAX);
            reading.waits[class].saturating_add(added).saturating_sub(reading.age)
        };
        let waits = core::array::from_fn(wait);
        self.gate.set_concurrency(reading.concurrency);
        self.gate.set(now, reading.capacity, waits, reading.portion);
        while self
            .samples
            .get(1)
            .is_some_and(|next| now.since(next.at) >= self.max_report_age)
        {
            self.samples.pop_front();
        }
    }

    /// Returns the work that had been admitted at an earlier time.
    fn admitted_at(&self, then: Instant) -> [u64; CLASSES] {
        let index = self.samples.partition_point(|sample| sample.at <= then);
        let sample = self.samples.get(index.saturating_sub(1));
        sample.map_or([0; CLASSES], |sample| sample.admitted)
    }
}
