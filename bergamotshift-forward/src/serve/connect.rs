//! Opens the connections that requests are sent on, directly or through another entry.

use core::time::Duration;

use ntex::http::HeaderMap;

use super::Forwarder;
use super::attempt::Error;
use super::job::Job;
use super::send::Sent;
use crate::endpoint::Endpoint;
use crate::exchange::Connection;
use crate::exchange::Failure;
use crate::relay;

/// Timeout for opening a connection: ten times the round trip between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

impl Forwarder {
    /// Returns a connection to an endpoint, directly unless this entry is cut off from the endpoint's service.
    pub(super) async fn connect(&self, job: &Job, endpoint: &Endpoint) -> Result<Connection, Error> {
        let service = &endpoint.registration.service;
        if !self.shared.reach.is_cut_off(service) {
            match self.connect_directly(job, endpoint).await {
                Some(connection) => return Ok(connection),
                None if !self.shared.record_unreached(endpoint) => return Err(Error::Unreachable),
                None => {}
            }
        }
        let now = self.shared.clock.now();
        let idle = self.tunnels.borrow_mut().take(now, endpoint.registration.address);
        if let Some(connection) = idle {
            return Ok(connection);
        }
        let time_left = job.deadline.since(now);
        let opened = relay::open(&self.shared, endpoint, &job.metadata.id, time_left).await;
        opened.map_err(|error| match error {
            relay::Error::Unreached => Error::Unreachable,
            relay::Error::NoEntry => Error::NoPath,
        })
    }

    /// Returns a kept connection to an endpoint, or opens one.
    async fn connect_directly(&self, job: &Job, endpoint: &Endpoint) -> Option<Connection> {
        let now = self.shared.clock.now();
        let address = endpoint.registration.address;
        let idle = self.pool.borrow_mut().take(now, address);
        if idle.is_some() {
            return idle;
        }
        self.shared.metrics.connections.inc();
        let connect_timeout = CONNECT_TIMEOUT.min(job.deadline.since(now));
        Connection::open(address, connect_timeout).await.ok()
    }

    /// Records what the first exchange on a new connection shows of this entry's path to the endpoint; `failure` is that of
    /// the exchange. An endpoint that has sent nothing yet may be busy.
    pub(super) fn record_path(&self, sent: &Sent, failure: Option<&Failure>) {
        let endpoint = &sent.choice.endpoint;
        if sent.connection.bytes_received() > 0 {
            self.shared.record_reached(&endpoint.registration.service);
        } else if let Some(Failure::Broken(_)) = failure {
            let open_for = self.shared.clock.now().since(sent.estimate.sent);
            self.shared.record_broken(endpoint, open_for);
        }
    }

    /// Keeps a connection to an endpoint for further requests; `headers` are those of the last response.
    pub(super) fn keep_connection(&self, endpoint: &Endpoint, connection: Connection, headers: &HeaderMap) {
        let pool = if connection.is_tunnel() {
            &self.tunnels
        } else {
            &self.pool
        };
        let now = self.shared.clock.now();
        pool.borrow_mut()
            .put(now, endpoint.registration.address, connection, headers);
    }
}
