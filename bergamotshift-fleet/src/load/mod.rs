//! Load reports, quantised for the wire.

use core::time::Duration;

use bergamotshift_core::load::Report;
use serde::Deserialize;
use serde::Serialize;

use crate::tag;

/// Steps per doubling: neighbouring levels differ by a fifth, well inside a report's lag.
const STEPS_PER_OCTAVE: f64 = 4.0;

/// Puts a figure on a logarithmic scale of 129 steps; zero stays zero.
pub fn quantise(figure: u32) -> u8 {
    if figure == 0 {
        return 0;
    }
    let step = (f64::from(figure).log2() * STEPS_PER_OCTAVE).round();
    1 + step as u8
}

/// Returns the figure in the middle of a step.
pub fn restore(step: u8) -> u32 {
    if step == 0 {
        return 0;
    }
    let figure = (f64::from(step - 1) / STEPS_PER_OCTAVE).exp2();
    figure.round().min(f64::from(u32::MAX)) as u32
}

/// A load report in six bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Level {
    running: u8,
    waiting: u8,
    slots: u8,
    prefill: u8,
    rate: u8,
    cache: u8,
}

impl Level {
    /// Thousandths of the cache per step.
    const CACHE_STEP: u16 = 50;

    /// Quantises a report.
    pub fn of(report: &Report) -> Self {
        Self {
            running: quantise(report.running),
            waiting: quantise(report.waiting),
            slots: quantise(report.slots),
            prefill: quantise(report.prefill_backlog),
            rate: quantise(report.decode_rate),
            cache: (report.cache_permille.min(1_000) / Self::CACHE_STEP) as u8,
        }
    }

    /// Returns the report that these levels stand for.
    pub fn report(self, sequence: u64) -> Report {
        Report {
            sequence,
            running: restore(self.running),
            waiting: restore(self.waiting),
            slots: restore(self.slots),
            prefill_backlog: restore(self.prefill),
            decode_rate: restore(self.rate),
            cache_permille: u16::from(self.cache) * Self::CACHE_STEP,
            leaving: false,
        }
    }
}

/// A load report on its way through a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// The endpoint.
    pub endpoint: tag::Short,
    /// Counts the endpoint's reports.
    pub sequence: u64,
    /// What it reports.
    pub level: Level,
    /// Age of the report in tenths of a second, at most 25.5 s.
    pub age_ds: u8,
}

/// Returns whether sequence `new` comes after `old`, modulo 2^16.
pub const fn is_newer(new: u16, old: u16) -> bool {
    let ahead = new.wrapping_sub(old);
    ahead != 0 && ahead < 0x8000
}

/// Returns an age in tenths of a second.
pub fn tenths(age: Duration) -> u8 {
    u8::try_from(age.as_millis() / 100).unwrap_or(u8::MAX)
}
