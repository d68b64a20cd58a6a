//! Follows the endpoints' registrations.

use core::time::Duration;
use std::rc::Rc;

use slog::info;

use crate::daemon::Control;
use crate::endpoint::Event;
use crate::outside::Cursor;
use crate::outside::Gap;
use crate::outside::Registry;

/// The time between two looks. Every endpoint writes about once a second, so awaiting each change would cost a call for
/// each of them; a look covers them all, and two of them fit into the time within which a leaving endpoint must get no
/// more work.
const LOOK: Duration = Duration::from_millis(700);

/// How long to wait after a call failed.
const PAUSE: Duration = Duration::from_millis(250);

/// Follows the registrations for as long as the process lives.
pub async fn registrations(control: Control, registry: Rc<dyn Registry>) {
    let mut cursor: Option<Cursor> = None;
    let mut reached = true;
    loop {
        let result = match cursor {
            None => match registry.registrations().await {
                Ok((listed, next)) => Ok((Event::Listed(listed), next)),
                Err(error) => Err(Gap::Failed(error)),
            },
            Some(after) => match registry.changes(after).await {
                Ok((changes, next)) => Ok((Event::Changed(changes), next)),
                Err(gap) => Err(gap),
            },
        };
        let metrics = &control.shared().metrics;
        metrics.called("registrations", !matches!(result, Err(Gap::Failed(_))));
        match result {
            Ok((event, next)) => {
                if !reached {
                    reached = true;
                    info!(control.shared().log.always(), "store reached again"; "for" => "registrations");
                }
                cursor = Some(next);
                control.on_registrations(event, "store");
                tokio::time::sleep(LOOK).await;
            }
            Err(Gap::Forgotten) => cursor = None,
            Err(Gap::Failed(error)) => {
                if reached {
                    reached = false;
                    info!(control.shared().log.always(), "store lost"; "for" => "registrations", "cause" => %error);
                }
                cursor = None;
                control.on_registrations(Event::Lost, "store");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
