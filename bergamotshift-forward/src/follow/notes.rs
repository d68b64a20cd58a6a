//! Processes notes from requests to the control thread.

use core::time::Duration;

use tokio::sync::mpsc;

use crate::control::Control;
use crate::exchange::Connection;
use crate::exchange::Failure;
use crate::peers::Note;

/// Time within which an endpoint has to accept a connection; otherwise it counts as down.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Processes notes for the lifetime of the process.
///
/// A broken connection does not imply that the endpoint died. The endpoint counts as dead only if it accepts no
/// connection right afterwards; otherwise a request that merely lost its answer would be suspected of crashing
/// endpoints.
pub async fn notes(control: Control, mut inbox: mpsc::UnboundedReceiver<Note>) {
    while let Some(note) = inbox.recv().await {
        let Note::ConnectionLost { endpoint, fingerprint } = note;
        let endpoints = control.endpoints();
        let Some(found) = endpoints.iter().find(|one| one.hash == endpoint) else {
            continue;
        };
        let address = found.registration.address;
        if let Err(Failure::Connect(_)) = Connection::open(address, CONNECT_TIMEOUT).await {
            control.endpoint_died(endpoint, fingerprint);
        }
    }
}
