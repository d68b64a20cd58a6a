//! Pace of one incarnation of an endpoint.

use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU32;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;

use bergamotshift_core::prelude::*;

use super::figure::Figure;
use super::plausible;

/// Length of a slow phase, within which the last stated value loses its weight. A phase that was seen has on average
/// been going on for half of it, so the probability that it still goes on falls evenly.
const PHASE: Duration = Duration::from_millis(600);

/// Number of windows of which the usual pace is the median.
const WINDOWS: usize = 4;

/// Change of the lasting pace since the last report that is worth another one. Machines differ by a factor of two; a
/// change of a fifth, which single samples bring about, gave a third as many lines as there are requests.
const REPORTED_CHANGE: f64 = 0.5;

/// Figures of one incarnation of an endpoint.
#[derive(Debug)]
pub struct Speed {
    /// Time of the last stated pace in microseconds, above 16 bits of its percentage; 0 if none was stated.
    last: AtomicU64,
    /// Time of the first value in the newest window, in microseconds.
    window: AtomicU64,
    /// Lowest stated percentages of the last windows, newest first, 16 bits each; 0 for windows without a value.
    windows: AtomicU64,
    /// Median of those windows as a factor, as the bits of an `f32`.
    usual: AtomicU32,
    /// Ratio of the measured time to the time by the stated pace.
    correction: Figure,
    /// Number of measurements of the correction.
    corrections: AtomicU32,
    /// Whether an implausible statement was reported.
    is_reported: AtomicBool,
    /// Lasting pace at the last report, as bits.
    reported: AtomicU64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            last: AtomicU64::new(0),
            window: AtomicU64::new(0),
            windows: AtomicU64::new(0),
            usual: AtomicU32::new(1_f32.to_bits()),
            correction: Figure::new(1.0),
            corrections: AtomicU32::new(0),
            is_reported: AtomicBool::new(false),
            reported: AtomicU64::new(1_f64.to_bits()),
        }
    }
}

impl Speed {
    /// Records a pace that the endpoint stated at `at`, in percent of the usual time; returns whether it is plausible.
    ///
    /// A value that is older than the last one is ignored.
    pub fn state_pace(&self, at: Instant, percent: f64) -> bool {
        if plausible(percent).is_none() {
            return false;
        }
        let percent = (percent.round() as u64).max(1);
        let micros = at.as_micros();
        let last = self.last.load(Relaxed);
        if last != 0 && last >> 16 >= micros {
            return true;
        }
        self.last.store(micros << 16 | percent, Relaxed);
        self.record_in_window(at, percent);
        true
    }

    /// Records a stated percentage in its window, and updates the median.
    ///
    /// A window keeps its lowest value. A slow phase is shorter than a window, so it rarely fills one, and answers in
    /// quick succession within a phase count once.
    fn record_in_window(&self, at: Instant, percent: u64) {
        let mut windows = self.windows.load(Relaxed);
        let began = Instant::from_micros(self.window.load(Relaxed));
        if windows == 0 || at.since(began) >= PHASE {
            windows = windows << 16 | percent;
            self.window.store(at.as_micros(), Relaxed);
        } else if percent < windows & 0xffff {
            windows = windows & !0xffff | percent;
        } else {
            return;
        }
        self.windows.store(windows, Relaxed);
        let mut stated: [u16; WINDOWS] = core::array::from_fn(|index| (windows >> (16 * index)) as u16);
        stated.sort_unstable();
        let missing = stated.iter().take_while(|percent| **percent == 0).count();
        // Of two middle values the lower one is taken, as slow phases are the exception.
        let median = stated[missing + (WINDOWS - 1 - missing) / 2];
        self.usual.store((f32::from(median) / 100.0).to_bits(), Relaxed);
    }

    /// Returns the factor by which work currently takes longer there than usual, by all that is known.
    pub fn pace(&self, now: Instant) -> f64 {
        self.stated(now) * self.correction.get()
    }

    /// Returns the current pace by stated values only; 1 if none was stated.
    pub(super) fn stated(&self, now: Instant) -> f64 {
        let usual = f64::from(f32::from_bits(self.usual.load(Relaxed)));
        let last = self.last.load(Relaxed);
        if last == 0 {
            return usual;
        }
        let age = now.since(Instant::from_micros(last >> 16));
        let weight = 1.0 - (age.as_micros() as f64 / PHASE.as_micros() as f64).min(1.0);
        let last = (last & 0xffff) as f64 / 100.0;
        usual + (last - usual) * weight
    }

    /// Moves the correction towards a measured one; `weight` is the share of the measured time that it explains.
    pub(super) fn correct(&self, measured: f64, weight: f64, min_gain: f64) {
        let count = self.corrections.fetch_add(1, Relaxed).min(1_000);
        let gain = (1.0 / f64::from(count + 2)).max(min_gain);
        self.correction.adjust(measured / self.correction.get(), gain * weight);
    }

    /// Returns the lasting pace without the last stated value, if it has changed by a half since this function returned
    /// it last.
    pub fn take_change(&self) -> Option<f64> {
        let usual = f64::from(f32::from_bits(self.usual.load(Relaxed)));
        let lasting = usual * self.correction.get();
        let reported = f64::from_bits(self.reported.load(Relaxed));
        if (lasting / reported).ln().abs() < REPORTED_CHANGE.ln_1p() {
            return None;
        }
        self.reported.store(lasting.to_bits(), Relaxed);
        Some(lasting)
    }

    /// Records that an implausible statement is reported; returns whether none was reported before.
    pub fn mark_reported(&self) -> bool {
        !self.is_reported.swap(true, Relaxed)
    }
}
