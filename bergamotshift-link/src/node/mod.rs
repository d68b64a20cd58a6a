//! One entry's end of the link.

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

/// Most bytes of a question or an answer.
pub const MAX_MESSAGE: usize = 16 * 1_024 * 1_024;

/// How much of a question or an answer has to go over within each time that it may take, in bytes: a configuration's content
/// and a caller's body may take longer than that over a narrow link, and are as good as lost when they hardly move.
pub const MIN_TRANSFER_BYTES: usize = 64 * 1_024;

/// Why something did not go over the link.
#[derive(Debug)]
#[derive(Error)]
pub enum Error {
    /// The identity cannot be used.
    #[error(transparent)]
    Identity(#[from] identity::Error),
    /// The socket cannot be opened.
    #[error("the link cannot listen: {0}")]
    Listen(#[from] std::io::Error),
    /// The address cannot be connected to.
    #[error("no connection: {0}")]
    Connect(#[from] quinn::ConnectError),
    /// The connection failed, as it does when either side does not trust the other.
    #[error("the connection failed: {0}")]
    Connection(#[from] quinn::ConnectionError),
    /// The question could not be sent.
    #[error("the question could not be sent: {0}")]
    Write(#[from] quinn::WriteError),
    /// No whole answer came.
    #[error("no whole answer came: {0}")]
    Read(#[from] quinn::ReadToEndError),
    /// The peer ended the stream before it had everything.
    #[error("the peer went away: {0}")]
    Stopped(#[from] quinn::StoppedError),
    /// The answer took too long.
    #[error("no answer came in time")]
    Timeout,
    /// The message is larger than [`MAX_MESSAGE`].
    #[error("a message of {0} bytes is too large")]
    Size(usize),
}

/// How a node listens and what it allows.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The UDP address; port 0 takes any free one.
    pub listen: SocketAddr,
    /// A connection without traffic is closed after this.
    pub idle_timeout: Duration,
    /// A connection has to be there after this.
    pub connect_timeout: Duration,
    /// Frames that wait for the kernel; more are dropped, as on a lossy network.
    pub max_incoming: usize,
    /// Frames that wait for a connection to one peer; more are dropped.
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

/// What arrives from authenticated entries.
#[derive(Debug)]
pub enum Incoming {
    /// A frame for the fleet kernel.
    Frame {
        /// Where the sender's link listens.
        from: SocketAddr,
        /// The frame.
        bytes: Vec<u8>,
    },
    /// A question that wants an answer.
    Question {
        /// Where the asker's link listens.
        from: SocketAddr,
        /// The question.
        bytes: Vec<u8>,
        /// Takes the answer; dropped, it resets the stream.
        answer: oneshot::Sender<Vec<u8>>,
    },
}

/// Bytes over the open connections, UDP payload without IP and UDP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Open connections.
    pub connections: usize,
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
    /// Datagrams sent and received.
    pub datagrams: u64,
}

/// One entry's end of the link; clones share it.
#[derive(Clone, Debug)]
pub struct Node {
    peers: Arc<Peers>,
}

impl Node {
    /// Opens the socket and starts to listen on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error when the identity does not fit together or the address is taken.
    ///
    /// # Panics
    ///
    /// Panics outside of a tokio runtime.
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

    /// Returns the address that the socket got.
    ///
    /// # Errors
    ///
    /// Returns an error when the system does not know it.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        Ok(self.peers.endpoint.local_addr()?)
    }

    /// Sends a frame, and opens a connection when there is none; nobody hears whether it arrived.
    ///
    /// A datagram may get lost; so does a frame for a peer that cannot be reached.
    pub fn send(&self, to: SocketAddr, way: Transport, bytes: Vec<u8>) {
        self.peers.send(to, way, bytes);
    }

    /// Sends a frame and waits until the peer has it, as long as it keeps moving.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer does not acknowledge it in time: `within`, and as much again for each [`MIN_TRANSFER_BYTES`].
    pub async fn deliver(&self, to: SocketAddr, bytes: &[u8], within: Duration) -> Result<(), Error> {
        let moved = AtomicUsize::new(0);
        moving(within, &moved, self.peers.deliver(to, bytes, &moved)).await
    }

    /// Asks a peer and waits for its answer, as long as that or the question keeps moving.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer cannot be reached, does not trust this entry or is not trusted, or does not
    /// answer in time: `within`, and as much again for each [`MIN_TRANSFER_BYTES`]. The question may have been acted on all the same.
    pub async fn ask(&self, to: SocketAddr, question: &[u8], within: Duration) -> Result<Vec<u8>, Error> {
        if question.len() > MAX_MESSAGE {
            return Err(Error::Size(question.len()));
        }
        let moved = AtomicUsize::new(0);
        moving(within, &moved, self.peers.ask(to, question, &moved)).await
    }

    /// Takes a renewed certificate for connections from now on; open ones stay.
    ///
    /// # Errors
    ///
    /// Returns an error, and keeps the old identity, when the new one does not fit together.
    pub fn renew(&self, identity: &Identity) -> Result<(), Error> {
        let (server, client) = transport::configs(&self.peers.settings, identity)?;
        self.peers.endpoint.set_server_config(Some(server));
        self.peers.renew(client);
        Ok(())
    }

    /// Returns what went over the open connections.
    pub fn traffic(&self) -> Traffic {
        self.peers.traffic()
    }

    /// Closes all connections and waits until the peers were told.
    pub async fn close(&self) {
        self.peers.endpoint.close(transport::CLOSED, b"leaving");
        self.peers.endpoint.wait_idle().await;
    }
}

/// Waits for something to go over, for as long as it keeps pace.
async fn moving<T>(
    within: Duration,
    moved: &AtomicUsize,
    going: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let pace = Throughput {
        bytes: MIN_TRANSFER_BYTES,
        within,
    };
    let mut watch = pace.monitor();
    let mut going = pin!(going);
    loop {
        if let Ok(gone) = tokio::time::timeout(within, going.as_mut()).await {
            return gone;
        }
        if !watch.is_sustained(moved.load(Relaxed)) {
            return Err(Error::Timeout);
        }
    }
}
