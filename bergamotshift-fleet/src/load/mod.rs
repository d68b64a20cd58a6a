//! Load reports, quantised for the wire.

use core::time::Duration;

use bergamotshift_core::load::Report;
use serde::Deserialize;
use serde::Serialize;

use crate::tag;

/// Steps per doubling; neighbouring levels differ by a fifth, which is well within the error that a report's lag
/// causes.
const STEPS_PER_OCTAVE: f64 = 4.0;

/// Maps a value to a logarithmic scale of 129 steps; zero maps to zero.
pub fn quantise(value: u32) -> u8 {
    if value == 0 {
        return 0;
    }
    let step = (f64::from(value).log2() * STEPS_PER_OCTAVE).round();
    1 + step as u8
}

/// Returns the value in the middle of a step.
pub fn dequantise(step: u8) -> u32 {
    if step == 0 {
        return 0;
    }
    let value = (f64::from(step - 1) / STEPS_PER_OCTAVE).exp2();
    value.round().min(f64::from(u32::MAX)) as u32
}

/// Load report quantised to six bytes.
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

    /// Returns the report that the levels stand for.
    pub fn report(self, sequence: u64) -> Report {
        Report {
            sequence,
            running: dequantise(self.running),
            waiting: dequantise(self.waiting),
            slots: dequantise(self.slots),
            prefill_backlog: dequantise(self.prefill),
            decode_rate: dequantise(self.rate),
            cache_permille: u16::from(self.cache) * Self::CACHE_STEP,
            leaving: false,
        }
    }
}

/// Gossiped load report of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Tag of the endpoint.
    pub endpoint: tag::Short,
    /// Sequence number of the report.
    pub sequence: u64,
    /// Quantised report.
    pub level: Level,
    /// Age of the report in tenths of a second, at most 25.5 s.
    pub age_ds: u8,
}

/// Returns whether the sequence number `new` comes after `old`, modulo 2^16.
pub const fn is_newer(new: u16, old: u16) -> bool {
    let ahead = new.wrapping_sub(old);
    ahead != 0 && ahead < 0x8000
}

/// Converts an age to tenths of a second, at most 255.
pub fn to_deciseconds(age: Duration) -> u8 {
    u8::try_from(age.as_millis() / 100).unwrap_or(u8::MAX)
}
