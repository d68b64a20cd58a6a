//! Settings of trace export.

use core::net::IpAddr;
use core::net::Ipv4Addr;
use core::net::SocketAddr;
use core::time::Duration;

/// Settings of trace export.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Address of the collector, which receives OTLP over HTTP.
    pub address: SocketAddr,
    /// Fraction of traces that are sampled, from 0 to 1; the sampling decision of a caller takes precedence.
    pub ratio: f64,
    /// Timeout for sending one batch to the collector.
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
