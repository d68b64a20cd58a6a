//! Follows the operators' document.

use core::time::Duration;
use std::rc::Rc;

use super::knowledge::pause;
use crate::control::Control;
use crate::outside::Gap;
use crate::outside::Operators;

/// How long one question waits for a change. A connection may go silent for good; the question is asked anew on another
/// one after this time and a little, which has to fit into the time within which a document must be in force.
const WAIT: Duration = Duration::from_millis(500);

/// How old the knowledge of the document may be until an entry asks for itself. The first entry in rank waits at the
/// store, so its knowledge is as old as its question at the most.
const LOOK: Duration = Duration::from_millis(800);

/// How long to wait after a call failed.
const PAUSE: Duration = Duration::from_millis(250);

/// Follows the operators' document for as long as the process lives.
///
/// Changes are awaited from a cursor. When the history after it is gone, or a call failed, everything is read anew: no
/// change can be missed that way, and an older version is never put in force.
pub async fn document(control: Control, operators: Rc<dyn Operators>) {
    let mut anew = true;
    loop {
        let rank = control.rank();
        if rank > 0 {
            let due = control.document_due(LOOK);
            if !due.is_zero() {
                tokio::time::sleep(due).await;
                continue;
            }
        }
        let after = control.document_cursor();
        let result = match after {
            Some(after) if !anew => operators.changed(after, wait(rank)).await,
            _ => operators.document().await.map_err(Gap::Failed),
        };
        anew = result.is_err();
        control.called("document", result.as_ref().err().and_then(failure));
        match result {
            Ok((document, next)) => control.read_document(document, next),
            Err(Gap::Forgotten) => {}
            Err(Gap::Failed(_)) => tokio::time::sleep(pause(PAUSE, control.members())).await,
        }
    }
}

/// Only the first in rank waits at the store; the others look and leave.
const fn wait(rank: usize) -> Duration {
    if rank == 0 { WAIT } else { Duration::ZERO }
}

/// Returns the error of a call that failed; a gap in the history is an answer.
pub(super) fn failure(gap: &Gap) -> Option<&bergamotshift_platform::Error> {
    match gap {
        Gap::Forgotten => None,
        Gap::Failed(error) => Some(error),
    }
}
