//! Finds out when an entry that is cut off reaches endpoints again.

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use futures_util::future::join_all;

use crate::endpoint::Endpoint;
use crate::exchange::Connection;
use crate::view::Shared;

/// Interval of the probes of each service that this entry is cut off from.
const INTERVAL: Duration = Duration::from_millis(250);

/// Timeout for opening a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a connection has to stay open to count: something on the path may accept it and reset it at once.
const STAY: Duration = Duration::from_millis(100);

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
    if is_reached(endpoint.registration.address).await {
        shared.record_reached(service);
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
    tokio::time::sleep(STAY).await;
    connection.is_reusable()
}

/// Returns the endpoint that a probe goes to.
fn endpoint(shared: &Shared, service: &name::Service, number: usize) -> Option<Arc<Endpoint>> {
    let view = shared.view.load();
    let endpoints = view.services.get(service)?.all_endpoints();
    let present: Vec<_> = endpoints.filter(|endpoint| !endpoint.is_leaving()).collect();
    let index = number.checked_rem(present.len())?;
    Some(Arc::clone(present[index]))
}
