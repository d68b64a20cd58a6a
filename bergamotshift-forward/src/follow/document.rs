//! Keeps the operators' document up to date, from other entries or from the store.

use core::time::Duration;
use std::rc::Rc;

use bergamotshift_core::prelude::*;
use slog::info;
use tokio::time::sleep;

use super::turn::Turn;
use crate::control::Control;
use crate::observe::Topic;
use crate::outside::Gap;
use crate::outside::Operators;
use crate::peers::Holder;
use crate::peers::Network;
use crate::peers::Source;
use crate::peers::update;

/// Time for which one long-poll call of the store waits for a change. A connection may hang permanently, so the call is
/// repeated on another one shortly after this time. This has to fit into the time within which a document must be in
/// force.
const WATCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum age of the document's checkpoint before an entry reads the store itself. The first entry in order always has
/// a long-poll call open, so its checkpoint is at most as old as that call.
const POLL_INTERVAL: Duration = Duration::from_millis(800);

/// Maximum time until an entry checks again whether it has to read the store, since news of other entries may change that.
const MAX_SLEEP: Duration = Duration::from_millis(250);

/// Delay after a call of the store that failed, or whose answer was older than what is known.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Delay before an entry that already uploads to its maximum number of others is asked again: the time that a copy of
/// 1,400 new routes takes over the slowest links.
const BUSY_HOLDER_DELAY: Duration = Duration::from_millis(80);

/// Delay while all entries with a newer document are busy; the first of them is asked again after about this time.
const ALL_BUSY_DELAY: Duration = Duration::from_millis(40);

/// Delay before an entry that failed to provide its document is asked again.
const FAILED_HOLDER_DELAY: Duration = Duration::from_secs(2);

/// Time without a newer document that other entries have, after which it is read from the store regardless of updates
/// from those entries.
const MAX_PEER_LAG: Duration = Duration::from_millis(1_200);

/// Number of consecutive entries that may fail to provide the document before it is read from the store.
const MAX_PEER_FAILURES: u32 = 2;

/// Keeps the operators' document up to date for the lifetime of the process.
///
/// Changes are awaited from a cursor. If the history after the cursor was truncated, or a call failed, everything is
/// read again. That way no change is missed, and an older version is never put in force.
///
/// One loop fetches one copy at a time: from an entry that has it and may send only the difference, or else from the
/// store. Concurrent fetches of a large document would share the link, so that each exceeds its timeout and none
/// completes.
pub async fn document(control: Control, operators: Rc<dyn Operators>, network: Rc<dyn Network>) {
    let mut follower = Follower {
        last_store_read: control.shared().clock.now(),
        control,
        operators,
        network,
        needs_full_read: true,
        failures: 0,
    };
    loop {
        follower.step().await;
    }
}

/// Result of fetching the document from another entry.
enum Fetched {
    /// A newer document was put in force.
    Newer,
    /// The entry is uploading to its maximum number of others.
    Busy,
    /// The entry did not provide a usable document.
    Failed,
}

/// State of the loop that follows the document.
struct Follower {
    control: Control,
    operators: Rc<dyn Operators>,
    network: Rc<dyn Network>,
    /// Whether the next call of the store has to read everything.
    needs_full_read: bool,
    /// Number of consecutive failures to fetch the document from other entries.
    failures: u32,
    /// Time of the last read of the store that was not interrupted in favour of another entry.
    last_store_read: Instant,
}

impl Follower {
    /// Fetches a newer document from another entry, or reads the store.
    async fn step(&mut self) {
        let must_use_store = self.must_use_store();
        match self.control.document_source() {
            Source::Holder(holder) if !must_use_store => self.fetch(&holder).await,
            Source::Busy if !must_use_store => sleep(ALL_BUSY_DELAY).await,
            _ => self.read_store(must_use_store).await,
        }
    }

    /// Returns whether other entries have failed to provide a newer document for too long or too often.
    fn must_use_store(&self) -> bool {
        let is_late = self.control.document_lag().is_some_and(|lag| lag >= MAX_PEER_LAG);
        self.failures >= MAX_PEER_FAILURES || is_late && self.now().since(self.last_store_read) >= MAX_PEER_LAG
    }

    /// Fetches the document from an entry, and defers that entry if this fails.
    async fn fetch(&mut self, holder: &Holder) {
        match fetch_from(&self.control, &*self.network, holder).await {
            Fetched::Newer => self.failures = 0,
            Fetched::Busy => self.control.defer_holder(holder, BUSY_HOLDER_DELAY),
            Fetched::Failed => {
                self.failures += 1;
                self.control.defer_holder(holder, FAILED_HOLDER_DELAY);
            }
        }
    }

    /// Reads the store if that is due, and waits. Unless the store must be used, this ends as soon as another entry has
    /// a newer document, since entries can send a smaller difference.
    async fn read_store(&mut self, must_use_store: bool) {
        let control = self.control.clone();
        let delay = if must_use_store {
            let delay = self.poll_store().await;
            self.failures = 0;
            self.last_store_read = self.now();
            delay
        } else {
            tokio::select! {
                biased;
                () = control.wait_for_holder() => return,
                delay = self.poll_store() => delay,
            }
        };
        tokio::select! {
            () = control.wait_for_holder() => {}
            () = sleep(delay) => {}
        }
    }

    /// Reads the store if that is due, and returns the delay before the next call.
    async fn poll_store(&mut self) -> Duration {
        let control = &self.control;
        let turn = control.turn();
        let due = if control.document_lag().is_some() {
            control.document_due(RETRY_DELAY)
        } else {
            control.document_due(POLL_INTERVAL)
        };
        let after = control.document_cursor();
        if !due.is_zero() && (!turn.is_first() || after.is_none()) {
            return due.min(MAX_SLEEP);
        }
        let asked = self.now();
        let wait = watch_timeout(turn);
        let (is_full, result) = match after {
            Some(after) if !self.needs_full_read => {
                let changes = self.operators.wait_for_change(after, wait);
                (false, changes.await)
            }
            _ => (true, self.operators.read().await.map_err(Gap::Failed)),
        };
        self.needs_full_read = result.is_err();
        control.record_call("document", result.as_ref().err().and_then(failure));
        match result {
            Ok((instructions, next)) => {
                // The store answers a call that waits in vain when its time is over.
                let as_of = if is_full { asked } else { self.now().min(asked + wait) };
                let is_current = control.apply_stored_document(instructions, next, as_of);
                if is_current || !is_full {
                    return Duration::ZERO;
                }
            }
            Err(Gap::Truncated) => {
                control.report_truncated("document", after);
                return Duration::ZERO;
            }
            Err(Gap::Failed(_)) => {}
        }
        turn.scale_pause(RETRY_DELAY, control.entry_count())
    }

    fn now(&self) -> Instant {
        self.control.shared().clock.now()
    }
}

/// Fetches the document from an entry and puts it in force.
async fn fetch_from(control: &Control, network: &dyn Network, holder: &Holder) -> Fetched {
    let now = || control.shared().clock.now();
    let started = now();
    let fetched = network.download(holder.address, control.document().version).await;
    let took = now().since(started);
    let cause = match fetched {
        Ok(download) => match control.apply_update(holder, download, took) {
            Ok(()) => return Fetched::Newer,
            Err(mismatch) => mismatch.to_string(),
        },
        Err(update::Error::Busy) => return Fetched::Busy,
        Err(error) => error.to_string(),
    };
    if let Some((logger, left_out)) = control.shared().log.rate_limited(now(), Topic::Peers) {
        info!(logger, "document not given"; "from" => holder.entry.as_str(), "cause" => cause,
            "ms" => took.as_millis() as u64, "version" => control.document().version, "left_out" => left_out);
    }
    Fetched::Failed
}

/// Returns the time for which a call of the store may wait for a change. Only the first entry in order waits.
const fn watch_timeout(turn: Turn) -> Duration {
    if turn.is_first() { WATCH_TIMEOUT } else { Duration::ZERO }
}

/// Returns the error of a failed call; `None` for a truncated history, which is a valid answer of the store.
pub(super) fn failure(gap: &Gap) -> Option<&bergamotshift_platform::Error> {
    match gap {
        Gap::Truncated => None,
        Gap::Failed(error) => Some(error),
    }
}
