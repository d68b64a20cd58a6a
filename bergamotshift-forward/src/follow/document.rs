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
const WAIT: Duration = Duration::from_millis(500);

/// How old the knowledge of the document may be until an entry asks for itself. The first entry in rank waits at the
/// store, so its knowledge is as old as its question at the most.
const LOOK: Duration = Duration::from_millis(800);

/// How long to wait after a call failed.
const PAUSE: Duration = Duration::from_millis(250);

/// How long an entry is not asked again that gives its document to enough others: what a copy of 1,400 new routes takes over
/// the narrowest links.
const BUSY: Duration = Duration::from_millis(80);

/// How long to wait while all entries that have a newer document are busy; the first of them is asked again about then.
const TURN: Duration = Duration::from_millis(40);

/// How long an entry is not asked again that failed to give its document.
const FAILED: Duration = Duration::from_secs(2);

/// How long the other entries may leave this one without a document that they have, until it is read from the store whatever
/// they say meanwhile.
const LEFT: Duration = Duration::from_millis(1_200);

/// How many entries in a row may fail to give it until then.
const FAILURES: u32 = 2;

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
        looked: control.shared().clock.now(),
        control,
        operators,
        anew: true,
        failures: 0,
    };
    loop {
        follower.step().await;
    }
}

/// What came of asking an entry for its document.
enum Given {
    Newer,
    Busy,
    Failed,
}

/// Follows the operators' document.
struct Follower {
    control: Control,
    operators: Rc<dyn Operators>,
    /// Whether the store has to be asked for everything.
    anew: bool,
    /// How many entries failed in a row to give their document.
    failures: u32,
    /// When the store was last left time to answer to the end.
    looked: Instant,
}

impl Follower {
    /// Gets a newer document, or looks for one.
    async fn step(&mut self) {
        let is_left = self.is_left();
        match self.control.source() {
            Source::Holder(holder) if !is_left => self.fetch(&holder).await,
            Source::Busy if !is_left => sleep(TURN).await,
            _ => self.look(is_left).await,
        }
    }

    /// Returns whether the other entries have left this one without a document that they have.
    fn is_left(&self) -> bool {
        let behind = self.control.behind().is_some_and(|behind| behind >= LEFT);
        self.failures >= FAILURES || behind && self.now().since(self.looked) >= LEFT
    }

    /// Asks an entry for its document.
    async fn fetch(&mut self, holder: &Holder) {
        match fetch(&self.control, holder).await {
            Given::Newer => self.failures = 0,
            Given::Busy => self.control.not_given(holder, BUSY),
            Given::Failed => {
                self.failures += 1;
                self.control.not_given(holder, FAILED);
            }
        }
    }

    /// Asks the store, when it is time for that, and waits if it has nothing. Unless the other entries have left it to the
    /// store, it goes back to them as soon as one has news, since they have less to tell.
    async fn look(&mut self, is_left: bool) {
        let control = self.control.clone();
        let rest = if is_left {
            let rest = self.ask().await;
            self.failures = 0;
            self.looked = self.now();
            rest
        } else {
            tokio::select! {
                biased;
                () = control.news() => return,
                rest = self.ask() => rest,
            }
        };
        tokio::select! {
            () = control.news() => {}
            () = sleep(rest) => {}
        }
    }

    /// Asks the store, when it is time for that; returns for how long there is nothing to do after that.
    async fn ask(&mut self) -> Duration {
        let control = &self.control;
        let rank = control.rank();
        let due = if control.behind().is_some() {
            control.document_due(PAUSE)
        } else {
            control.document_due(LOOK)
        };
        if rank > 0 && !due.is_zero() {
            return due;
        }
        let after = control.document_cursor();
        let result = match after {
            Some(after) if !self.anew => self.operators.wait_for_change(after, wait(rank)).await,
            _ => self.operators.read().await.map_err(Gap::Failed),
        };
        self.anew = result.is_err();
        control.record_call("document", result.as_ref().err().and_then(failure));
        match result {
            Ok((written, next)) => control.read_document(written, next),
            Err(Gap::Truncated) => {}
            Err(Gap::Failed(_)) => return scale_pause(PAUSE, control.members()),
        }
        Duration::ZERO
    }

    fn now(&self) -> Instant {
        self.control.shared().clock.now()
    }
}

/// Asks an entry for its document.
async fn fetch(control: &Control, holder: &Holder) -> Given {
    let now = || control.shared().clock.now();
    let began = now();
    let fetched = update::fetch(holder.address, control.document().version).await;
    let took = now().since(began);
    let cause = match fetched {
        Ok(arrival) => match control.given(holder, arrival, took) {
            Ok(()) => return Given::Newer,
            Err(mismatch) => mismatch.to_string(),
        },
        Err(update::Error::Busy) => return Given::Busy,
        Err(error) => error.to_string(),
    };
    if let Some((logger, left_out)) = control.shared().log.room(now(), Topic::Peers) {
        info!(logger, "document not given"; "from" => holder.entry.as_str(), "cause" => cause,
            "ms" => took.as_millis() as u64, "version" => control.document().version, "left_out" => left_out);
    }
    Given::Failed
}

/// Only the first in rank waits at the store; the others look and leave.
const fn wait(rank: usize) -> Duration {
    if rank == 0 { WAIT } else { Duration::ZERO }
}

/// Returns the error of a call that failed; a gap in the history is an answer.
pub(super) fn failure(gap: &Gap) -> Option<&bergamotshift_platform::Error> {
    match gap {
        Gap::Truncated => None,
        Gap::Failed(error) => Some(error),
    }
}
