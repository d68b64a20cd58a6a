//! Opens connections to endpoints through another entry.

use core::sync::atomic::Ordering;
use core::time::Duration;
use std::sync::Arc;

use bytes::Bytes;
use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::StatusCode;
use ntex::http::header;
use ntex::http::header::HeaderValue;
use slog::info;
use thiserror::Error as ThisError;
use tokio::time::timeout;

use super::Candidate;
use crate::endpoint::Endpoint;
use crate::exchange;
use crate::exchange::Connection;
use crate::exchange::Failure;
use crate::observe::Topic;
use crate::view::Shared;

/// Time within which another entry opens a tunnel: a connection to the entry, and one from there to the endpoint.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for opening the connection to the other entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of entries that are asked for one tunnel.
const MAX_ENTRIES: usize = 3;

/// Error of opening a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(ThisError)]
pub enum Error {
    /// Another entry does not reach the endpoint either, or does not know it.
    #[error("another entry does not reach the endpoint either")]
    Unreached,
    /// No other entry opens tunnels.
    #[error("no other entry opens a connection to the endpoint")]
    NoEntry,
}

/// Opens a connection to an endpoint through the entry with the fewest tunnels of this one. `request` is the identifier of
/// the request that needs it, for the logs.
///
/// # Errors
///
/// Returns an error when the endpoint is not reached that way. No byte was sent to it then.
pub async fn open(
    shared: &Shared,
    endpoint: &Endpoint,
    request: &str,
    time_left: Duration,
) -> Result<Connection, Error> {
    let deadline = shared.clock.now() + time_left.min(OPEN_TIMEOUT);
    for _ in 0..MAX_ENTRIES {
        let now = shared.clock.now();
        let Some(candidate) = shared.relays.least_loaded(now).filter(|_| now < deadline) else {
            return Err(Error::NoEntry);
        };
        let opening = ask(&candidate, endpoint, request);
        let opened = timeout(deadline.since(now), opening)
            .await
            .unwrap_or(Err(Failure::Silent));
        let outcome = match &opened {
            Ok((StatusCode::OK, _)) => "opened",
            Ok((StatusCode::BAD_GATEWAY | StatusCode::NOT_FOUND, _)) => "unreached",
            Ok(_) => "refused",
            Err(_) => "failed",
        };
        let ended = shared.clock.now();
        shared.metrics.relay_latency.observe(ended.since(now).as_secs_f64());
        shared.metrics.count_tunnel(outcome);
        if let Some((logger, left_out)) = shared.log.rate_limited(ended, Topic::Relay) {
            info!(logger, "tunnel"; "outcome" => outcome, "request" => request, "through" => candidate.entry.as_str(),
                "endpoint" => endpoint.registration.id.as_str(), "open" => candidate.open.load(Ordering::Relaxed),
                "ms" => ended.since(now).as_millis() as u64,
                "cause" => opened.as_ref().err().map(ToString::to_string), "left_out" => left_out);
        }
        match (outcome, opened) {
            ("opened", Ok((_, connection))) => return Ok(connection.through(&candidate.open)),
            ("unreached", _) => return Err(Error::Unreached),
            _ => candidate.back_off(ended),
        }
    }
    Err(Error::NoEntry)
}

/// Asks an entry for a tunnel, and returns the status of its answer and the connection.
async fn ask(
    candidate: &Arc<Candidate>,
    endpoint: &Endpoint,
    request: &str,
) -> Result<(StatusCode, Connection), Failure> {
    let mut connection = Connection::open(candidate.address, CONNECT_TIMEOUT).await?;
    let mut headers = HeaderMap::new();
    if let Ok(host) = HeaderValue::from_str(&candidate.address.to_string()) {
        headers.insert(header::HOST, host);
    }
    if let Ok(id) = HeaderValue::from_str(request) {
        headers.insert(super::serve::REQUEST, id);
    }
    let path = format!("/{:016x}", endpoint.hash);
    let question = exchange::encode(&Method::CONNECT, &path, &headers, &[]);
    let head = connection
        .send([question.into(), Bytes::new()], &Method::POST, |_| true)
        .await?;
    Ok((head.status, connection))
}
