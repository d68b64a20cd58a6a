//! Settings of an entry's part in the fleet.

use core::fmt;
use core::net::SocketAddr;
use std::sync::Arc;

use bergamotshift_core::vm::Incarnation;

/// Who this entry is to the others, as PEM texts.
#[derive(Clone, Default)]
pub struct Credentials {
    /// The certificate chain.
    pub chain: Arc<[u8]>,
    /// The private key.
    pub key: Arc<[u8]>,
    /// The private authority.
    pub authority: Arc<[u8]>,
}

impl fmt::Debug for Credentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // A key in a log is a key lost.
        f.debug_struct("Credentials").finish_non_exhaustive()
    }
}

/// How an entry takes part in the fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where other entries reach this one; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Entries that are asked first.
    pub seeds: Vec<SocketAddr>,
    /// Which life of the entry's name this is; missing, the time of its start counts.
    pub incarnation: Option<Incarnation>,
    /// Who this entry is to the others.
    pub credentials: Credentials,
    /// How the fleet kernel behaves.
    pub fleet: bergamotshift_fleet::settings::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: ([127, 0, 0, 1], 0).into(),
            seeds: Vec::new(),
            incarnation: None,
            credentials: Credentials::default(),
            fleet: bergamotshift_fleet::settings::Settings::default(),
        }
    }
}
