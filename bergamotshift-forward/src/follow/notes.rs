//! Takes in what requests tell the control thread.

use core::time::Duration;

use tokio::sync::mpsc;

use crate::control::Control;
use crate::exchange::Connection;
use crate::exchange::Failure;
use crate::peers::Note;

/// How long an endpoint may take to accept a connection before it counts as down.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Takes in notes for as long as the process lives.
///
/// A connection that breaks may be an endpoint's slip or its end. It counts as the end only if the endpoint accepts no
/// connection right afterwards: a request that merely lost its answer must not be suspected.
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
