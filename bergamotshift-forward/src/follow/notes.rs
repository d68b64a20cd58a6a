//! Processes notes from requests to the control thread.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;
use futures_util::future::join_all;
use slog::info;
use tokio::sync::mpsc;

use crate::control::Control;
use crate::dialect::Metadata;
use crate::endpoint::Endpoint;
use crate::observe::Topic;
use crate::peers::Loss;
use crate::peers::Note;
use crate::relay;
use crate::view::Shared;

/// Time within which another entry has to confirm that an endpoint is down.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// Processes notes for the lifetime of the process.
///
/// A broken connection does not imply that the endpoint died. The endpoint counts as dead only if no connection to it
/// stays open right afterwards; otherwise a request that merely lost its answer would be suspected of crashing
/// endpoints. Endpoints are probed side by side, as some may give no answer.
pub async fn notes(control: Control, mut inbox: mpsc::UnboundedReceiver<Note>) {
    while let Some(first) = inbox.recv().await {
        let mut lost: BTreeMap<u64, Vec<Loss>> = BTreeMap::new();
        let mut next = Some(first);
        while let Some(Note::ConnectionLost(loss)) = next {
            lost.entry(loss.endpoint).or_default().push(loss);
            next = inbox.try_recv().ok();
        }
        let probes = lost.into_iter().map(|(hash, losses)| probe(&control, hash, losses));
        join_all(probes).await;
    }
}

/// What became of an endpoint whose connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Lives,
    Died,
    /// Neither this entry nor another one reaches endpoints of its service, so this may be a cut.
    Unknown,
}

impl Fate {
    /// Returns its name in the log.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Lives => "lives",
            Self::Died => "died",
            Self::Unknown => "unknown",
        }
    }
}

/// Finds out what became of an endpoint, and records its death with these requests.
async fn probe(control: &Control, hash: u64, losses: Vec<Loss>) {
    let shared = control.shared();
    let endpoints = control.endpoints();
    let Some(endpoint) = endpoints.iter().find(|endpoint| endpoint.hash == hash) else {
        return;
    };
    let fate = fate(shared, endpoint).await;
    if let Some((logger, left_out)) = shared.log.rate_limited(shared.clock.now(), Topic::Relay) {
        info!(logger, "broken connection examined"; "endpoint" => endpoint.registration.id.as_str(),
            "requests" => losses.len(), "fate" => fate.as_str(), "left_out" => left_out);
    }
    for loss in &losses {
        log_loss(shared, endpoint, loss, fate);
    }
    if fate == Fate::Lives {
        return;
    }
    let is_confirmed = fate == Fate::Died;
    // What completed before crashes no endpoints.
    let is_suspect = |fingerprint: &Fingerprint| is_confirmed || !shared.completed.contains(*fingerprint);
    for loss in losses.iter().filter(|loss| is_suspect(&loss.fingerprint)) {
        control.endpoint_died(hash, loss.at, loss.fingerprint, is_confirmed);
    }
    let waiting = losses.iter().filter(|loss| !loss.has_begun);
    let parts: Vec<_> = waiting.clone().flat_map(|loss| loss.suspects.iter().copied()).collect();
    if let Some(at) = waiting.map(|loss| loss.at).min() {
        control.parts_lost(hash, at, &parts, is_confirmed);
    }
}

/// Logs a request whose connection broke, and what became of the endpoint.
fn log_loss(shared: &Shared, endpoint: &Endpoint, loss: &Loss, fate: Fate) {
    if let Some((logger, left_out)) = shared.log.rate_limited(shared.clock.now(), Topic::Loss) {
        info!(logger, "connection lost with a request"; "request" => loss.request.as_str(),
            "endpoint" => endpoint.registration.id.as_str(), "fate" => fate.as_str(),
            "fingerprint" => format!("{:032x}", loss.fingerprint.get()), "parts" => Metadata::part_ids(&loss.parts),
            "begun" => loss.has_begun, "left_out" => left_out);
    }
}

/// Returns what became of an endpoint: it lives if a connection to it stays open, from this entry or from another one, which may
/// reach it while this one is cut off.
async fn fate(shared: &Shared, endpoint: &Endpoint) -> Fate {
    if relay::is_reached(endpoint.registration.address).await {
        return Fate::Lives;
    }
    match relay::open(shared, endpoint, "", CONFIRM_TIMEOUT).await {
        Ok(tunnel) if relay::stays_open(&tunnel).await => Fate::Lives,
        Err(relay::Error::NoEntry) if shared.reach.is_cut_off(&endpoint.registration.service) => Fate::Unknown,
        Ok(_) => Fate::Unknown,
        Err(relay::Error::Unreached | relay::Error::NoEntry) => Fate::Died,
    }
}
