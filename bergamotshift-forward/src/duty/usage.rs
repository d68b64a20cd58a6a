//! Reports the usage windows while this entry holds the duties.

use core::fmt::Display;
use core::time::Duration;

use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;
use slog::info;

use super::progress::Progress;
use super::reports::Counts;
use super::task::Task;
use crate::observe::Topic;
use crate::outside::Usage;

/// Partition in which reports are stored before they are sent.
const REPORTS: &str = "usage";

/// Counts of a window in the store.
enum Stored {
    /// The counts to report.
    Counts(Counts),
    /// The window may have been reported under counts that the store has lost.
    Lost,
}

/// Returns the row of a window's counts.
fn row_of(window: u64) -> Key {
    Key::new(REPORTS, format!("{window:012}"))
}

/// Returns the write that stores a window's counts, unless the window has some.
fn write_of(window: u64, counts: &Counts) -> Option<Write> {
    Some(Write {
        key: row_of(window),
        condition: Condition::Absent,
        change: Change::Put(postcard::to_stdvec(counts).ok()?),
    })
}

impl Task {
    /// Tells the next holder which windows were reported under a fencing number.
    pub(super) fn announce_handover(&mut self, number: u64) {
        self.enter_era();
        self.control.set_handover(self.reports.hand_over(number));
    }

    /// Reports the windows whose counts are complete.
    pub(super) async fn report_usage(&mut self) {
        let shared = std::sync::Arc::clone(self.control.shared());
        if shared.settings.duty.usage_window_s <= 0.0 {
            return;
        }
        self.reports.close(self.control.reported());
        self.take_over();
        for window in self.reports.due(shared.tally.current()) {
            if !self.is_settled(window) {
                return;
            }
            let counts = match self.store_counts(window).await {
                Some(Stored::Counts(counts)) => counts,
                Some(Stored::Lost) => {
                    info!(shared.log.always(), "usage not reported"; "window" => window, "era" => self.era,
                        "cause" => "another entry may have reported it under counts that a restored store lost");
                    self.reports.close(window);
                    self.control.set_reported(window);
                    continue;
                }
                None => return,
            };
            let Some(token) = self.fencing_token() else {
                return;
            };
            let usage = Usage { window, counts };
            let total: u64 = usage.counts.values().sum();
            let number = token.number;
            let sent = self.lease.within(self.duties.report(token, usage)).await;
            self.record_call("usage", &sent);
            info!(shared.log.always(), "usage reported"; "window" => window, "requests" => total,
                "number" => number, "error" => sent.as_ref().err().map(ToString::to_string));
            if sent.is_err() {
                return;
            }
            self.reports.close(window);
            self.control.set_reported(window);
        }
    }

    /// Takes over what the former holder left, if nobody held the duties in between.
    fn take_over(&mut self) {
        let Some(handover) = self.control.handover() else {
            return;
        };
        if self.reports.take_over(&handover) {
            info!(self.control.shared().log.always(), "usage reports taken over"; "number" => handover.number,
                "reported" => handover.reported, "uncertain" => handover.uncertain, "former" => handover.former);
        }
    }

    /// Records that windows are uncertain if the store was restored since the last call. Returns whether it was.
    fn enter_era(&mut self) -> bool {
        let era = self.newest_era();
        if era <= self.era {
            return false;
        }
        let before = core::mem::replace(&mut self.era, era);
        if self.number.is_none() {
            let current = self.control.shared().tally.current();
            self.reports.restored(current.saturating_sub(1));
        } else {
            self.reports.restored_while_held();
        }
        info!(self.control.shared().log.always(), "usage windows uncertain"; "up_to" => self.reports.uncertain(),
            "era" => era, "before" => before, "number" => self.number);
        true
    }

    /// Stores counts again that the store may have lost in a restore, or records that another entry's may be lost.
    pub(super) async fn follow_era(&mut self) {
        if !self.enter_era() || self.number.is_none() {
            return;
        }
        let writes: Vec<Write> = self
            .reports
            .all_stored()
            .filter_map(|(window, counts)| write_of(window, counts))
            .collect();
        for write in writes {
            let row = write.key.sort.clone();
            // A row that the copy contains stays as it is, and ends the write with a conflict.
            let ending = self.table.transact(vec![write]).await;
            info!(self.control.shared().log.always(), "usage stored again"; "window" => row.as_str(),
                "era" => self.era, "ending" => ?ending);
        }
    }

    /// Returns whether the other entries have reported their counts of a window.
    fn is_settled(&self, window: u64) -> bool {
        let shared = self.control.shared();
        let progress = Progress {
            since_end: shared.tally.since_end(window),
            held_for: shared.clock.now().since(self.held_since),
            is_large: self.control.is_large(),
        };
        progress.is_settled(Duration::from_secs_f64(shared.settings.duty.usage_due_s.max(0.0)))
    }

    /// Stores a window's counts, or returns those that a former holder stored.
    ///
    /// The row is written once, and only its counts are sent, so a report can be repeated only exactly, which does not
    /// count as a second one. Otherwise, if the answer to a report was lost, the holder or its successor would count
    /// again and report other numbers, and the window would be billed twice.
    ///
    /// Counts that this entry stored are stored again if a restored store lost them.
    async fn store_counts(&mut self, window: u64) -> Option<Stored> {
        let known = self.reports.stored(window).cloned();
        if known.is_none() && self.reports.is_uncertain(window) {
            let Some(row) = self.read_counts(window).await? else {
                return Some(Stored::Lost);
            };
            return self.keep_counts(window, &row);
        }
        let is_new = known.is_none();
        let counts = known.unwrap_or_else(|| self.control.usage(window));
        let write = write_of(window, &counts)?;
        if self.table.transact(vec![write]).await == Ending::Applied {
            if is_new && self.reports.may_be_reported(window) && self.newest_era() > self.era {
                self.remove_counts(window).await;
                return Some(Stored::Lost);
            }
            self.reports.store(window, counts.clone());
            return Some(Stored::Counts(counts));
        }
        let row = self.read_counts(window).await??;
        self.keep_counts(window, &row)
    }

    /// Returns the newest known era of the store. If it is later than the recorded one, rows may have been lost since.
    fn newest_era(&self) -> u64 {
        self.table.era().max(self.control.store_era())
    }

    /// Removes the counts of a window that a former holder may have reported with others, so that no later holder sends
    /// them.
    async fn remove_counts(&self, window: u64) {
        let removal = Write {
            key: row_of(window),
            condition: Condition::Any,
            change: Change::Delete,
        };
        let ending = self.table.transact(vec![removal]).await;
        info!(self.control.shared().log.always(), "usage counts removed"; "window" => window, "ending" => ?ending);
    }

    /// Reads the row of a window's counts; `None` when the read failed.
    async fn read_counts(&self, window: u64) -> Option<Option<Row>> {
        match self.table.get(vec![row_of(window)]).await {
            Ok(rows) => Some(rows.into_iter().next().flatten()),
            Err(error) => {
                self.log_unread_counts(window, &error);
                None
            }
        }
    }

    /// Decodes the stored counts of a window, and keeps them to store them again if a restored store loses them.
    fn keep_counts(&mut self, window: u64, row: &Row) -> Option<Stored> {
        match postcard::from_bytes::<Counts>(&row.body) {
            Ok(counts) => {
                self.reports.store(window, counts.clone());
                Some(Stored::Counts(counts))
            }
            Err(error) => {
                self.log_unread_counts(window, &error);
                None
            }
        }
    }

    fn log_unread_counts(&self, window: u64, cause: &dyn Display) {
        let shared = self.control.shared();
        if let Some((logger, left_out)) = shared.log.rate_limited(shared.clock.now(), Topic::State) {
            info!(logger, "counts not read"; "window" => window, "cause" => cause.to_string(), "left_out" => left_out);
        }
    }
}
