//! Demand for work on a service, and its smoothing into the demand that capacity follows.

use core::time::Duration;
use std::collections::VecDeque;

use bergamotshift_core::prelude::*;

/// Demand for work, in units per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Work that has to be done as it arrives, even when a zone is lost.
    pub urgent: f64,
    /// Rate at which deferred work has to be done to meet its deadlines; see [`required_rate`].
    pub deferrable: f64,
}

impl Demand {
    /// Returns the sum of urgent and deferrable work.
    pub const fn total(self) -> f64 {
        self.urgent + self.deferrable
    }
}

/// Returns the constant rate, in units per second, that meets the deadlines of all waiting jobs.
///
/// Jobs are pairs of deadline and remaining work. A job has at least `min_remaining` left to its deadline, so that the
/// rate for a late job is high but bounded.
pub fn required_rate(now: Instant, min_remaining: Duration, jobs: impl IntoIterator<Item = (Instant, f64)>) -> f64 {
    let mut jobs: Vec<_> = jobs.into_iter().collect();
    jobs.sort_by_key(|(deadline, _)| *deadline);
    let (mut due, mut rate) = (0.0_f64, 0.0_f64);
    for (deadline, work) in jobs {
        due += work;
        let left = deadline.since(now).max(min_remaining);
        rate = rate.max(due / left.as_secs_f64());
    }
    rate
}

/// Settings for the smoothing of demand before capacity follows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time constant of the average over demand.
    pub window: Duration,
    /// Time for which demand has to stay above the average before capacity follows it at once.
    pub confirm_time: Duration,
    /// Time from the purchase of a VM until it serves, by which capacity has to be ordered ahead of demand.
    pub lead_time: Duration,
    /// Time for which demand has to stay lower before capacity follows it down.
    pub hold_time: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window: Duration::from_mins(10),
            confirm_time: Duration::from_mins(2),
            lead_time: Duration::from_mins(3),
            hold_time: Duration::from_mins(15),
        }
    }
}

/// Smooths one value: follows it up along its trend, and down only after it stayed low.
///
/// If capacity followed every swing of a noisy demand, VMs would be started and stopped in turn, each paid for while it
/// loads weights and serves nobody. The value is therefore averaged and extrapolated along its trend over the lead
/// time, and the largest result within the hold time counts. A VM is given up only when it was not needed for that
/// long. A lasting step is not averaged away: the lowest reading within the confirm time counts at once.
#[derive(Clone, Debug)]
pub struct Damper {
    settings: Settings,
    fast_average: f64,
    slow_average: f64,
    updated_at: Option<Instant>,
    /// Increasing readings by time. The front is the smallest within the confirm time.
    lows: VecDeque<(Instant, f64)>,
    /// Decreasing results by time. The front is the largest within the hold time.
    peaks: VecDeque<(Instant, f64)>,
}

/// Ratio of the time constants of the slow and the fast average, whose difference gives the trend.
const SLOW_FACTOR: f64 = 4.0;

impl Damper {
    /// Creates a damper without any readings.
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            fast_average: 0.0,
            slow_average: 0.0,
            updated_at: None,
            lows: VecDeque::new(),
            peaks: VecDeque::new(),
        }
    }

    /// Adds a reading and returns the smoothed value that capacity has to follow.
    pub fn observe(&mut self, now: Instant, reading: f64) -> f64 {
        self.update_averages(now, reading);
        while self.lows.back().is_some_and(|(_, low)| *low >= reading) {
            self.lows.pop_back();
        }
        let sustained = window_extreme(&mut self.lows, now, reading, self.settings.confirm_time);
        let predicted = (self.fast_average + self.predicted_rise()).max(sustained);
        while self.peaks.back().is_some_and(|(_, peak)| *peak <= predicted) {
            self.peaks.pop_back();
        }
        window_extreme(&mut self.peaks, now, predicted, self.settings.hold_time)
    }

    fn update_averages(&mut self, now: Instant, reading: f64) {
        let Some(at) = self.updated_at.replace(now) else {
            (self.fast_average, self.slow_average) = (reading, reading);
            return;
        };
        let span = now.since(at).as_secs_f64() / self.settings.window.as_secs_f64();
        self.fast_average += (reading - self.fast_average) * (1.0 - (-span).exp());
        self.slow_average += (reading - self.slow_average) * (1.0 - (-span / SLOW_FACTOR).exp());
    }

    /// Returns the predicted rise until a VM that is started now serves, or zero when the value falls.
    fn predicted_rise(&self) -> f64 {
        // On a constant slope, the averages differ by the slope times the difference of their lags.
        let lag = self.settings.window.as_secs_f64() * (SLOW_FACTOR - 1.0);
        let slope = (self.fast_average - self.slow_average) / lag;
        let ahead = self.settings.lead_time + self.settings.window;
        (slope * ahead.as_secs_f64()).max(0.0)
    }
}

/// Adds a value to a sorted window, drops values older than `span`, and returns the window's extreme value.
fn window_extreme(window: &mut VecDeque<(Instant, f64)>, now: Instant, value: f64, span: Duration) -> f64 {
    window.push_back((now, value));
    while window.front().is_some_and(|(at, _)| now.since(*at) > span) {
        window.pop_front();
    }
    window.front().map_or(value, |(_, extreme)| *extreme)
}
