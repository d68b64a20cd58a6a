//! Waits of the moment, from reports that are late.

use core::time::Duration;
use std::collections::VecDeque;
use std::sync::Arc;

use bergamotshift_core::prelude::*;

use super::Gate;
use super::Settings;
use super::gate::CLASSES;

/// What is known of a service at some earlier moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// Units of work per second, over all endpoints.
    pub capacity: f64,
    /// The waits then, by [`Urgency`], each including more urgent work.
    pub waits: [Duration; CLASSES],
    /// What of the waits runs at once and makes nobody wait; see [`Gate::set_concurrency`].
    pub concurrency: Duration,
    /// How long ago that was.
    pub age: Duration,
    /// This entry's part of the service's demand.
    pub portion: f64,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Instant,
    admitted: [u64; CLASSES],
}

/// Sets a service's [`Gate`] from late reports; kept by the control thread.
///
/// Failure: a report from before a burst replaces what the gate has seen since. Symptom: with each report the gate
/// opens anew and the queue grows past the target. What was admitted since the report's moment is added to it.
#[derive(Debug)]
pub struct Forecast {
    gate: Arc<Gate>,
    samples: VecDeque<Sample>,
    memory: Duration,
}

impl Forecast {
    /// Makes a forecast and its gate; reports older than `memory` count as that old.
    pub fn new(settings: Settings, memory: Duration) -> Self {
        Self {
            gate: Arc::new(Gate::new(settings)),
            samples: VecDeque::new(),
            memory,
        }
    }

    /// Returns the gate that workers ask.
    pub fn gate(&self) -> Arc<Gate> {
        Arc::clone(&self.gate)
    }

    /// Sets the gate from a reading, and what was admitted since.
    ///
    /// Called at each tick of the control thread, whether or not the reading is new: it also notes how much was
    /// admitted until now.
    pub fn tick(&mut self, now: Instant, reading: Reading) {
        let admitted = self.gate.admitted();
        self.samples.push_back(Sample { at: now, admitted });
        let then = self.admitted_at(now - reading.age);
        let rate = reading.capacity * reading.portion.clamp(f64::MIN_POSITIVE, 1.0);
        let wait = |class: usize| {
            let since = admitted[class].saturating_sub(then[class]) as f64;
            let grown = Duration::try_from_secs_f64(since / rate).unwrap_or(Duration::MAX);
            reading.waits[class].saturating_add(grown).saturating_sub(reading.age)
        };
        let waits = core::array::from_fn(wait);
        self.gate.set_concurrency(reading.concurrency);
        self.gate.set(now, reading.capacity, waits, reading.portion);
        while self
            .samples
            .get(1)
            .is_some_and(|next| now.since(next.at) >= self.memory)
        {
            self.samples.pop_front();
        }
    }

    fn admitted_at(&self, then: Instant) -> [u64; CLASSES] {
        let index = self.samples.partition_point(|sample| sample.at <= then);
        let sample = self.samples.get(index.saturating_sub(1));
        sample.map_or([0; CLASSES], |sample| sample.admitted)
    }
}
