//! Certificates for tests, and who trusts them.

use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use bergamotshift_entry::tls::Source;
use rcgen::CertificateParams;
use rcgen::KeyPair;
use rustls::ClientConnection;
use rustls::StreamOwned;
use rustls::pki_types::ServerName;

/// A self-signed certificate for loopback, with its key, as PEM text.
#[derive(Debug)]
pub struct Pair {
    pub certificate: String,
    pub key: String,
}

impl Pair {
    pub fn new() -> Self {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(["127.0.0.1".to_owned()]).unwrap();
        Self {
            certificate: params.self_signed(&key).unwrap().pem(),
            key: key.serialize_pem(),
        }
    }
}

/// Returns the text as a setting takes it.
pub fn source(text: &str) -> Source {
    text.parse().unwrap()
}

/// Connects over TLS to a server that must show a certificate of `trusted`.
pub fn connect(address: core::net::SocketAddr, trusted: &Pair) -> Result<Connection, rustls::Error> {
    let config = bergamotshift_entry::tls::client(&source(&trusted.certificate)).unwrap();
    let name = ServerName::IpAddress(address.ip().into());
    let mut connection = ClientConnection::new(Arc::clone(&config), name)?;
    let mut socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    while connection.is_handshaking() {
        if let Err(error) = connection.complete_io(&mut socket) {
            let cause = error.get_ref().and_then(|cause| cause.downcast_ref::<rustls::Error>());
            return Err(cause.cloned().unwrap_or(rustls::Error::General(error.to_string())));
        }
    }
    Ok(StreamOwned::new(connection, socket))
}

/// A caller's connection over TLS.
pub type Connection = StreamOwned<ClientConnection, TcpStream>;
