//! Tracks which usage windows were reported, and the counts that were stored for them.

use core::ops::Range;
use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::name;

use super::handover::Handover;
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
    /// Fencing number under which this entry began to report; 0 before, and once the former holder's handover is taken
    /// over.
    number: u64,
    /// Whether the store was restored since this entry began to report.
    was_restored: bool,
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
            number: 0,
            was_restored: false,
        }
    }

    /// Returns the last window that may have been reported under counts that the store has lost; 0 without one.
    pub const fn uncertain(&self) -> u64 {
        self.uncertain
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

    /// Returns whether a former holder may have reported a window.
    pub const fn may_be_reported(&self, window: u64) -> bool {
        window <= self.former
    }

    /// Records that this entry begins to report under a fencing number, at a time when a former holder may have reported
    /// the windows up to `settled`.
    pub const fn begin(&mut self, settled: u64, number: u64) {
        self.former = settled;
        self.number = number;
        self.was_restored = false;
    }

    /// Records that the store was restored from a copy while this entry reports: counts that a former holder stored may be
    /// lost.
    pub fn restored_while_held(&mut self) {
        self.was_restored = true;
        self.restored(self.former);
    }

    /// Takes over what the former holder left, once, if nobody held the duties in between: no window was reported after
    /// those that it names. Returns whether it was taken over.
    pub fn take_over(&mut self, handover: &Handover) -> bool {
        if !handover.precedes(self.number) {
            return false;
        }
        self.number = 0;
        self.close(handover.reported);
        self.former = handover.former;
        self.uncertain = handover.uncertain;
        if self.was_restored {
            self.restored(self.former);
        }
        true
    }

    /// Returns what this entry leaves to the next holder when it gives the duties up under a fencing number.
    ///
    /// Windows whose counts this entry stored may have been reported although no answer arrived.
    pub fn hand_over(&self, number: u64) -> Handover {
        let stored = self.stored.last_key_value().map(|(window, _)| *window);
        let unanswered = stored.filter(|window| *window > self.reported);
        Handover {
            number,
            reported: self.reported,
            uncertain: self.uncertain.max(unanswered.unwrap_or_default()),
            former: self.former,
        }
    }
}
