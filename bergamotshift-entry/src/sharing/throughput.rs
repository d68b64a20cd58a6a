//! Throughput of one endpoint, estimated from its load reports and its finished requests.

use bergamotshift_config::config::Kind;
use bergamotshift_core::load::Report;
use bergamotshift_core::prelude::*;
use bergamotshift_route::estimate::Speed;
use bergamotshift_route::flight::Totals;
use bergamotshift_route::view::Row;

/// Time constant of the averages over a plain service's calls, in seconds.
const AVERAGING_SECONDS: f64 = 5.0;

/// Weight of a new reading in the moving average of an engine's speed.
const SMOOTHING_WEIGHT: f64 = 0.5;

const MICROS_PER_SECOND: f64 = 1e6;

/// Estimator of the work that one endpoint does per second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Throughput {
    updated: Option<Instant>,
    finished: u32,
    /// Number of this entry's requests that ended, with exponential decay.
    recent_finished: f64,
    /// Seconds that this entry's requests were in flight, with the same decay.
    recent_seconds: f64,
    /// Estimated tokens per second of a full batch.
    tokens_per_second: Option<f64>,
    baseline: Option<Baseline>,
}

/// Totals of this entry's requests around the last report.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    sequence: u64,
    /// Totals when the preceding report was received, which was earlier than this report was made.
    previous: Totals,
    /// Totals when this report was received.
    received: Totals,
}

impl Throughput {
    /// Updates the estimate and returns the capacity in units of work per second, if it is known.
    pub(super) fn update(&mut self, now: Instant, kind: Kind, row: &Row, report: &Report) -> Option<f64> {
        match kind {
            Kind::Model => Some(self.update_engine(&row.endpoint().speed, report)),
            Kind::Plain => self.update_plain(now, row, report),
        }
    }

    /// Estimates a full batch's tokens per second from those of the present batch.
    ///
    /// The duration of a step grows with the batch as assumed for the machine class. The actual duration comes from the
    /// report. Until the engine has decoded anything, the assumed duration is used.
    fn update_engine(&mut self, speed: &Speed, report: &Report) -> f64 {
        let slots = report.slots as f32;
        let full_step = f64::from(speed.step_micros(slots));
        if report.running > 0 && report.decode_rate > 0 {
            let running = report.running.min(report.slots) as f32;
            let slowdown = full_step / f64::from(speed.step_micros(running));
            let request_rate = f64::from(report.decode_rate) / f64::from(running);
            let new = f64::from(slots) * request_rate / slowdown;
            let old = self.tokens_per_second.unwrap_or(new);
            self.tokens_per_second = Some(old + (new - old) * SMOOTHING_WEIGHT);
        }
        self.tokens_per_second
            .unwrap_or(f64::from(slots) * MICROS_PER_SECOND / full_step)
    }

    /// Estimates calls per second by Little's law, from the mean duration of a call and the concurrency.
    fn update_plain(&mut self, now: Instant, row: &Row, report: &Report) -> Option<f64> {
        let totals = row.counter().totals();
        if let Some(updated) = self.updated {
            let span = now.since(updated).as_secs_f64();
            let decay = (-span / AVERAGING_SECONDS).exp();
            let ended = totals.finished.wrapping_sub(self.finished);
            self.recent_finished = self.recent_finished * decay + f64::from(ended);
            self.recent_seconds = self.recent_seconds * decay + f64::from(totals.in_flight()) * span;
        }
        self.updated = Some(now);
        self.finished = totals.finished;
        if self.recent_finished < 1.0 || self.recent_seconds <= 0.0 {
            return None;
        }
        let concurrency = report.slots.max(report.running);
        Some(f64::from(concurrency) * self.recent_finished / self.recent_seconds)
    }

    /// Estimates the current number of requests at an endpoint, from its last report and the changes since then.
    ///
    /// Without the changes, requests that ended after the report would count together with those that replaced them. A
    /// full engine would seem to have as many requests waiting as running, and callers would be refused. The changes by
    /// this entry are known exactly; the other entries are assumed to change by as much.
    ///
    /// The report was made at an unknown time after the preceding one was received. It may still include requests of
    /// this entry that ended in between, so these are subtracted, down to the number that this entry has in flight.
    /// This may underestimate the requests of other entries by as many, until the next report.
    pub(super) fn estimate_requests(&mut self, row: &Row, report: &Report, entries: u32) -> f64 {
        let now = row.counter().totals();
        let baseline = match self.baseline {
            Some(known) if known.sequence == report.sequence => known,
            known => Baseline {
                sequence: report.sequence,
                previous: known.map_or(now, |known| known.received),
                received: now,
            },
        };
        self.baseline = Some(baseline);
        let Baseline { previous, received, .. } = baseline;
        let sent = now.sent.wrapping_sub(received.sent);
        let ended = now.finished.wrapping_sub(received.finished);
        let uncertain = received.finished.wrapping_sub(previous.finished);
        let change = (f64::from(sent) - f64::from(ended)) * f64::from(entries.max(1));
        let reported = f64::from(report.running) + f64::from(report.waiting);
        (reported - f64::from(uncertain) + change).max(f64::from(now.in_flight()))
    }
}
