//! Keeps the endpoints' registrations up to date.

use core::time::Duration;
use std::rc::Rc;

use super::document::failure;
use crate::control::Control;
use crate::endpoint::Change;
use crate::endpoint::Event;
use crate::outside::Gap;
use crate::outside::Registry;

/// Maximum age of the registrations' checkpoint before an entry reads the store itself. Every endpoint writes about
/// once a second, so waiting for each change would cost one call per endpoint, while one read covers them all. One
/// read, one exchange between entries and one lost call fit into the time within which a leaving endpoint must stop
/// receiving requests.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum time until an entry checks again whether it has to read the store, since news of other entries may change that.
const MAX_SLEEP: Duration = Duration::from_millis(250);

/// Delay after a call of the store that failed, or whose answer was older than what is known.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Maximum delay after such a call while the registrations are outdated.
const OUTDATED_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Keeps the registrations up to date for the lifetime of the process.
pub async fn registrations(control: Control, registry: Rc<dyn Registry>) {
    let mut needs_full_read = true;
    loop {
        let due = control.registrations_due(POLL_INTERVAL);
        if !due.is_zero() {
            tokio::time::sleep(due.min(MAX_SLEEP)).await;
            continue;
        }
        let after = control.registrations_cursor();
        let asked = control.shared().clock.now();
        let (is_full, result) = match after {
            Some(after) if !needs_full_read => (false, registry.changes(after).await),
            _ => (true, registry.registrations().await.map_err(Gap::Failed)),
        };
        needs_full_read = result.is_err();
        control.record_call("registrations", result.as_ref().err().and_then(failure));
        match result {
            Ok((changes, next)) => {
                control.report_unreadable(&changes);
                if !control.apply_stored_registrations(event(is_full, changes), next, asked) {
                    pause(&control).await;
                }
            }
            Err(Gap::Truncated) => control.report_truncated("registrations", after),
            Err(Gap::Failed(_)) => {
                control.registrations_unavailable();
                pause(&control).await;
            }
        }
    }
}

/// Waits before the next call after one that told nothing new. An entry whose registrations are old, as others cannot give
/// it theirs either, does not wait for the whole fleet's sake.
async fn pause(control: &Control) {
    let scaled = control.turn().scale_pause(RETRY_DELAY, control.entry_count());
    let pause = if control.has_outdated_registrations() {
        scaled.min(OUTDATED_RETRY_DELAY)
    } else {
        scaled
    };
    tokio::time::sleep(pause).await;
}

/// Converts the result of a read to an event: all registrations as of one point in time, or the changes.
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
