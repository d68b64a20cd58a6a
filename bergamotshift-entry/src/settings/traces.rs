//! Where traces go, and how many of them.

use core::net::IpAddr;
use core::net::Ipv4Addr;
use core::net::SocketAddr;
use core::time::Duration;

/// Where traces go, and how many of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The collector, which takes OTLP over HTTP.
    pub address: SocketAddr,
    /// The share of traces kept, from 0 to 1, among those that begin here; a caller's own choice goes first.
    pub ratio: f64,
    /// How long the collector may take over one batch.
    pub timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        const PORT: u16 = 4318;
        Self {
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), PORT),
            ratio: 1.0,
            timeout: Duration::from_secs(2),
        }
    }
}
