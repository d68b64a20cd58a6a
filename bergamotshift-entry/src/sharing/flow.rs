//! How fast one endpoint does its work, learnt from what it reports and from what ended there.

use bergamotshift_config::config::Kind;
use bergamotshift_core::load::Report;
use bergamotshift_core::prelude::*;
use bergamotshift_route::estimate::Speed;
use bergamotshift_route::flight::Totals;
use bergamotshift_route::view::Row;

/// The time over which a plain service's calls are averaged, in seconds.
const MEMORY: f64 = 5.0;

/// A new reading of an engine's speed weighs this much against those before it.
const WEIGHT: f64 = 0.5;

const MICROS_PER_SECOND: f64 = 1e6;

/// What one endpoint does per second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Flow {
    looked: Option<Instant>,
    finished: u32,
    /// Requests of this entry that ended, forgotten over time.
    ended: f64,
    /// Seconds that requests of this entry spent there, forgotten alike.
    spent: f64,
    /// Tokens per second of a full batch.
    tokens: Option<f64>,
    reported: Option<Reported>,
}

/// The last report, and this entry's counts around it.
#[derive(Clone, Copy, Debug)]
struct Reported {
    sequence: u64,
    /// The counts when the report before it was first seen, so before this one was made.
    before: Totals,
    /// The counts when it was first seen.
    seen: Totals,
}

impl Flow {
    /// Notes how an endpoint stands and returns its capacity in units of work per second, if anything tells.
    pub(super) fn look(&mut self, now: Instant, kind: Kind, row: &Row, report: &Report) -> Option<f64> {
        match kind {
            Kind::Model => Some(self.engine(&row.endpoint().speed, report)),
            Kind::Plain => self.plain(now, row, report),
        }
    }

    /// Estimates a full batch's tokens per second from those of the present batch.
    ///
    /// A step grows with the batch as it does on the machine class's assumed engine; how long it is in truth comes from
    /// the report. Until an engine has decoded anything, the assumed engine stands for it.
    fn engine(&mut self, speed: &Speed, report: &Report) -> f64 {
        let slots = report.slots as f32;
        let full = f64::from(speed.step_micros(slots));
        if report.running > 0 && report.decode_rate > 0 {
            let running = report.running.min(report.slots) as f32;
            let grown = full / f64::from(speed.step_micros(running));
            let each = f64::from(report.decode_rate) / f64::from(running);
            let new = f64::from(slots) * each / grown;
            let old = self.tokens.unwrap_or(new);
            self.tokens = Some(old + (new - old) * WEIGHT);
        }
        self.tokens.unwrap_or(f64::from(slots) * MICROS_PER_SECOND / full)
    }

    /// Estimates calls per second by Little's law: the time that each call took, and how many run at once.
    fn plain(&mut self, now: Instant, row: &Row, report: &Report) -> Option<f64> {
        let mark = row.counter().totals();
        if let Some(looked) = self.looked {
            let span = now.since(looked).as_secs_f64();
            let kept = (-span / MEMORY).exp();
            let ended = mark.finished.wrapping_sub(self.finished);
            self.ended = self.ended * kept + f64::from(ended);
            self.spent = self.spent * kept + f64::from(mark.in_flight()) * span;
        }
        self.looked = Some(now);
        self.finished = mark.finished;
        if self.ended < 1.0 || self.spent <= 0.0 {
            return None;
        }
        let at_once = report.slots.max(report.running);
        Some(f64::from(at_once) * self.ended / self.spent)
    }

    /// Returns how many requests an endpoint has now: those of its report, and what changed since.
    ///
    /// Failure: requests that ended since the report still count, and those that took their place count as well.
    /// Symptom: an engine that is just full looks as if as many again were waiting, and callers are refused. What this
    /// entry sent and what ended of it is known exactly; the other entries are taken to do alike.
    ///
    /// When the report was made is not known, only that it was after the one before it was seen. What this entry ended
    /// in between may be in it, so that is taken off, down to what this entry itself has there. The others' part may
    /// be taken for smaller by as much, until the next report.
    pub(super) fn present(&mut self, row: &Row, report: &Report, entries: u32) -> f64 {
        let now = row.counter().totals();
        let reported = match self.reported {
            Some(known) if known.sequence == report.sequence => known,
            known => Reported {
                sequence: report.sequence,
                before: known.map_or(now, |known| known.seen),
                seen: now,
            },
        };
        self.reported = Some(reported);
        let Reported { before, seen, .. } = reported;
        let sent = now.sent.wrapping_sub(seen.sent);
        let ended = now.finished.wrapping_sub(seen.finished);
        let unsure = seen.finished.wrapping_sub(before.finished);
        let change = (f64::from(sent) - f64::from(ended)) * f64::from(entries.max(1));
        let counted = f64::from(report.running) + f64::from(report.waiting);
        (counted - f64::from(unsure) + change).max(f64::from(now.in_flight()))
    }
}
