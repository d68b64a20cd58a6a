//! Follows the operators' document.

use core::time::Duration;
use std::rc::Rc;

use bergamotshift_core::prelude::*;
use slog::info;
use tokio::time::sleep;

use super::knowledge::scale_pause;
use crate::control::Control;
use crate::observe::Topic;
use crate::outside::Gap;
use crate::outside::Operators;
use crate::peers::Holder;
use crate::peers::Source;
use crate::peers::update;

/// How long one question waits for a change. A connection may go silent for good; the question is asked anew on another
/// one after this time and a little, which has to fit into the time within which a document must be in force.
const WATCH_TIMEOUT: Duration = Duration::from_millis(500);

/// How old the knowledge of the document may be until an entry asks for itself. The first entry in rank waits at the
/// store, so its knowledge is as old as its question at the most.
const POLL_INTERVAL: Duration = Duration::from_millis(800);

/// How long to wait after a call failed.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// How long an entry is not asked again that gives its document to enough others: what a copy of 1,400 new routes takes over
/// the narrowest links.
const BUSY_HOLDER_DELAY: Duration = Duration::from_millis(80);

/// How long to wait while all entries that have a newer document are busy; the first of them is asked again about then.
const ALL_BUSY_DELAY: Duration = Duration::from_millis(40);

/// How long an entry is not asked again that failed to give its document.
const FAILED_HOLDER_DELAY: Duration = Duration::from_secs(2);

/// How long the other entries may leave this one without a document that they have, until it is read from the store whatever
/// they say meanwhile.
const MAX_PEER_LAG: Duration = Duration::from_millis(1_200);

/// How many entries in a row may fail to give it until then.
const MAX_PEER_FAILURES: u32 = 2;

/// Follows the operators' document for as long as the process lives.
///
/// Changes are awaited from a cursor. When the history after it is gone, or a call failed, everything is read anew: no
/// change can be missed that way, and an older version is never put in force.
///
/// Failure: a document has grown large, and an entry asks several others and the store for it at once. Symptom: the copies
/// share its link, each takes longer than any may, and none is ever whole. Here is one loop, so there is one copy on its way
/// at a time: from an entry that has it, which may tell the difference alone, or else from the store.
pub async fn document(control: Control, operators: Rc<dyn Operators>) {
    let mut follower = Follower {
        last_store_read: control.shared().clock.now(),
        control,
        operators,
        needs_full_read: true,
        failures: 0,
    };
    loop {
        follower.step().await;
    }
}

/// What came of asking an entry for its document.
enum Fetched {
    Newer,
    Busy,
    Failed,
}

/// Follows the operators' document.
struct Follower {
    control: Control,
    operators: Rc<dyn Operators>,
    /// Whether the store has to be asked for everything.
    needs_full_read: bool,
    /// How many entries failed in a row to give their document.
    failures: u32,
    /// When the store was last left time to answer to the end.
    last_store_read: Instant,
}

impl Follower {
    /// Gets a newer document, or looks for one.
    async fn step(&mut self) {
        let must_use_store = self.must_use_store();
        match self.control.document_source() {
            Source::Holder(holder) if !must_use_store => self.fetch(&holder).await,
            Source::Busy if !must_use_store => sleep(ALL_BUSY_DELAY).await,
            _ => self.read_store(must_use_store).await,
        }
    }

    /// Returns whether the other entries have left this one without a document that they have.
    fn must_use_store(&self) -> bool {
        let behind = self.control.document_lag().is_some_and(|behind| behind >= MAX_PEER_LAG);
        self.failures >= MAX_PEER_FAILURES || behind && self.now().since(self.last_store_read) >= MAX_PEER_LAG
    }

    /// Asks an entry for its document.
    async fn fetch(&mut self, holder: &Holder) {
        match fetch_from(&self.control, holder).await {
            Fetched::Newer => self.failures = 0,
            Fetched::Busy => self.control.defer_holder(holder, BUSY_HOLDER_DELAY),
            Fetched::Failed => {
                self.failures += 1;
                self.control.defer_holder(holder, FAILED_HOLDER_DELAY);
            }
        }
    }

    /// Asks the store, when it is time for that, and waits if it has nothing. Unless the other entries have left it to the
    /// store, it goes back to them as soon as one has news, since they have less to tell.
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

    /// Asks the store, when it is time for that; returns for how long there is nothing to do after that.
    async fn poll_store(&mut self) -> Duration {
        let control = &self.control;
        let rank = control.rank();
        let due = if control.document_lag().is_some() {
            control.document_due(RETRY_DELAY)
        } else {
            control.document_due(POLL_INTERVAL)
        };
        if rank > 0 && !due.is_zero() {
            return due;
        }
        let after = control.document_cursor();
        let result = match after {
            Some(after) if !self.needs_full_read => self.operators.wait_for_change(after, watch_timeout(rank)).await,
            _ => self.operators.read().await.map_err(Gap::Failed),
        };
        self.needs_full_read = result.is_err();
        control.record_call("document", result.as_ref().err().and_then(failure));
        match result {
            Ok((written, next)) => control.apply_stored_document(written, next),
            Err(Gap::Truncated) => {}
            Err(Gap::Failed(_)) => return scale_pause(RETRY_DELAY, control.entry_count()),
        }
        Duration::ZERO
    }

    fn now(&self) -> Instant {
        self.control.shared().clock.now()
    }
}

/// Asks an entry for its document.
async fn fetch_from(control: &Control, holder: &Holder) -> Fetched {
    let now = || control.shared().clock.now();
    let began = now();
    let fetched = update::fetch(holder.address, control.document().version).await;
    let took = now().since(began);
    let cause = match fetched {
        Ok(arrival) => match control.apply_update(holder, arrival, took) {
            Ok(()) => return Fetched::Newer,
            Err(mismatch) => mismatch.to_string(),
        },
        Err(update::Error::Busy) => return Fetched::Busy,
        Err(error) => error.to_string(),
    };
    if let Some((logger, left_out)) = control.shared().log.room(now(), Topic::Peers) {
        info!(logger, "document not given"; "from" => holder.entry.as_str(), "cause" => cause,
            "ms" => took.as_millis() as u64, "version" => control.document().version, "left_out" => left_out);
    }
    Fetched::Failed
}

/// Only the first in rank waits at the store; the others look and leave.
const fn watch_timeout(rank: usize) -> Duration {
    if rank == 0 { WATCH_TIMEOUT } else { Duration::ZERO }
}

/// Returns the error of a call that failed; a gap in the history is an answer.
pub(super) fn failure(gap: &Gap) -> Option<&bergamotshift_platform::Error> {
    match gap {
        Gap::Truncated => None,
        Gap::Failed(error) => Some(error),
    }
}
