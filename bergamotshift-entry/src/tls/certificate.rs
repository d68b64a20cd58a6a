//! The certificate that callers meet, and its replacement while the entry runs.

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

use super::Error;
use super::PROTOCOL;
use super::Settings;

/// What a reading brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The pair is the one in use.
    Same,
    /// Another pair is in use from now on.
    Taken,
}

/// A certificate with its key, replaced in place.
///
/// Failure: a certificate is replaced file by file, or by a broken one. Symptom: callers meet a certificate that does
/// not fit its key, or none. Only a pair that fits is taken, for handshakes from then on; else the one before stays.
pub struct Certificate {
    settings: Settings,
    provider: Arc<CryptoProvider>,
    current: ArcSwap<Pair>,
}

struct Pair {
    key: Arc<CertifiedKey>,
    digest: (u128, u128),
}

impl Certificate {
    /// Reads the pair for the first time.
    ///
    /// # Errors
    ///
    /// Returns why the pair cannot be used.
    pub fn load(settings: Settings) -> Result<Arc<Self>, Error> {
        let provider = Arc::new(ring::default_provider());
        let pair = pair(&settings, &provider, None)?.ok_or(Error::Key)?;
        Ok(Arc::new(Self {
            settings,
            provider,
            current: ArcSwap::from_pointee(pair),
        }))
    }

    /// Returns what the pair is read from.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Reads the pair again and takes it when it is another one that can be used.
    ///
    /// # Errors
    ///
    /// Returns why the pair cannot be used; the one before stays in use.
    pub fn reread(&self) -> Result<Change, Error> {
        let digest = self.current.load().digest;
        match pair(&self.settings, &self.provider, Some(digest))? {
            None => Ok(Change::Same),
            Some(pair) => {
                self.current.store(Arc::new(pair));
                Ok(Change::Taken)
            }
        }
    }

    /// Returns the settings of a server that shows this certificate.
    ///
    /// # Errors
    ///
    /// Returns an error when the library offers no protocol version.
    pub fn server(self: &Arc<Self>) -> Result<ServerConfig, Error> {
        let resolver: Arc<dyn ResolvesServerCert> = Arc::<Self>::clone(self);
        let mut config = ServerConfig::builder_with_provider(Arc::clone(&self.provider))
            .with_safe_default_protocol_versions()?
            .with_no_client_auth()
            .with_cert_resolver(resolver);
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
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

/// Reads a pair; returns nothing when it is the known one.
fn pair(settings: &Settings, provider: &CryptoProvider, known: Option<(u128, u128)>) -> Result<Option<Pair>, Error> {
    let chain = settings.certificate.read()?;
    let key = settings.key.read()?;
    let digest = (xxh3_128(&chain), xxh3_128(&key));
    if known == Some(digest) {
        return Ok(None);
    }
    let chain = certificates("certificate", &chain)?;
    // The library's errors quote the text, and a key must not reach a log.
    let key = PrivateKeyDer::from_pem_slice(&key).map_err(|_quoting| Error::Key)?;
    let key = Arc::new(CertifiedKey::from_der(chain, key, provider)?);
    Ok(Some(Pair { key, digest }))
}

/// Reads the certificates of a PEM text, of which there must be one at least.
pub(super) fn certificates(what: &'static str, text: &[u8]) -> Result<Vec<CertificateDer<'static>>, Error> {
    let read: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text).collect();
    let read = read.map_err(|_quoting| Error::Certificate(what))?;
    if read.is_empty() {
        return Err(Error::Certificate(what));
    }
    Ok(read)
}
