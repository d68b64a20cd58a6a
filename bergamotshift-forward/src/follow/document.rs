//! Follows the operators' document.

use core::time::Duration;
use std::rc::Rc;

use slog::info;

use crate::daemon::Control;
use crate::outside::Cursor;
use crate::outside::Gap;
use crate::outside::Operators;

/// How long one question waits for a change. A connection may go silent for good; the question is asked anew on another
/// one after this time and a little, which has to fit into the time within which a document must be in force.
const WAIT: Duration = Duration::from_millis(1_200);

/// How long to wait after a call failed.
const PAUSE: Duration = Duration::from_millis(250);

/// Follows the operators' document for as long as the process lives.
///
/// Changes are awaited from a cursor. When the history after it is gone, or a call failed, everything is read anew: no
/// change can be missed that way, and an older version is never put in force.
pub async fn document(control: Control, operators: Rc<dyn Operators>) {
    let mut cursor: Option<Cursor> = None;
    let mut reached = true;
    loop {
        let result = match cursor {
            None => operators.document().await.map_err(Gap::Failed),
            Some(after) => operators.changed(after, WAIT).await,
        };
        let metrics = &control.shared().metrics;
        metrics.called("document", !matches!(result, Err(Gap::Failed(_))));
        match result {
            Ok((document, next)) => {
                note(&control, &mut reached, true, "");
                cursor = Some(next);
                if let Some(document) = document {
                    control.put_document(document, "store");
                }
            }
            Err(Gap::Forgotten) => cursor = None,
            Err(Gap::Failed(error)) => {
                note(&control, &mut reached, false, &error.to_string());
                cursor = None;
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Logs a dependency that was lost or is back.
fn note(control: &Control, before: &mut bool, now: bool, cause: &str) {
    if *before == now {
        return;
    }
    *before = now;
    let logger = control.shared().log.always();
    if now {
        info!(logger, "store reached again"; "for" => "document");
    } else {
        info!(logger, "store lost"; "for" => "document", "cause" => cause);
    }
}
