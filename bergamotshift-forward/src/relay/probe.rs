//! Finds out when an entry that is cut off reaches endpoints again.

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use futures_util::future::join_all;
use tokio::time::timeout_at;

use super::reach::MIN_STAY;
use crate::endpoint::Endpoint;
use crate::exchange;
use crate::exchange::Connection;
use crate::exchange::Failure;
use crate::view::Shared;

/// Interval of the probes of each service that this entry is cut off from.
const INTERVAL: Duration = Duration::from_millis(250);

/// Timeout for opening a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Opens a connection to one endpoint after the other of each service that this entry is cut off from, until the process
/// ends.
pub async fn probe(shared: Arc<Shared>) {
    for number in 0.. {
        tokio::time::sleep(INTERVAL).await;
        let services = shared.reach.services();
        let probes = services.iter().map(|service| probe_service(&shared, service, number));
        join_all(probes).await;
    }
}

async fn probe_service(shared: &Shared, service: &name::Service, number: usize) {
    let Some(endpoint) = endpoint(shared, service, number) else {
        return;
    };
    let Ok(connection) = Connection::open(endpoint.registration.address, CONNECT_TIMEOUT).await else {
        return;
    };
    let opened = shared.clock.now();
    let path = examine(shared, &endpoint, connection, shared.reach.stay(service)).await;
    let open_for = shared.clock.now().since(opened);
    match path {
        Path::Answers => shared.record_reached(service),
        Path::StaysOpen => shared.record_open(service, open_for),
        Path::Breaks => shared.record_broken(&endpoint, open_for),
    }
}

/// What became of a connection to an endpoint.
enum Path {
    /// The endpoint answered on it.
    Answers,
    /// It stayed open.
    StaysOpen,
    /// It ended.
    Breaks,
}

/// Finds out what becomes of a connection within a time. The endpoint is asked for its health if it can be: one that closes idle
/// connections may do so sooner.
async fn examine(shared: &Shared, endpoint: &Endpoint, mut connection: Connection, stay: Duration) -> Path {
    let view = shared.view.load_full();
    let table = view.table.as_ref();
    if let Some(path) = table.and_then(|table| table.health_path(&endpoint.registration.service)) {
        return match exchange::check_health(&mut connection, &shared.dialect, endpoint, path, stay).await {
            Ok(_) => Path::Answers,
            Err(Failure::Silent) => Path::StaysOpen,
            Err(_) => Path::Breaks,
        };
    }
    if stays_open_for(&connection, stay).await {
        Path::StaysOpen
    } else {
        Path::Breaks
    }
}

/// Returns whether an endpoint accepts a connection from here, and the connection stays open.
pub async fn is_reached(endpoint: SocketAddr) -> bool {
    match Connection::open(endpoint, CONNECT_TIMEOUT).await {
        Ok(connection) => stays_open(&connection).await,
        Err(_) => false,
    }
}

/// Returns whether a new connection to an endpoint stays open.
pub async fn stays_open(connection: &Connection) -> bool {
    stays_open_for(connection, MIN_STAY).await
}

async fn stays_open_for(connection: &Connection, stay: Duration) -> bool {
    let until = tokio::time::Instant::now() + stay;
    while connection.is_reusable() {
        if timeout_at(until, connection.readable()).await.is_err() {
            return connection.is_reusable();
        }
    }
    false
}

/// Returns the endpoint that a probe goes to.
fn endpoint(shared: &Shared, service: &name::Service, number: usize) -> Option<Arc<Endpoint>> {
    let view = shared.view.load();
    let endpoints = view.services.get(service)?.all_endpoints();
    let present: Vec<_> = endpoints.filter(|endpoint| !endpoint.is_leaving()).collect();
    let index = number.checked_rem(present.len())?;
    Some(Arc::clone(present[index]))
}
