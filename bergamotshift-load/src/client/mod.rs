//! The HTTP client library, set up for loopback addresses in clear text.

use ntex::client::Client;
use ntex::client::Connector;

/// Connections of one thread; far above any bound on requests in flight.
///
/// Zero, the library's word for no limit, would never wake a request that waits for another's connection attempt.
const MAX_CONNECTIONS: usize = 1_000_000;

/// Makes the client of one thread.
///
/// # Panics
///
/// Never: a clear-text connector is made of constants.
pub(crate) async fn build() -> Client {
    // The library prepares for TLS even where none is used, and panics without a provider. One that is set already
    // serves as well.
    drop(rustls::crypto::ring::default_provider().install_default());
    Client::builder()
        .connector::<()>(Connector::new().limit(MAX_CONNECTIONS))
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .build(ntex::SharedCfg::default())
        .await
        .expect("the connector is made of constants")
}
