//! Node that connects an entry to other entries.

mod peers;
mod receive;
mod transport;

use core::net::SocketAddr;
use core::pin::pin;
use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::throughput::Throughput;
use bergamotshift_fleet::kernel::Transport;
use slog::Logger;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::identity;
use crate::identity::Identity;
use peers::Peers;

/// Maximum size of a question or an answer, in bytes.
pub const MAX_MESSAGE: usize = 16 * 1_024 * 1_024;

/// Minimum number of bytes that must be transferred in each timeout interval for an exchange to continue.
///
/// Configuration content and callers' bodies may take longer than one interval over a slow connection. An exchange that
/// transfers less is treated as lost.
pub const MIN_TRANSFER_BYTES: usize = 64 * 1_024;

/// Reason why an exchange with a peer failed.
#[derive(Debug)]
#[derive(Error)]
pub enum Error {
    /// The identity cannot be used.
    #[error(transparent)]
    Identity(#[from] identity::Error),
    /// The UDP socket cannot be opened.
    #[error("cannot listen for other entries: {0}")]
    Listen(#[from] std::io::Error),
    /// No connection to the address can be started.
    #[error("cannot connect to the peer: {0}")]
    Connect(#[from] quinn::ConnectError),
    /// The connection failed, for example because one side does not trust the other's certificate.
    #[error("the connection to the peer failed: {0}")]
    Connection(#[from] quinn::ConnectionError),
    /// The question or frame could not be sent.
    #[error("the message could not be sent to the peer: {0}")]
    Write(#[from] quinn::WriteError),
    /// The answer could not be read to its end.
    #[error("the answer could not be read to its end: {0}")]
    Read(#[from] quinn::ReadToEndError),
    /// The peer did not acknowledge the whole frame.
    #[error("the peer did not acknowledge the frame: {0}")]
    Stopped(#[from] quinn::StoppedError),
    /// The peer did not respond in time.
    #[error("the peer did not respond in time")]
    Timeout,
    /// The message is larger than [`MAX_MESSAGE`].
    #[error("a message of {0} bytes exceeds the maximum of {MAX_MESSAGE} bytes")]
    Size(usize),
}

/// Settings of a node's socket, connections and queues.
#[derive(Clone, Debug)]
pub struct Settings {
    /// UDP address to listen on. Port 0 selects a free port.
    pub listen: SocketAddr,
    /// Time without traffic after which a connection is closed.
    pub idle_timeout: Duration,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Maximum number of received messages in the queue. Datagrams beyond it are dropped, as on a lossy network.
    pub max_incoming: usize,
    /// Maximum number of queued frames per peer. Further frames are dropped.
    pub max_queued: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: ([0, 0, 0, 0], 7_100).into(),
            idle_timeout: Duration::from_mins(10),
            connect_timeout: Duration::from_secs(3),
            max_incoming: 1_024,
            max_queued: 64,
        }
    }
}

/// Message from an authenticated entry.
#[derive(Debug)]
pub enum Incoming {
    /// Frame for the fleet kernel.
    Frame {
        /// Address of the sender's node.
        from: SocketAddr,
        /// Bytes of the frame.
        bytes: Vec<u8>,
    },
    /// Question that expects an answer.
    Question {
        /// Address of the asker's node.
        from: SocketAddr,
        /// Bytes of the question.
        bytes: Vec<u8>,
        /// Channel for the answer. Dropping it resets the stream.
        answer: oneshot::Sender<Vec<u8>>,
    },
}

/// Traffic over the open connections. Bytes are UDP payload, without IP and UDP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of open connections.
    pub connections: usize,
    /// Number of bytes sent.
    pub sent: u64,
    /// Number of bytes received.
    pub received: u64,
    /// Number of UDP datagrams sent and received.
    pub datagrams: u64,
}

/// Node that exchanges messages with other entries. Clones share one socket.
#[derive(Clone, Debug)]
pub struct Node {
    peers: Arc<Peers>,
}

impl Node {
    /// Opens the socket and starts to accept connections on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error when the identity cannot be used or the socket cannot be opened.
    ///
    /// # Panics
    ///
    /// Panics outside a Tokio runtime.
    pub fn bind(
        settings: &Settings,
        identity: &Identity,
        log: Logger,
    ) -> Result<(Self, mpsc::Receiver<Incoming>), Error> {
        let (endpoint, client) = transport::bind(settings, identity)?;
        let (sender, receiver) = mpsc::channel(settings.max_incoming);
        let peers = Peers::new(endpoint.clone(), client, settings.clone(), sender, log);
        tokio::spawn(receive::accept(Arc::clone(&peers), endpoint));
        Ok((Self { peers }, receiver))
    }

    /// Returns the local address of the socket.
    ///
    /// # Errors
    ///
    /// Returns an error when the operating system does not report it.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        Ok(self.peers.endpoint.local_addr()?)
    }

    /// Sends a frame without confirmation, and opens a connection if there is none.
    ///
    /// A datagram may be lost, and a frame for a peer that cannot be reached is dropped.
    pub fn send(&self, to: SocketAddr, transport: Transport, bytes: Vec<u8>) {
        self.peers.send(to, transport, bytes);
    }

    /// Sends a frame and waits until the peer has acknowledged it.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer cannot be reached or does not acknowledge the frame in time. The timeout starts
    /// again if at least [`MIN_TRANSFER_BYTES`] were transferred during it.
    pub async fn deliver(&self, to: SocketAddr, bytes: &[u8], timeout: Duration) -> Result<(), Error> {
        let transferred = AtomicUsize::new(0);
        await_transfer(timeout, &transferred, self.peers.deliver(to, bytes, &transferred)).await
    }

    /// Sends a question to a peer and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns an error when the question exceeds [`MAX_MESSAGE`], when the peer cannot be reached, when either side
    /// does not trust the other, or when the peer does not answer in time. The timeout starts again if at least
    /// [`MIN_TRANSFER_BYTES`] were transferred during it. The peer may have acted on the question despite an error.
    pub async fn ask(&self, to: SocketAddr, question: &[u8], timeout: Duration) -> Result<Vec<u8>, Error> {
        if question.len() > MAX_MESSAGE {
            return Err(Error::Size(question.len()));
        }
        let transferred = AtomicUsize::new(0);
        await_transfer(timeout, &transferred, self.peers.ask(to, question, &transferred)).await
    }

    /// Uses a renewed certificate for new connections. Open connections keep the old one.
    ///
    /// # Errors
    ///
    /// Returns an error and keeps the old identity when the new one cannot be used.
    pub fn renew(&self, identity: &Identity) -> Result<(), Error> {
        let (server, client) = transport::configs(&self.peers.settings, identity)?;
        self.peers.endpoint.set_server_config(Some(server));
        self.peers.renew(client);
        Ok(())
    }

    /// Returns the traffic over the open connections.
    pub fn traffic(&self) -> Traffic {
        self.peers.traffic()
    }

    /// Closes all connections and waits until the close has been sent to the peers.
    pub async fn close(&self) {
        self.peers.endpoint.close(transport::CLOSED, b"leaving");
        self.peers.endpoint.wait_idle().await;
    }
}

/// Waits for a transfer as long as at least [`MIN_TRANSFER_BYTES`] move in each timeout interval.
async fn await_transfer<T>(
    timeout: Duration,
    transferred: &AtomicUsize,
    transfer: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let throughput = Throughput {
        bytes: MIN_TRANSFER_BYTES,
        within: timeout,
    };
    let mut monitor = throughput.monitor();
    let mut transfer = pin!(transfer);
    loop {
        if let Ok(result) = tokio::time::timeout(timeout, transfer.as_mut()).await {
            return result;
        }
        if !monitor.is_sustained(transferred.load(Relaxed)) {
            return Err(Error::Timeout);
        }
    }
}
