//! Figures that the endpoints of a service have in common.

use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU32;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;

use bergamotshift_core::prelude::*;

use super::Sample;
use super::Settings;
use super::Speed;
use super::figure::Figure;
use super::plausible;

/// Change of the time of a typical request since the last report that is worth another one.
const REPORTED_CHANGE: f64 = 0.1;

/// Learned figures of a service.
#[derive(Debug)]
pub struct Typical {
    settings: Settings,
    /// Time per prompt token at a pace of 1, in milliseconds.
    token_time: Figure,
    /// Time to the first event beside reading, in milliseconds.
    overhead: Figure,
    /// Number of samples.
    samples: AtomicU32,
    /// Whether an endpoint stated a pace.
    is_paced: AtomicBool,
    /// Time per token and overhead when they were last reported, as bits.
    reported: [AtomicU64; 2],
}

impl Typical {
    /// Creates the figures of a service of which nothing was measured.
    pub fn new(settings: Settings) -> Self {
        let overhead = settings.overhead.as_secs_f64() * 1e3;
        Self {
            token_time: Figure::new(settings.token_time),
            overhead: Figure::new(overhead),
            samples: AtomicU32::new(0),
            is_paced: AtomicBool::new(false),
            reported: [settings.token_time, overhead].map(|value| AtomicU64::new(value.to_bits())),
            settings,
        }
    }

    /// Returns the time per prompt token at the usual pace, in milliseconds.
    pub fn token_time(&self) -> f64 {
        self.token_time.get()
    }

    /// Returns the time to the first event beside reading, in milliseconds.
    pub fn overhead(&self) -> f64 {
        self.overhead.get()
    }

    /// Returns the number of samples that it learned from.
    pub fn samples(&self) -> u32 {
        self.samples.load(Relaxed)
    }

    /// Returns whether an endpoint of the service stated a pace.
    pub fn is_paced(&self) -> bool {
        self.is_paced.load(Relaxed)
    }

    /// Records that an endpoint of the service stated a plausible pace; returns whether none had before.
    pub fn mark_paced(&self) -> bool {
        !self.is_paced.load(Relaxed) && !self.is_paced.swap(true, Relaxed)
    }

    /// Learns from a measurement at an endpoint of the service, which was made at `at`.
    ///
    /// The stated pace of a sample is not applied to the endpoint, since the caller knows when it was stated; see
    /// [`Speed::state_pace`].
    pub fn record(&self, at: Instant, speed: &Speed, sample: &Sample) {
        if sample.elapsed.is_zero() {
            return;
        }
        let stated = sample.pace.and_then(plausible).unwrap_or_else(|| speed.stated(at));
        let elapsed = sample.elapsed.as_secs_f64() * 1e3;
        let overhead = self.overhead();
        let reading = sample.tokens as f64 * self.token_time() * stated;
        // The error is divided among the two figures by their parts of the expected time, so that they are told apart by
        // the differences between large and small prompts.
        let ratio = elapsed / (overhead + reading);
        let reading_share = reading / (overhead + reading);
        let count = self.samples.fetch_add(1, Relaxed).min(1_000);
        let gain = (1.0 / f64::from(count + 2)).max(self.settings.typical_gain);
        self.overhead.adjust(ratio, gain * (1.0 - reading_share));
        if sample.tokens >= self.settings.min_tokens {
            self.token_time.adjust(ratio, gain * reading_share);
            // The correction is learned against the figures before this sample, which it does not explain itself.
            speed.correct(
                (elapsed - overhead) / reading,
                reading_share,
                self.settings.correction_gain,
            );
        }
    }

    /// Returns the time per token and the overhead, both in milliseconds, if either has changed by a tenth since this
    /// function returned them last.
    pub fn take_change(&self) -> Option<(f64, f64)> {
        let current = [self.token_time(), self.overhead()];
        let is_changed = current.iter().zip(&self.reported).any(|(current, reported)| {
            let reported = f64::from_bits(reported.load(Relaxed));
            (current / reported).ln().abs() >= REPORTED_CHANGE.ln_1p()
        });
        if !is_changed {
            return None;
        }
        for (current, reported) in current.iter().zip(&self.reported) {
            reported.store(current.to_bits(), Relaxed);
        }
        Some((current[0], current[1]))
    }
}
