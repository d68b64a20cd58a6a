//! Receives frames and questions from the connections of a node.

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

/// Accepts connections of other entries until the endpoint closes.
pub(super) async fn accept(peers: Arc<Peers>, endpoint: Endpoint) {
    while let Some(incoming) = endpoint.accept().await {
        let peers = Arc::clone(&peers);
        tokio::spawn(async move {
            // The handshake completes only if the peer presents a certificate of the authority.
            match incoming.await {
                Ok(connection) => peers.add(connection),
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
                // A full queue drops frames as a lossy network does. The fleet kernel tolerates lost frames.
                drop(peers.incoming.try_send(Incoming::Frame { from, bytes: bytes.into() }));
            }
            stream = connection.accept_uni() => {
                let Ok(stream) = stream else { return };
                tokio::spawn(receive_frame(Arc::clone(&peers), from, stream));
            }
            stream = connection.accept_bi() => {
                let Ok((answer_stream, question_stream)) = stream else { return };
                tokio::spawn(receive_question(Arc::clone(&peers), from, answer_stream, question_stream));
            }
        }
    }
}

/// Reads a frame from a stream and passes it on.
async fn receive_frame(peers: Arc<Peers>, from: SocketAddr, mut stream: RecvStream) {
    let Ok(bytes) = stream.read_to_end(wire::MAX_STREAM).await else {
        return;
    };
    drop(peers.incoming.send(Incoming::Frame { from, bytes }).await);
}

/// Reads a question from a stream, passes it on and sends the answer back.
async fn receive_question(
    peers: Arc<Peers>,
    from: SocketAddr,
    mut answer_stream: SendStream,
    mut question_stream: RecvStream,
) {
    let Ok(bytes) = question_stream.read_to_end(MAX_MESSAGE).await else {
        return;
    };
    let (answer, answered) = oneshot::channel();
    let question = Incoming::Question { from, bytes, answer };
    if peers.incoming.send(question).await.is_err() {
        return;
    }
    // If no answer is given, the stream is reset, so that the asker does not wait until its timeout.
    let Ok(bytes) = answered.await else {
        drop(answer_stream.reset(quinn::VarInt::from_u32(1)));
        return;
    };
    if answer_stream.write_all(&bytes).await.is_ok() {
        drop(answer_stream.finish());
    }
}
