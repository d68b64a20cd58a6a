//! Tracks which usage windows were reported, and the counts that were stored for them.

use core::ops::Range;
use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::name;

use super::progress::windows_kept;

/// Number of requests of each organisation in one window.
pub type Counts = BTreeMap<name::Organisation, u64>;

/// Usage windows that this entry reported or knows to be reported.
///
/// Two reports of a window must not differ. Counts are therefore stored before they are sent, and a later holder sends
/// the stored ones. When the store is restored from a copy, it may lack counts that were sent already.
#[derive(Debug)]
pub struct Reports {
    /// Age of the oldest window that is still reported, in windows before the current one.
    max_age: u64,
    /// Last window that was reported.
    reported: u64,
    /// Counts that this entry stored, of the windows that are not too old.
    stored: BTreeMap<u64, Counts>,
    /// Last window that a former holder may have reported under counts that the store has lost; 0 without one.
    uncertain: u64,
    /// Last window that a former holder may have reported before this entry began; 0 if it is known which ones it did.
    former: u64,
}

impl Reports {
    /// Creates a record without reports, for windows of a length.
    pub fn new(window: Duration) -> Self {
        Self {
            max_age: windows_kept(window),
            reported: 0,
            stored: BTreeMap::new(),
            uncertain: 0,
            former: 0,
        }
    }

    /// Returns the windows to report, before the window `current`.
    pub fn due(&self, current: u64) -> Range<u64> {
        (self.reported + 1).max(current.saturating_sub(self.max_age))..current
    }

    /// Returns the counts that this entry stored for a window.
    pub fn stored(&self, window: u64) -> Option<&Counts> {
        self.stored.get(&window)
    }

    /// Returns the counts that this entry stored and that a later holder may need, by window.
    pub fn all_stored(&self) -> impl Iterator<Item = (u64, &Counts)> {
        self.stored.iter().map(|(window, counts)| (*window, counts))
    }

    /// Returns whether a window may have been reported under counts that the store has lost. Such a window is reported
    /// only with counts that are stored.
    pub const fn is_uncertain(&self, window: u64) -> bool {
        window <= self.uncertain
    }

    /// Records the counts that are stored for a window, and drops those of windows that are no longer reported.
    pub fn store(&mut self, window: u64, counts: Counts) {
        self.stored.insert(window, counts);
        let oldest = window.saturating_sub(self.max_age);
        self.stored = self.stored.split_off(&oldest);
    }

    /// Records that a window was reported, or is left out.
    pub fn close(&mut self, window: u64) {
        self.reported = self.reported.max(window);
    }

    /// Records that the store was restored from a copy, at a time when another entry may have reported the windows up to
    /// `settled`.
    pub fn restored(&mut self, settled: u64) {
        self.uncertain = self.uncertain.max(settled);
    }

    /// Records that this entry begins to report, at a time when a former holder may have reported the windows up to
    /// `settled`.
    pub fn begin(&mut self, settled: u64) {
        self.former = settled;
    }

    /// Records that the store was restored from a copy while this entry reports: counts that a former holder stored may be
    /// lost.
    pub fn restored_while_held(&mut self) {
        self.restored(self.former);
    }

    /// Records that others have reported all windows up to `reported`. `is_final` tells whether the former holder itself
    /// said so after it gave the duty up, so that no later window was reported.
    pub fn learn(&mut self, reported: u64, is_final: bool) {
        self.close(reported);
        if is_final {
            self.uncertain = 0;
            self.former = 0;
        }
    }
}
