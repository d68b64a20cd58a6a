//! Follows the endpoints' registrations.

use core::time::Duration;
use std::rc::Rc;

use super::document::failure;
use super::knowledge::scale_pause;
use crate::control::Control;
use crate::endpoint::Change;
use crate::endpoint::Event;
use crate::outside::Gap;
use crate::outside::Registry;

/// How old the knowledge of the registrations may be until an entry looks. Every endpoint writes about once a second, so
/// awaiting each change would cost a call for each of them; a look covers them all, and one look, a round of telling and
/// a lost call fit into the time within which a leaving endpoint must get no more work.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// How long to wait after a call failed.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Follows the registrations for as long as the process lives.
pub async fn registrations(control: Control, registry: Rc<dyn Registry>) {
    let mut needs_full_read = true;
    loop {
        let due = control.registrations_due(POLL_INTERVAL);
        if !due.is_zero() {
            tokio::time::sleep(due).await;
            continue;
        }
        let after = control.registrations_cursor();
        let (is_full, result) = match after {
            Some(after) if !needs_full_read => (false, registry.changes(after).await),
            _ => (true, registry.registrations().await.map_err(Gap::Failed)),
        };
        needs_full_read = result.is_err();
        control.record_call("registrations", result.as_ref().err().and_then(failure));
        match result {
            Ok((changes, next)) => {
                control.report_unreadable(&changes);
                control.apply_stored_registrations(event(is_full, changes), next);
            }
            Err(Gap::Truncated) => {}
            Err(Gap::Failed(_)) => {
                control.registrations_unavailable();
                tokio::time::sleep(scale_pause(RETRY_DELAY, control.entry_count())).await;
            }
        }
    }
}

/// Returns what was read as an event: all registrations as of one moment, or what changed.
fn event(is_full: bool, changes: Vec<Change>) -> Event {
    if !is_full {
        return Event::Changed(changes);
    }
    let written = changes.into_iter().filter_map(|change| match change {
        Change::Written(registration) => Some(registration),
        Change::Removed(_) | Change::Unreadable { .. } => None,
    });
    Event::Listed(written.collect())
}
