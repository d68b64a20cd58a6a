//! Who an entry is to the others: its certificate, its key and the private authority.

use std::sync::Arc;

use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::RootCertStore;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::pem::PemObject;
use thiserror::Error;

/// The name that every entry's certificate carries; entries are addressed by number, so the name says only what they are.
pub const SERVER_NAME: &str = "entry.bergamotshift";

/// The protocol that both sides must speak.
const PROTOCOL: &[u8] = b"bergamotshift/1";

/// Why an identity cannot be used.
#[derive(Debug)]
#[derive(Error)]
pub enum Error {
    /// A certificate or key is not readable PEM.
    #[error("the {what} cannot be read: {source}")]
    Pem {
        /// Which of them.
        what: &'static str,
        /// Why.
        source: rustls_pki_types::pem::Error,
    },
    /// The chain is empty.
    #[error("the certificate chain is empty")]
    Empty,
    /// The certificate, the key and the authority do not fit together.
    #[error("the certificate cannot be used: {0}")]
    Tls(#[from] rustls::Error),
    /// The authority cannot be used to check others.
    #[error("the authority cannot be used: {0}")]
    Authority(#[from] rustls::server::VerifierBuilderError),
    /// The cipher that QUIC starts with is missing.
    #[error("QUIC's first cipher suite is missing")]
    Cipher(#[from] quinn::crypto::rustls::NoInitialCipherSuite),
}

/// An entry's certificate chain, its private key, and the authority whose certificates it trusts.
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
    /// Returns an error when a text holds no certificate or key.
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

    /// Returns how this entry answers others.
    ///
    /// # Errors
    ///
    /// Returns an error when the parts do not fit together.
    pub(crate) fn server(&self) -> Result<QuicServerConfig, Error> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let roots = Arc::new(self.roots()?);
        // Without a certificate of the authority a stranger could join, and would be told every address and mark.
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider)).build()?;
        let mut config = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())?;
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        // A resumed session would skip the check of a certificate that has run out meanwhile.
        config.send_tls13_tickets = 0;
        config.max_early_data_size = 0;
        Ok(QuicServerConfig::try_from(config)?)
    }

    /// Returns how this entry calls others.
    ///
    /// # Errors
    ///
    /// Returns an error when the parts do not fit together.
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
    let read: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text).collect();
    let certificates = read.map_err(|source| Error::Pem { what, source })?;
    if certificates.is_empty() {
        return Err(Error::Empty);
    }
    Ok(certificates)
}
