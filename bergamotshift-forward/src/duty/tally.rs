//! Counts the requests of each organisation by window.

use core::time::Duration;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::SystemTime;

use bergamotshift_core::prelude::*;

use crate::observe::Clock;

/// The windows that are kept: a report is due two windows after its own, and a new holder catches up on one more.
const KEPT: u64 = 5;

/// Requests of each organisation by the window's number.
pub type Windows = BTreeMap<u64, BTreeMap<name::Organisation, u64>>;

/// Counts the requests of each organisation by window of the time of day.
///
/// Failure: the time of day jumps by seconds and back. Symptom: requests are counted in windows that are past or still
/// to come. The time of day is read once, at the start, and counted on by the boot clock; that is enough, since the
/// processes of reclaimable VMs live for days at most and steady clocks drift by seconds in that time at most.
#[derive(Debug)]
pub struct Tally {
    clock: Clock,
    /// The time of day at the boot clock's zero.
    epoch: Duration,
    window: Duration,
    windows: Mutex<Windows>,
}

impl Tally {
    /// Makes a tally; a window of zero counts nothing.
    pub fn new(clock: Clock, window: Duration) -> Self {
        let day = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            clock,
            epoch: day.saturating_sub(clock.now().since(Instant::ZERO)),
            window,
            windows: Mutex::default(),
        }
    }

    /// Returns the time since the start of 1970.
    pub fn unix_time(&self) -> Duration {
        self.epoch + self.clock.now().since(Instant::ZERO)
    }

    /// Returns the window of the current moment.
    pub fn current(&self) -> u64 {
        let window = self.window.as_nanos();
        let number = self.unix_time().as_nanos().checked_div(window).unwrap_or_default();
        u64::try_from(number).unwrap_or(u64::MAX)
    }

    /// Returns how long ago a window ended.
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
        while windows.len() as u64 > KEPT {
            windows.pop_first();
        }
    }

    /// Returns what was counted lately.
    pub fn windows(&self) -> Windows {
        let oldest = self.current().saturating_sub(KEPT);
        let windows = self.windows.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        windows
            .range(oldest..)
            .map(|(window, counts)| (*window, counts.clone()))
            .collect()
    }
}
