//! Determines when a window's counts are complete.

use core::time::Duration;

/// Time after a window's end at which its counts are complete, as the other entries have reported theirs by then.
const SETTLE_DELAY: Duration = Duration::from_millis(2_500);

/// Time after a window's end at which its counts are complete in a large fleet, where each entry reports to the holder
/// every other second. It is no longer than that, since counts that are not reported yet are lost when all entries are
/// killed.
const SETTLE_DELAY_LARGE: Duration = Duration::from_millis(3_500);

/// Time before a window's report is due at which it is sent in any case: enough for a few slow calls.
const REPORT_MARGIN: Duration = Duration::from_millis(1_500);

/// Smallest number of windows before the current one whose counts are kept.
const MIN_WINDOWS_KEPT: u64 = 3;

/// Returns the number of windows of a length, before the current one, whose counts are kept: all that an entry which takes
/// over the duties of a large fleet may still have to report, once all others had time to report to it.
pub fn windows_kept(length: Duration) -> u64 {
    const SPAN: Duration = SETTLE_DELAY_LARGE.saturating_mul(2);
    let windows = SPAN.as_nanos().checked_div(length.as_nanos()).unwrap_or_default() + 1;
    u64::try_from(windows).unwrap_or(u64::MAX).max(MIN_WINDOWS_KEPT)
}

/// Progress of collecting a window's counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Time since the window's end.
    pub since_end: Duration,
    /// Time for which this entry has held the duties.
    pub held_for: Duration,
    /// Whether there are too many entries for each to exchange state with all others often.
    pub is_large: bool,
}

impl Progress {
    /// Returns whether a window may be reported; its report is due at `due` after its end.
    ///
    /// In a large fleet, an entry that takes over the duties waits until all others had time to report to it, unless
    /// its own report would come too late. Otherwise a quarter of a window's requests could be missing, as the others
    /// reported to the former holder.
    pub fn is_settled(&self, due: Duration) -> bool {
        if !self.is_large {
            return self.since_end >= SETTLE_DELAY;
        }
        let is_complete = self.held_for >= SETTLE_DELAY_LARGE || self.since_end >= due.saturating_sub(REPORT_MARGIN);
        self.since_end >= SETTLE_DELAY_LARGE && is_complete
    }
}
