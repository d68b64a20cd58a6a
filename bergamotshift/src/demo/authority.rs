//! The private authority of the demo's entries, which lives in memory and ends with the demo.

use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::CertifiedIssuer;
use rcgen::Error;
use rcgen::IsCa;
use rcgen::KeyPair;

use crate::entry::peers::Credentials;
use crate::link::identity::SERVER_NAME;

/// A private authority.
///
/// ```
/// use bergamotshift::demo::authority::Authority;
/// use bergamotshift::link::identity::Identity;
///
/// let issued = Authority::new()?.issue()?;
/// assert!(Identity::from_pem(&issued.chain, &issued.key, &issued.authority).is_ok());
/// # Ok::<(), rcgen::Error>(())
/// ```
#[derive(Debug)]
pub struct Authority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl Authority {
    /// Makes an authority with a key of its own.
    ///
    /// # Errors
    ///
    /// Returns why the key or the certificate can't be made.
    pub fn new() -> Result<Self, Error> {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        Ok(Self {
            issuer: CertifiedIssuer::self_signed(params, KeyPair::generate()?)?,
        })
    }

    /// Issues an entry's certificate.
    ///
    /// # Errors
    ///
    /// Returns why the key or the certificate can't be made.
    pub fn issue(&self) -> Result<Credentials, Error> {
        let key = KeyPair::generate()?;
        let params = CertificateParams::new([SERVER_NAME.to_owned()])?;
        let certificate = params.signed_by(&key, &self.issuer)?;
        Ok(Credentials {
            chain: certificate.pem().into_bytes().into(),
            key: key.serialize_pem().into_bytes().into(),
            authority: self.issuer.pem().into_bytes().into(),
        })
    }
}
