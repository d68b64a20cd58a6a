//! Client configuration with the root certificates that endpoints are authenticated against.

use std::sync::Arc;

use rustls::ClientConfig;
use rustls::RootCertStore;
use rustls::crypto::ring;

use super::ALPN_PROTOCOL;
use super::Error;
use super::Source;
use super::certificate::parse_certificates;

/// Returns the TLS configuration of a client that trusts only the given root certificates.
///
/// # Errors
///
/// Returns an error if the root certificates cannot be read or used.
pub fn client(roots: &Source) -> Result<Arc<ClientConfig>, Error> {
    let mut store = RootCertStore::empty();
    for root in parse_certificates("list of roots", &roots.read()?)? {
        store.add(root)?;
    }
    let mut config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()?
        .with_root_certificates(store)
        .with_no_client_auth();
    config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    Ok(Arc::new(config))
}
