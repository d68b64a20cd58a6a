//! Processes notes from requests to the control thread.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;
use futures_util::future::join_all;
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
/// endpoints. Endpoints are probed side by side, as some may give no answer.
pub async fn notes(control: Control, mut inbox: mpsc::UnboundedReceiver<Note>) {
    while let Some(first) = inbox.recv().await {
        let mut lost: BTreeMap<u64, Vec<Fingerprint>> = BTreeMap::new();
        let mut next = Some(first);
        while let Some(Note::ConnectionLost { endpoint, fingerprint }) = next {
            lost.entry(endpoint).or_default().push(fingerprint);
            next = inbox.try_recv().ok();
        }
        let probes = lost.into_iter().map(|(hash, running)| probe(&control, hash, running));
        join_all(probes).await;
    }
}

/// Records the death of an endpoint with these requests if it is dead.
async fn probe(control: &Control, hash: u64, running: Vec<Fingerprint>) {
    let endpoints = control.endpoints();
    let Some(endpoint) = endpoints.iter().find(|endpoint| endpoint.hash == hash) else {
        return;
    };
    if is_dead(control.shared(), endpoint).await {
        for fingerprint in running {
            control.endpoint_died(hash, fingerprint);
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
