//! Identity of an entry towards other entries: its certificate, its key and the private certificate authority.

use std::sync::Arc;

use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::RootCertStore;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::pem::PemObject;
use thiserror::Error;

/// Server name in the certificate of every entry. Entries are addressed by socket address, so all share one name.
pub const SERVER_NAME: &str = "entry.bergamotshift";

/// ALPN protocol that both sides must offer.
const PROTOCOL: &[u8] = b"bergamotshift/1";

/// Reason why an identity cannot be used.
#[derive(Debug)]
#[derive(Error)]
pub enum Error {
    /// A certificate or key is not readable PEM.
    #[error("the {what} cannot be read: {source}")]
    Pem {
        /// Part of the identity that was read.
        what: &'static str,
        /// Cause of the failure.
        source: rustls_pki_types::pem::Error,
    },
    /// A PEM text holds no certificate.
    #[error("the certificate chain is empty")]
    Empty,
    /// The certificate, the key and the authority do not match, or TLS rejects one of them.
    #[error("the certificate cannot be used: {0}")]
    Tls(#[from] rustls::Error),
    /// The authority cannot be used to verify certificates of other entries.
    #[error("the certificate authority cannot be used: {0}")]
    Authority(#[from] rustls::server::VerifierBuilderError),
    /// The TLS provider lacks the cipher suite of QUIC's initial packets.
    #[error("the cipher suite for QUIC's initial packets is missing")]
    Cipher(#[from] quinn::crypto::rustls::NoInitialCipherSuite),
}

/// Certificate chain and private key of an entry, and the authority whose certificates it trusts.
#[derive(Debug)]
pub struct Identity {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    authority: Vec<CertificateDer<'static>>,
}

impl Identity {
    /// Reads an identity from PEM texts.
    ///
    /// # Errors
    ///
    /// Returns an error when a text is not valid PEM or lacks the certificate or key.
    pub fn from_pem(chain: &[u8], key: &[u8], authority: &[u8]) -> Result<Self, Error> {
        let key = PrivateKeyDer::from_pem_slice(key).map_err(|source| Error::Pem {
            what: "private key",
            source,
        })?;
        Ok(Self {
            chain: certificates("certificate", chain)?,
            key,
            authority: certificates("authority", authority)?,
        })
    }

    /// Returns the configuration for connections that other entries open.
    ///
    /// # Errors
    ///
    /// Returns an error when certificate, key and authority do not match.
    pub(crate) fn server(&self) -> Result<QuicServerConfig, Error> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let roots = Arc::new(self.roots()?);
        // Without this check anyone could join the fleet and would receive every address and leaving mark.
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider)).build()?;
        let mut config = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())?;
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        // A resumed session would skip the check of a certificate that has expired since.
        config.send_tls13_tickets = 0;
        config.max_early_data_size = 0;
        Ok(QuicServerConfig::try_from(config)?)
    }

    /// Returns the configuration for connections that this entry opens.
    ///
    /// # Errors
    ///
    /// Returns an error when certificate, key and authority do not match.
    pub(crate) fn client(&self) -> Result<QuicClientConfig, Error> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut config = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_root_certificates(self.roots()?)
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())?;
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        Ok(QuicClientConfig::try_from(config)?)
    }

    fn roots(&self) -> Result<RootCertStore, Error> {
        let mut roots = RootCertStore::empty();
        for certificate in &self.authority {
            roots.add(certificate.clone())?;
        }
        Ok(roots)
    }
}

fn certificates(what: &'static str, text: &[u8]) -> Result<Vec<CertificateDer<'static>>, Error> {
    let parsed: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text).collect();
    let certificates = parsed.map_err(|source| Error::Pem { what, source })?;
    if certificates.is_empty() {
        return Err(Error::Empty);
    }
    Ok(certificates)
}
