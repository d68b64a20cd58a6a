//! Server certificate presented to callers, which is replaced while the entry runs.

use core::fmt;
use std::sync::Arc;

use arc_swap::ArcSwap;
use rustls::ServerConfig;
use rustls::crypto::CryptoProvider;
use rustls::crypto::ring;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;
use rustls::server::ClientHello;
use rustls::server::ResolvesServerCert;
use rustls::sign::CertifiedKey;
use xxhash_rust::xxh3::xxh3_128;

use super::ALPN_PROTOCOL;
use super::Error;
use super::Settings;

/// Outcome of reading the certificate and the key again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Certificate and key are unchanged.
    Same,
    /// A different certificate or key replaced the pair in use.
    Replaced,
}

/// Server certificate with its private key, replaceable without a restart.
///
/// Certificate and key are replaced on disk one file after the other, and either may be broken, so callers could be
/// presented a certificate that does not match its key, or none. A new pair is used for later handshakes only if both
/// parse and match; otherwise the previous pair stays in use.
pub struct Certificate {
    settings: Settings,
    provider: Arc<CryptoProvider>,
    current: ArcSwap<Pair>,
}

/// Certificate chain and private key.
struct Pair {
    key: Arc<CertifiedKey>,
    /// Hashes of the PEM texts of the certificate and of the key.
    digest: (u128, u128),
}

impl Certificate {
    /// Reads the certificate and the key.
    ///
    /// # Errors
    ///
    /// Returns an error if the certificate or the key cannot be read or used, or if they do not match.
    pub fn load(settings: Settings) -> Result<Arc<Self>, Error> {
        let provider = Arc::new(ring::default_provider());
        let pair = read_pair(&settings, &provider, None)?.ok_or(Error::Key)?;
        Ok(Arc::new(Self {
            settings,
            provider,
            current: ArcSwap::from_pointee(pair),
        }))
    }

    /// Returns the settings that the certificate was loaded with.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Reads the certificate and the key again, and replaces the pair in use if either changed.
    ///
    /// # Errors
    ///
    /// Returns an error if the new pair cannot be read or used; the previous pair stays in use.
    pub fn reread(&self) -> Result<Change, Error> {
        let digest = self.current.load().digest;
        match read_pair(&self.settings, &self.provider, Some(digest))? {
            None => Ok(Change::Same),
            Some(pair) => {
                self.current.store(Arc::new(pair));
                Ok(Change::Replaced)
            }
        }
    }

    /// Returns the TLS configuration of a server that presents this certificate.
    ///
    /// # Errors
    ///
    /// Returns an error if the cryptography provider supports none of the default protocol versions.
    pub fn server(self: &Arc<Self>) -> Result<ServerConfig, Error> {
        let resolver: Arc<dyn ResolvesServerCert> = Arc::<Self>::clone(self);
        let mut config = ServerConfig::builder_with_provider(Arc::clone(&self.provider))
            .with_safe_default_protocol_versions()?
            .with_no_client_auth()
            .with_cert_resolver(resolver);
        config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        Ok(config)
    }
}

impl ResolvesServerCert for Certificate {
    fn resolve(&self, _hello: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(Arc::clone(&self.current.load().key))
    }
}

impl fmt::Debug for Certificate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Certificate")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

/// Reads and parses a pair; returns `None` if its texts hash to `current`.
fn read_pair(
    settings: &Settings,
    provider: &CryptoProvider,
    current: Option<(u128, u128)>,
) -> Result<Option<Pair>, Error> {
    let chain = settings.certificate.read()?;
    let key = settings.key.read()?;
    let digest = (xxh3_128(&chain), xxh3_128(&key));
    if current == Some(digest) {
        return Ok(None);
    }
    let chain = parse_certificates("certificate", &chain)?;
    // The parser's errors quote the PEM text, and a private key must not reach a log.
    let key = PrivateKeyDer::from_pem_slice(&key).map_err(|_quotes_text| Error::Key)?;
    let key = Arc::new(CertifiedKey::from_der(chain, key, provider)?);
    Ok(Some(Pair { key, digest }))
}

/// Parses the certificates of a PEM text.
///
/// # Errors
///
/// Returns an error that names `subject` if the text holds no certificate or one that cannot be parsed.
pub(super) fn parse_certificates(subject: &'static str, text: &[u8]) -> Result<Vec<CertificateDer<'static>>, Error> {
    let parsed: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text).collect();
    let certificates = parsed.map_err(|_quotes_text| Error::Certificate(subject))?;
    if certificates.is_empty() {
        return Err(Error::Certificate(subject));
    }
    Ok(certificates)
}
