//! TLS towards callers and endpoints.
//!
//! Callers meet a [`Certificate`], which is read again while the entry runs and replaced without cutting a connection.
//! Endpoints prove themselves against the roots that [`client`] takes.

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

/// The only protocol that is spoken over TLS.
const PROTOCOL: &[u8] = b"http/1.1";

/// What the entry proves itself with towards callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The certificate, followed by those that lead to the authority.
    pub certificate: Source,
    /// The private key.
    pub key: Source,
    /// The time between two readings of both.
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

/// Why certificates or keys cannot be used; no text of a key stands in it.
#[derive(Debug)]
#[derive(ThisError)]
#[non_exhaustive]
pub enum Error {
    /// A file cannot be read.
    #[error("cannot read {path}: {source}", path = path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
    /// There is no certificate, or one that is no PEM.
    #[error("the {0} holds no PEM certificate that can be read")]
    Certificate(&'static str),
    /// There is no private key.
    #[error("the key holds no PEM private key that can be read")]
    Key,
    /// The certificates, or the key with them, cannot be used.
    #[error("the certificate or the key cannot be used: {0}")]
    Use(#[from] rustls::Error),
}
