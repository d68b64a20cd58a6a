//! Answers without a length or chunks, which end with their connection.

use core::time::Duration;

use ntex::http::HeaderMap;
use slog::info;
use tokio::time::timeout;

use super::Forwarder;
use super::job::Job;
use crate::endpoint::Endpoint;
use crate::exchange::Connection;
use crate::exchange::Failure;
use crate::observe::Topic;
use crate::relay;

/// Time within which an endpoint that lives accepts or refuses a connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

impl Forwarder {
    /// Checks that an answer without framing did not end because its endpoint did: the end of the connection looks the
    /// same. An endpoint that gives no sign may live, and one that leaves may have ended in order.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Broken`] when the endpoint accepts no connection any more.
    pub(super) async fn check_end(&self, job: &Job, endpoint: &Endpoint, ended: &Connection) -> Result<(), Failure> {
        if endpoint.is_leaving() {
            return Ok(());
        }
        let address = endpoint.registration.address;
        let opened = if ended.is_tunnel() {
            match relay::open(&self.shared, endpoint, &job.metadata.id, CHECK_TIMEOUT).await {
                Ok(connection) => Some(connection),
                Err(relay::Error::NoEntry) => None,
                Err(relay::Error::Unreached) => return Err(self.ended_with_endpoint(job, endpoint)),
            }
        } else {
            self.shared.metrics.connections.inc();
            match timeout(CHECK_TIMEOUT, Connection::open(address, CHECK_TIMEOUT * 2)).await {
                Ok(Ok(connection)) => Some(connection),
                Ok(Err(_refused)) => return Err(self.ended_with_endpoint(job, endpoint)),
                Err(_silent) => None,
            }
        };
        // It serves the next request in place of the one that ended.
        if let Some(connection) = opened {
            self.keep_connection(endpoint, connection, &HeaderMap::new());
        }
        Ok(())
    }

    /// Logs and returns the failure of an answer whose endpoint ended with it.
    fn ended_with_endpoint(&self, job: &Job, endpoint: &Endpoint) -> Failure {
        if let Some((logger, left_out)) = self.shared.log.rate_limited(self.shared.clock.now(), Topic::Attempt) {
            info!(logger, "answer ended with its endpoint"; "request" => job.metadata.id.as_str(),
                "endpoint" => endpoint.registration.id.as_str(), "left_out" => left_out);
        }
        Failure::Broken("it has no length and ended with the endpoint".to_owned())
    }
}
