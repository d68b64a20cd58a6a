//! TLS between callers and the entry, and between the entry and endpoints.
//!
//! The entry presents a [`Certificate`] to callers, which is read again while the entry runs and replaced without
//! closing connections. Endpoints are authenticated against the root certificates passed to [`client`].

mod certificate;
mod follow;
mod roots;
mod source;

use core::time::Duration;
use std::io;
use std::path::PathBuf;

use thiserror::Error as ThisError;

pub use self::certificate::Certificate;
pub use self::certificate::Change;
pub use self::follow::follow;
pub use self::roots::client;
pub use self::source::Source;

/// ALPN name of HTTP/1.1, the only protocol offered over TLS.
const ALPN_PROTOCOL: &[u8] = b"http/1.1";

/// Settings of the server certificate that the entry presents to callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Certificate chain: the entry's own certificate, followed by those that lead to the authority.
    pub certificate: Source,
    /// Private key of the certificate.
    pub key: Source,
    /// Interval at which certificate and key are read again.
    pub reread: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            certificate: Source::Text("".into()),
            key: Source::Text("".into()),
            reread: Duration::from_secs(10),
        }
    }
}

/// Error of reading or using certificates and keys. Its message never contains key text.
#[derive(Debug)]
#[derive(ThisError)]
#[non_exhaustive]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}", path = path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The text holds no PEM certificate, or one that cannot be parsed.
    #[error("the {0} holds no PEM certificate that can be read")]
    Certificate(&'static str),
    /// The text holds no PEM private key that can be parsed.
    #[error("the key holds no PEM private key that can be read")]
    Key,
    /// The TLS library rejected the certificates or the key.
    #[error("the certificate or the key cannot be used: {0}")]
    Use(#[from] rustls::Error),
}
