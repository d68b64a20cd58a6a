//! When a window's counts are complete.

use core::time::Duration;

/// How long after a window's end its counts are complete: the other entries have told theirs by then.
const SETTLED: Duration = Duration::from_millis(2_500);

/// The same in a large fleet, where each entry tells the holder every other second. What is not reported yet when all
/// entries are killed is lost, so it is no longer than that.
const SETTLED_LARGE: Duration = Duration::from_millis(3_500);

/// How long before a window is due its report is sent whatever was told: a few calls that are slow.
const REPORTING: Duration = Duration::from_millis(1_500);

/// How far the telling of a window's counts has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// How long ago the window ended.
    pub since_end: Duration,
    /// How long this entry has held the duties.
    pub held: Duration,
    /// Whether the entries are too many for each to hear all others often.
    pub is_large: bool,
}

impl Progress {
    /// Returns whether a window that is `due` so long after its end may be reported.
    ///
    /// Failure: an entry takes the duties over and reports what it heard of the last windows before it was the one that
    /// all tell. Symptom: a quarter of a window's requests are missing. In a large fleet it waits until all had time to
    /// tell it, unless the report would come too late.
    pub fn is_settled(&self, due: Duration) -> bool {
        if !self.is_large {
            return self.since_end >= SETTLED;
        }
        let is_told = self.held >= SETTLED_LARGE || self.since_end >= due.saturating_sub(REPORTING);
        self.since_end >= SETTLED_LARGE && is_told
    }
}
