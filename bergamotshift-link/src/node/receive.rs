//! What comes in over connections.

use core::net::SocketAddr;
use std::sync::Arc;

use bergamotshift_fleet::wire;
use quinn::Connection;
use quinn::Endpoint;
use quinn::RecvStream;
use quinn::SendStream;
use slog::debug;
use tokio::sync::oneshot;

use super::Incoming;
use super::MAX_MESSAGE;
use super::peers::Peers;

/// Takes connections of others until the endpoint closes.
pub(super) async fn accept(peers: Arc<Peers>, endpoint: Endpoint) {
    while let Some(incoming) = endpoint.accept().await {
        let peers = Arc::clone(&peers);
        tokio::spawn(async move {
            // The handshake ends only when the other side has shown a certificate of the authority.
            match incoming.await {
                Ok(connection) => peers.adopt(connection),
                Err(error) => debug!(peers.log, "a connection was refused"; "error" => %error),
            }
        });
    }
}

/// Reads from one connection until it closes.
pub(super) async fn read(peers: Arc<Peers>, connection: Connection) {
    let from = connection.remote_address();
    loop {
        tokio::select! {
            datagram = connection.read_datagram() => {
                let Ok(bytes) = datagram else { return };
                // A full backlog drops frames as a lossy network does; the kernel is made for that.
                drop(peers.incoming.try_send(Incoming::Frame { from, bytes: bytes.into() }));
            }
            stream = connection.accept_uni() => {
                let Ok(stream) = stream else { return };
                tokio::spawn(frame(Arc::clone(&peers), from, stream));
            }
            stream = connection.accept_bi() => {
                let Ok((out, back)) = stream else { return };
                tokio::spawn(question(Arc::clone(&peers), from, out, back));
            }
        }
    }
}

async fn frame(peers: Arc<Peers>, from: SocketAddr, mut stream: RecvStream) {
    let Ok(bytes) = stream.read_to_end(wire::MAX_STREAM).await else {
        return;
    };
    drop(peers.incoming.send(Incoming::Frame { from, bytes }).await);
}

async fn question(peers: Arc<Peers>, from: SocketAddr, mut out: SendStream, mut back: RecvStream) {
    let Ok(bytes) = back.read_to_end(MAX_MESSAGE).await else {
        return;
    };
    let (answer, answered) = oneshot::channel();
    let asked = Incoming::Question { from, bytes, answer };
    if peers.incoming.send(asked).await.is_err() {
        return;
    }
    // A dropped answer drops the stream, which resets it: the asker hears at once that none comes.
    let Ok(bytes) = answered.await else {
        drop(out.reset(quinn::VarInt::from_u32(1)));
        return;
    };
    if out.write_all(&bytes).await.is_ok() {
        drop(out.finish());
    }
}
