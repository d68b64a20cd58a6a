//! QUIC configuration of a node.

use std::sync::Arc;

use quinn::ClientConfig;
use quinn::Endpoint;
use quinn::IdleTimeout;
use quinn::ServerConfig;
use quinn::TransportConfig;
use quinn::VarInt;

use super::Error;
use super::Settings;
use crate::identity::Identity;

/// Error code with which a leaving entry closes its connections.
pub(super) const CLOSED: VarInt = VarInt::from_u32(0);

/// Opens one socket for both directions, because peers know an entry by a single address.
pub(super) fn bind(settings: &Settings, identity: &Identity) -> Result<(Endpoint, ClientConfig), Error> {
    let (server, client) = configs(settings, identity)?;
    Ok((Endpoint::server(server, settings.listen)?, client))
}

/// Creates the configurations for accepting and for opening connections.
pub(super) fn configs(settings: &Settings, identity: &Identity) -> Result<(ServerConfig, ClientConfig), Error> {
    let transport = Arc::new(transport(settings));
    let mut server = ServerConfig::with_crypto(Arc::new(identity.server()?));
    server.transport_config(Arc::clone(&transport));
    let mut client = ClientConfig::new(Arc::new(identity.client()?));
    client.transport_config(transport);
    Ok((server, client))
}

fn transport(settings: &Settings) -> TransportConfig {
    /// Maximum number of streams of each kind that a peer may have open at once.
    const MAX_STREAMS: u32 = 64;
    /// Size of the QUIC datagram buffers in bytes. When one is full, the oldest frames are dropped.
    const DATAGRAM_BUFFER_BYTES: usize = 256 * 1_024;
    let mut transport = TransportConfig::default();
    let idle = IdleTimeout::try_from(settings.idle_timeout).unwrap_or_else(|_| VarInt::MAX.into());
    transport.max_idle_timeout(Some(idle));
    // The probes within a zone use each connection often enough. Keep-alives would only add traffic.
    transport.keep_alive_interval(None);
    // MTU discovery sends full-sized probes on each connection, and frames are small by design.
    transport.mtu_discovery_config(None);
    transport.max_concurrent_uni_streams(MAX_STREAMS.into());
    transport.max_concurrent_bidi_streams(MAX_STREAMS.into());
    transport.datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES));
    transport.datagram_send_buffer_size(DATAGRAM_BUFFER_BYTES);
    transport
}
