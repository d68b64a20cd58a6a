//! Processes notes from requests to the control thread.

use core::time::Duration;

use tokio::sync::mpsc;

use crate::control::Control;
use crate::endpoint::Endpoint;
use crate::exchange::Connection;
use crate::exchange::Failure;
use crate::peers::Note;
use crate::relay;
use crate::view::Shared;

/// Time within which an endpoint has to accept a connection; otherwise it counts as down.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time within which another entry has to confirm that an endpoint is down.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

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
        if is_dead(control.shared(), found).await {
            control.endpoint_died(endpoint, fingerprint);
        }
    }
}

/// Returns whether an endpoint accepts no connection, neither from this entry nor from another one, which may reach it while
/// this one is cut off.
async fn is_dead(shared: &Shared, endpoint: &Endpoint) -> bool {
    let address = endpoint.registration.address;
    let Err(Failure::Connect(_)) = Connection::open(address, CONNECT_TIMEOUT).await else {
        return false;
    };
    match relay::open(shared, endpoint, "", CONFIRM_TIMEOUT).await {
        Ok(_) => false,
        Err(relay::Error::Unreached) => true,
        Err(relay::Error::NoEntry) => !shared.reach.is_cut_off(&endpoint.registration.service),
    }
}
