//! Health checks of endpoints.

use core::time::Duration;

use bytes::Bytes;
use ntex::http::Method;
use tokio::time::timeout;

use super::connection::Connection;
use super::failure::Failure;
use super::head::Head;
use super::head::encode_head;
use crate::dialect::Dialect;
use crate::endpoint::Endpoint;

/// Sends a health check to an endpoint at a path, and returns the head of the complete response. A health check waits for a slot
/// like other requests.
///
/// # Errors
///
/// Returns [`Failure::Silent`] when no response is complete within `time`, or another failure of the exchange.
pub async fn check_health(
    connection: &mut Connection,
    dialect: &Dialect,
    endpoint: &Endpoint,
    path: &str,
    time: Duration,
) -> Result<Head, Failure> {
    let headers = dialect.health_check(endpoint, time);
    let request = encode_head(&Method::GET, path, &headers, 0);
    let exchange = async {
        let head = connection
            .send([request.into(), Bytes::new()], &Method::GET, |_| true)
            .await?;
        let mut framing = head.framing;
        while connection.body(&mut framing).await?.is_some() {}
        Ok(head)
    };
    timeout(time, exchange).await.unwrap_or(Err(Failure::Silent))
}
