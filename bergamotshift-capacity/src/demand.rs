//! How much work a service is asked for, and how much of it capacity has to follow.

use core::time::Duration;
use std::collections::VecDeque;

use bergamotshift_core::prelude::*;

/// Work asked for, in units per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Work that has to be done as it comes, also when a zone is lost.
    pub urgent: f64,
    /// The pace at which deferred work has to be done to meet its deadlines; see [`pace`].
    pub deferrable: f64,
}

impl Demand {
    /// Returns all work.
    pub const fn total(self) -> f64 {
        self.urgent + self.deferrable
    }
}

/// Returns the steady pace, in units per second, that meets the deadlines of all waiting jobs.
///
/// Jobs are pairs of deadline and remaining work. A job whose deadline is closer than `least` counts as due then, so
/// that a late one asks for much and not for everything.
pub fn pace(now: Instant, least: Duration, jobs: impl IntoIterator<Item = (Instant, f64)>) -> f64 {
    let mut jobs: Vec<_> = jobs.into_iter().collect();
    jobs.sort_by_key(|(deadline, _)| *deadline);
    let (mut due, mut pace) = (0.0_f64, 0.0_f64);
    for (deadline, work) in jobs {
        due += work;
        let left = deadline.since(now).max(least);
        pace = pace.max(due / left.as_secs_f64());
    }
    pace
}

/// How demand is damped before capacity follows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The time over which demand is averaged.
    pub window: Duration,
    /// How long demand has to stay above the average before capacity follows it at once.
    pub confirm_time: Duration,
    /// How far ahead capacity has to be ready: the time from a purchase until the VM serves.
    pub lead_time: Duration,
    /// How long demand has to stay lower before capacity follows it down.
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

/// Damps one figure: up with its trend, down only after it stayed down.
///
/// Failure: demand is noisy and capacity follows each swing. Symptom: VMs are started and stopped in turn, each paid
/// for while it loads weights and serves nobody. The figure is averaged, led by its trend over the time a start
/// takes, and the largest value of the hold time counts; so a VM is given up only when it was not needed for that
/// long. A step that lasts is not averaged away: what every reading of the `confirm` time reached counts at once.
#[derive(Clone, Debug)]
pub struct Damper {
    settings: Settings,
    fast: f64,
    slow: f64,
    at: Option<Instant>,
    /// Rising readings by time: the front is the smallest of the confirm time.
    lows: VecDeque<(Instant, f64)>,
    /// Falling values by time: the front is the largest of the hold time.
    peaks: VecDeque<(Instant, f64)>,
}

/// How much slower the average is against which the trend is taken.
const TREND: f64 = 4.0;

impl Damper {
    /// Makes a damper that has seen nothing.
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            fast: 0.0,
            slow: 0.0,
            at: None,
            lows: VecDeque::new(),
            peaks: VecDeque::new(),
        }
    }

    /// Notes a reading and returns the figure that capacity has to follow.
    pub fn observe(&mut self, now: Instant, reading: f64) -> f64 {
        self.average(now, reading);
        while self.lows.back().is_some_and(|(_, low)| *low >= reading) {
            self.lows.pop_back();
        }
        let lasting = extreme(&mut self.lows, now, reading, self.settings.confirm_time);
        let led = (self.fast + self.rise()).max(lasting);
        while self.peaks.back().is_some_and(|(_, peak)| *peak <= led) {
            self.peaks.pop_back();
        }
        extreme(&mut self.peaks, now, led, self.settings.hold_time)
    }

    fn average(&mut self, now: Instant, reading: f64) {
        let Some(at) = self.at.replace(now) else {
            (self.fast, self.slow) = (reading, reading);
            return;
        };
        let span = now.since(at).as_secs_f64() / self.settings.window.as_secs_f64();
        self.fast += (reading - self.fast) * (1.0 - (-span).exp());
        self.slow += (reading - self.slow) * (1.0 - (-span / TREND).exp());
    }

    /// Returns by how much the figure will have risen when a start of now serves; a fall is not led.
    fn rise(&self) -> f64 {
        // On a steady slope the two averages lie their lags' difference apart.
        let lag = self.settings.window.as_secs_f64() * (TREND - 1.0);
        let slope = (self.fast - self.slow) / lag;
        let ahead = self.settings.lead_time + self.settings.window;
        (slope * ahead.as_secs_f64()).max(0.0)
    }
}

/// Adds a value to a sorted window, drops what is older than `span`, and returns the window's extreme.
fn extreme(window: &mut VecDeque<(Instant, f64)>, now: Instant, value: f64, span: Duration) -> f64 {
    window.push_back((now, value));
    while window.front().is_some_and(|(at, _)| now.since(*at) > span) {
        window.pop_front();
    }
    window.front().map_or(value, |(_, extreme)| *extreme)
}
