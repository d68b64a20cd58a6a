//! How the link uses QUIC.

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

/// The code with which a leaving entry closes its connections.
pub(super) const CLOSED: VarInt = VarInt::from_u32(0);

/// Opens the socket for both directions: peers know an entry by the one address.
pub(super) fn bind(settings: &Settings, identity: &Identity) -> Result<(Endpoint, ClientConfig), Error> {
    let (server, client) = configs(settings, identity)?;
    Ok((Endpoint::server(server, settings.listen)?, client))
}

/// Makes the configurations for answering and for calling.
pub(super) fn configs(settings: &Settings, identity: &Identity) -> Result<(ServerConfig, ClientConfig), Error> {
    let transport = Arc::new(transport(settings));
    let mut server = ServerConfig::with_crypto(Arc::new(identity.server()?));
    server.transport_config(Arc::clone(&transport));
    let mut client = ClientConfig::new(Arc::new(identity.client()?));
    client.transport_config(transport);
    Ok((server, client))
}

fn transport(settings: &Settings) -> TransportConfig {
    /// Streams that a peer may have open at once, each way.
    const STREAMS: u32 = 64;
    /// Frames that wait inside QUIC; older ones give way.
    const DATAGRAM_BUFFER: usize = 256 * 1_024;
    let mut transport = TransportConfig::default();
    let idle = IdleTimeout::try_from(settings.idle_timeout).unwrap_or_else(|_| VarInt::MAX.into());
    transport.max_idle_timeout(Some(idle));
    // A zone's probes touch each connection often enough; keep-alives would only cost bytes.
    transport.keep_alive_interval(None);
    // Looking for larger packets costs full-sized probes on each connection, and frames are small by design.
    transport.mtu_discovery_config(None);
    transport.max_concurrent_uni_streams(STREAMS.into());
    transport.max_concurrent_bidi_streams(STREAMS.into());
    transport.datagram_receive_buffer_size(Some(DATAGRAM_BUFFER));
    transport.datagram_send_buffer_size(DATAGRAM_BUFFER);
    transport
}
