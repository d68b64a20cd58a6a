//! The authorities that endpoints' certificates have to come from.

use std::sync::Arc;

use rustls::ClientConfig;
use rustls::RootCertStore;
use rustls::crypto::ring;

use super::Error;
use super::PROTOCOL;
use super::Source;
use super::certificate::certificates;

/// Makes the settings of a client that trusts these authorities and no others.
///
/// # Errors
///
/// Returns why the authorities' certificates cannot be used.
pub fn client(roots: &Source) -> Result<Arc<ClientConfig>, Error> {
    let mut store = RootCertStore::empty();
    for root in certificates("list of roots", &roots.read()?)? {
        store.add(root)?;
    }
    let mut config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()?
        .with_root_certificates(store)
        .with_no_client_auth();
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    Ok(Arc::new(config))
}
