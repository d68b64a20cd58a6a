//! Counts the requests of each organisation by window.

use core::time::Duration;
use std::collections::BTreeMap;
use std::sync::Mutex;

use bergamotshift_core::prelude::*;

use super::progress::windows_kept;
use super::reports::Counts;
use crate::observe::Clock;

/// Number of windows that are kept beyond those that may still be reported, as the clocks of entries differ.
const SPARE_WINDOWS: u64 = 2;

/// Number of requests of each organisation, by the number of the window.
pub type Windows = BTreeMap<u64, Counts>;

/// Counter of the requests of each organisation, by window of the time of day.
///
/// The time of day is read once at the start and then advanced by the boot clock. If it were read each time, it could
/// jump by seconds and back, and requests would be counted in past or future windows. Processes on reclaimable VMs live
/// for days at most, in which steady clocks drift by seconds at most.
#[derive(Debug)]
pub struct Tally {
    clock: Clock,
    /// Time of day at the boot clock's zero, as time since the start of 1970.
    epoch: Duration,
    window: Duration,
    windows: Mutex<Windows>,
}

impl Tally {
    /// Creates a counter; with a window of zero it counts nothing.
    pub fn new(clock: Clock, window: Duration) -> Self {
        Self {
            clock,
            epoch: clock.unix_time().saturating_sub(clock.now().since(Instant::ZERO)),
            window,
            windows: Mutex::default(),
        }
    }

    /// Returns the time since the start of 1970.
    pub fn unix_time(&self) -> Duration {
        self.epoch + self.clock.now().since(Instant::ZERO)
    }

    /// Returns the number of windows that are kept.
    fn kept(&self) -> u64 {
        windows_kept(self.window) + SPARE_WINDOWS
    }

    /// Returns the number of the oldest window that is kept.
    pub fn oldest_kept(&self) -> u64 {
        self.current().saturating_sub(self.kept())
    }

    /// Returns the number of the current window.
    pub fn current(&self) -> u64 {
        let window = self.window.as_nanos();
        let number = self.unix_time().as_nanos().checked_div(window).unwrap_or_default();
        u64::try_from(number).unwrap_or(u64::MAX)
    }

    /// Returns the time since a window's end.
    pub fn since_end(&self, window: u64) -> Duration {
        let end = self
            .window
            .saturating_mul(u32::try_from(window + 1).unwrap_or(u32::MAX));
        self.unix_time().saturating_sub(end)
    }

    /// Counts one request that began to run.
    pub fn count(&self, organisation: &name::Organisation) {
        if self.window.is_zero() {
            return;
        }
        let current = self.current();
        let mut windows = self.windows.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        *windows
            .entry(current)
            .or_default()
            .entry(organisation.clone())
            .or_default() += 1;
        while windows.len() as u64 > self.kept() {
            windows.pop_first();
        }
    }

    /// Returns the counts of the last windows.
    pub fn windows(&self) -> Windows {
        let oldest = self.oldest_kept();
        let windows = self.windows.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        windows
            .range(oldest..)
            .map(|(window, counts)| (*window, counts.clone()))
            .collect()
    }
}
