//! Private certificate authority and nodes on the loopback interface.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use bergamotshift_link::identity::Identity;
use bergamotshift_link::identity::SERVER_NAME;
use bergamotshift_link::node::Incoming;
use bergamotshift_link::node::Node;
use bergamotshift_link::node::Settings;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::CertifiedIssuer;
use rcgen::IsCa;
use rcgen::KeyPair;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::sync::mpsc;

/// Private certificate authority.
pub struct Authority(CertifiedIssuer<'static, KeyPair>);

impl Authority {
    pub fn new() -> Self {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap());
        Self(issuer.unwrap())
    }

    /// Issues an entry's identity that trusts the authority `trusted`.
    pub fn issue(&self, trusted: &Self) -> Identity {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new([SERVER_NAME.to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &self.0).unwrap();
        let authority = trusted.0.pem();
        Identity::from_pem(
            certificate.pem().as_bytes(),
            key.serialize_pem().as_bytes(),
            authority.as_bytes(),
        )
        .unwrap()
    }
}

/// Opens a node on a free port.
pub fn bind(identity: &Identity) -> (Node, mpsc::Receiver<Incoming>) {
    let settings = Settings {
        listen: ([127, 0, 0, 1], 0).into(),
        ..Settings::default()
    };
    Node::bind(&settings, identity, Logger::root(Discard, o!())).unwrap()
}
