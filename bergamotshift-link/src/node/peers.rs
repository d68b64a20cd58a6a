//! Connections to other entries, opened on first use.

use core::net::SocketAddr;
use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering::Relaxed;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use bergamotshift_fleet::kernel::Transport;
use quinn::ClientConfig;
use quinn::Connection;
use quinn::Endpoint;
use quinn::ReadToEndError;
use quinn::RecvStream;
use quinn::SendStream;
use quinn::WriteError;
use slog::Logger;
use slog::debug;
use tokio::sync::mpsc;

use super::Error;
use super::Incoming;
use super::MAX_MESSAGE;
use super::Settings;
use super::Traffic;
use super::receive;
use crate::identity::SERVER_NAME;

/// Maximum number of bytes read from a stream at a time.
const MAX_READ: usize = 64 * 1_024;

/// Frame to send, with its transport.
type Outgoing = (Transport, Vec<u8>);

/// Connections and queues of a node for all its peers.
#[derive(Debug)]
pub(super) struct Peers {
    pub(super) endpoint: Endpoint,
    pub(super) settings: Settings,
    pub(super) incoming: mpsc::Sender<Incoming>,
    pub(super) log: Logger,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    client: ClientConfig,
    connections: BTreeMap<SocketAddr, Connection>,
    queues: BTreeMap<SocketAddr, mpsc::Sender<Outgoing>>,
}

impl Peers {
    pub(super) fn new(
        endpoint: Endpoint,
        client: ClientConfig,
        settings: Settings,
        incoming: mpsc::Sender<Incoming>,
        log: Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            endpoint,
            settings,
            incoming,
            log,
            state: Mutex::new(State {
                client,
                connections: BTreeMap::new(),
                queues: BTreeMap::new(),
            }),
        })
    }

    /// Queues a frame for a peer. A full queue drops it.
    pub(super) fn send(self: &Arc<Self>, to: SocketAddr, transport: Transport, bytes: Vec<u8>) {
        let mut state = self.lock();
        let mut outgoing = (transport, bytes);
        if let Some(queue) = state.queues.get(&to) {
            match queue.try_send(outgoing) {
                Ok(()) | Err(mpsc::error::TrySendError::Full(_)) => return,
                Err(mpsc::error::TrySendError::Closed(returned)) => outgoing = returned,
            }
        }
        let (sender, receiver) = mpsc::channel(self.settings.max_queued);
        // A new queue accepts at least one frame.
        drop(sender.try_send(outgoing));
        state.queues.insert(to, sender);
        drop(state);
        tokio::spawn(Arc::clone(self).send_queued(to, receiver));
    }

    /// Sends the queued frames of one peer until none has been queued for the idle timeout.
    async fn send_queued(self: Arc<Self>, to: SocketAddr, mut queue: mpsc::Receiver<Outgoing>) {
        while let Ok(Some((transport, bytes))) = tokio::time::timeout(self.settings.idle_timeout, queue.recv()).await {
            match self.connection(to).await {
                Ok(connection) => self.send_now(&connection, transport, bytes),
                Err(error) => {
                    debug!(self.log, "a peer cannot be reached"; "peer" => %to, "error" => %error);
                    // The frames that waited for this connection are as outdated as the lost one.
                    while queue.try_recv().is_ok() {}
                }
            }
        }
    }

    /// Sends a frame as a datagram if it fits, otherwise on a stream.
    fn send_now(&self, connection: &Connection, transport: Transport, bytes: Vec<u8>) {
        let fits = connection.max_datagram_size().is_some_and(|size| bytes.len() <= size);
        if transport == Transport::Datagram && fits {
            if let Err(error) = connection.send_datagram(bytes.into()) {
                debug!(self.log, "a frame was not sent"; "error" => %error);
            }
            return;
        }
        let connection = connection.clone();
        let log = self.log.clone();
        tokio::spawn(async move {
            if let Err(error) = send_stream(&connection, &bytes).await {
                debug!(log, "a frame was not sent"; "error" => %error);
            }
        });
    }

    /// Delivers a frame and counts the bytes sent so far in `transferred`.
    pub(super) async fn deliver(
        self: &Arc<Self>,
        to: SocketAddr,
        bytes: &[u8],
        transferred: &AtomicUsize,
    ) -> Result<(), Error> {
        let connection = self.connection(to).await?;
        let mut stream = connection.open_uni().await?;
        write(&mut stream, bytes, transferred).await?;
        drop(stream.finish());
        stream.stopped().await?;
        Ok(())
    }

    /// Sends a question and reads its answer, and counts the bytes sent and received so far in `transferred`.
    pub(super) async fn ask(
        self: &Arc<Self>,
        to: SocketAddr,
        question: &[u8],
        transferred: &AtomicUsize,
    ) -> Result<Vec<u8>, Error> {
        let connection = self.connection(to).await?;
        let (mut question_stream, mut answer_stream) = connection.open_bi().await?;
        write(&mut question_stream, question, transferred).await?;
        // If the peer has reset the stream, no answer follows and the read below fails.
        drop(question_stream.finish());
        Ok(read(&mut answer_stream, transferred).await?)
    }

    /// Returns the open connection to a peer, or opens one.
    async fn connection(self: &Arc<Self>, to: SocketAddr) -> Result<Connection, Error> {
        let open = self.lock().connections.get(&to).cloned();
        if let Some(open) = open.filter(|open| open.close_reason().is_none()) {
            return Ok(open);
        }
        let client = self.lock().client.clone();
        let connecting = self.endpoint.connect_with(client, to, SERVER_NAME)?;
        let connection = tokio::time::timeout(self.settings.connect_timeout, connecting)
            .await
            .or(Err(Error::Timeout))??;
        self.add(connection.clone());
        Ok(connection)
    }

    /// Stores a connection, forgets closed ones and starts to read from it.
    pub(super) fn add(self: &Arc<Self>, connection: Connection) {
        let mut state = self.lock();
        state.connections.retain(|_, other| other.close_reason().is_none());
        state
            .connections
            .insert(connection.remote_address(), connection.clone());
        drop(state);
        tokio::spawn(receive::read(Arc::clone(self), connection));
    }

    /// Uses a renewed identity for new connections.
    pub(super) fn renew(&self, client: ClientConfig) {
        self.lock().client = client;
    }

    pub(super) fn traffic(&self) -> Traffic {
        let state = self.lock();
        let open = state
            .connections
            .values()
            .filter(|other| other.close_reason().is_none());
        open.fold(Traffic::default(), |sum, connection| {
            let counts = connection.stats();
            Traffic {
                connections: sum.connections + 1,
                sent: sum.sent + counts.udp_tx.bytes,
                received: sum.received + counts.udp_rx.bytes,
                datagrams: sum.datagrams + counts.udp_tx.datagrams + counts.udp_rx.datagrams,
            }
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        // The maps are consistent after every step, so a panic elsewhere leaves no partial change.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn send_stream(connection: &Connection, bytes: &[u8]) -> Result<(), Error> {
    let mut stream = connection.open_uni().await?;
    stream.write_all(bytes).await?;
    drop(stream.finish());
    Ok(())
}

/// Writes a whole message and counts the bytes written.
async fn write(stream: &mut SendStream, mut bytes: &[u8], transferred: &AtomicUsize) -> Result<(), WriteError> {
    while !bytes.is_empty() {
        let length = stream.write(bytes).await?;
        transferred.fetch_add(length, Relaxed);
        bytes = &bytes[length..];
    }
    Ok(())
}

/// Reads a message to its end and counts the bytes read.
async fn read(stream: &mut RecvStream, transferred: &AtomicUsize) -> Result<Vec<u8>, ReadToEndError> {
    let mut message = Vec::new();
    while let Some(chunk) = stream.read_chunk(MAX_READ, true).await? {
        if message.len() + chunk.bytes.len() > MAX_MESSAGE {
            return Err(ReadToEndError::TooLong);
        }
        transferred.fetch_add(chunk.bytes.len(), Relaxed);
        message.extend_from_slice(&chunk.bytes);
    }
    Ok(message)
}
