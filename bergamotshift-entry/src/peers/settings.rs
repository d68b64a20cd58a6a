//! Settings of an entry's membership in the fleet.

use core::fmt;
use core::net::SocketAddr;
use std::sync::Arc;

use bergamotshift_core::vm::Incarnation;

/// Credentials of this entry towards the other entries, as PEM text.
#[derive(Clone, Default)]
pub struct Credentials {
    /// Certificate chain.
    pub chain: Arc<[u8]>,
    /// Private key.
    pub key: Arc<[u8]>,
    /// Certificate of the private authority.
    pub authority: Arc<[u8]>,
}

impl fmt::Debug for Credentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The private key must not appear in logs.
        f.debug_struct("Credentials").finish_non_exhaustive()
    }
}

/// Settings of an entry's membership in the fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address at which other entries reach this one; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Addresses of the entries to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Incarnation of the entry; the start time by default.
    pub incarnation: Option<Incarnation>,
    /// Credentials towards the other entries.
    pub credentials: Credentials,
    /// Settings of the fleet kernel.
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
