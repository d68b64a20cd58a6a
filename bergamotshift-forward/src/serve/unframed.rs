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
    pub(super) async fn check_end(
        &self,
        job: &Job,
        endpoint: &Endpoint,
        ended: &Connection,
        last_event: Option<u64>,
    ) -> Result<(), Failure> {
        let began = self.shared.clock.now();
        let checked = self.check_endpoint(job, endpoint, ended).await;
        let now = self.shared.clock.now();
        if let Some((logger, left_out)) = self.shared.log.rate_limited(now, Topic::End) {
            let (outcome, is_believed) = checked;
            info!(logger, "answer without framing ended"; "request" => job.metadata.id.as_str(),
                "endpoint" => endpoint.registration.id.as_str(), "leaving" => endpoint.is_leaving(),
                "tunnel" => ended.is_tunnel(), "check" => outcome, "complete" => is_believed,
                "last_event" => last_event, "ms" => now.since(began).as_millis() as u64, "left_out" => left_out);
        }
        match checked {
            (_, true) => Ok(()),
            (_, false) => Err(self.ended_with_endpoint(job, endpoint)),
        }
    }

    /// Opens a connection to the endpoint of an answer that ended; returns the outcome and whether the answer counts as
    /// complete.
    async fn check_endpoint(&self, job: &Job, endpoint: &Endpoint, ended: &Connection) -> (&'static str, bool) {
        if endpoint.is_leaving() {
            return ("none", true);
        }
        let address = endpoint.registration.address;
        let opened = if ended.is_tunnel() {
            match relay::open(&self.shared, endpoint, &job.metadata.id, CHECK_TIMEOUT).await {
                Ok(connection) => connection,
                Err(relay::Error::NoEntry) => return ("no_entry", true),
                Err(relay::Error::Unreached) => return ("refused", false),
            }
        } else {
            self.shared.metrics.connections.inc();
            match timeout(CHECK_TIMEOUT, Connection::open(address, CHECK_TIMEOUT * 2)).await {
                Ok(Ok(connection)) => connection,
                Ok(Err(_refused)) => return ("refused", false),
                Err(_silent) => return ("silent", true),
            }
        };
        // It serves the next request in place of the one that ended.
        self.keep_connection(endpoint, opened, &HeaderMap::new());
        ("accepted", true)
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
