//! Connection to an endpoint or another entry.

use core::cell::Cell;
use core::net::SocketAddr;
use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::io;
use std::sync::Arc;

use bergamotshift_limit::ending::Close;
use bergamotshift_platform::socket::reset_on_close;
use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use ntex::http::Method;
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::coop::consume_budget;
use tokio::time::timeout;

use super::body::Framing;
use super::failure::Failure;
use super::head::Head;

/// Buffer space for one read, in bytes.
const READ_SIZE: usize = 8 * 1024;

/// Maximum size of the heads of a response and of the interim ones before it, in bytes.
const MAX_HEAD: usize = 16 * 1024;

/// Maximum number of bytes that the operating system holds and has not sent. What it holds counts as written.
const MAX_UNSENT: u32 = 64 * 1024;

/// Maximum body size of a response to another request that is skipped, in bytes.
const MAX_SKIPPED: u64 = 64 * 1024;

/// State of an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It stands, as far as bytes that have arrived tell.
    Open,
    /// The peer closed it in order.
    Ended,
    /// It was reset, or the peer sent bytes that belong to nothing.
    Broken,
}

/// Connection to an endpoint or another entry, with the received bytes that have not been consumed yet.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    received: BytesMut,
    /// Number of bytes received since it was opened.
    total_received: usize,
    /// Whether it cannot carry another exchange.
    unusable: bool,
    /// Parts of the last request that are not written yet.
    unwritten: [Bytes; 2],
    /// Whether it was reset. The operating system tells once.
    was_reset: Cell<bool>,
    /// Counts it as a tunnel through another entry.
    tunnel: Option<Tunnel>,
}

/// Guard that counts a connection through another entry until it is dropped.
#[derive(Debug)]
struct Tunnel(Arc<AtomicUsize>);

impl Drop for Tunnel {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Connection {
    /// Opens a connection that only this program closes.
    ///
    /// The operating system may give up a silent connection on its own and without a reset, because of keep-alive
    /// probes or unacknowledged bytes. A request that a network partition held back would then reach the endpoint after
    /// the partition heals: an endpoint that left long ago, or one that runs it although the caller was told otherwise.
    /// Therefore every exchange has its own timeout, a connection that is given up is reset, and an idle connection is
    /// reused only for a short time.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Connect`] when no connection is opened in time.
    pub async fn open(address: SocketAddr, connect_timeout: Duration) -> Result<Self, Failure> {
        let failed = |error: io::Error| Failure::Connect(error.to_string());
        let stream = match timeout(connect_timeout, TcpStream::connect(address)).await {
            Ok(stream) => stream.map_err(failed)?,
            Err(_) => return Err(Failure::Connect("no answer in time".to_owned())),
        };
        stream.set_nodelay(true).map_err(failed)?;
        reset_on_close(&stream).map_err(failed)?;
        limit_unsent(&stream).map_err(failed)?;
        Ok(Self {
            stream,
            received: BytesMut::new(),
            total_received: 0,
            unusable: false,
            unwritten: [const { Bytes::new() }; 2],
            was_reset: Cell::new(false),
            tunnel: None,
        })
    }

    /// Marks it as a tunnel through another entry, and counts it there while it is open.
    #[must_use]
    pub fn through(self, open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self {
            tunnel: Some(Tunnel(Arc::clone(open))),
            ..self
        }
    }

    /// Returns whether it is a tunnel through another entry.
    pub const fn is_tunnel(&self) -> bool {
        self.tunnel.is_some()
    }

    /// Returns whether the operating system closes the connection on its own when the peer is silent.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the socket options cannot be read.
    pub fn has_system_timeout(&self) -> io::Result<bool> {
        let socket = SockRef::from(&self.stream);
        Ok(socket.keepalive()? || socket.tcp_user_timeout()?.is_some_and(|timeout| !timeout.is_zero()))
    }

    /// Returns the number of bytes received since the connection was opened.
    pub const fn bytes_received(&self) -> usize {
        self.total_received
    }

    /// Waits until something may have arrived, or the connection ended.
    pub async fn readable(&self) {
        // An error shows when the connection is read.
        let _ = self.stream.readable().await;
    }

    /// Returns the state of a connection on which nothing is expected.
    pub fn liveness(&self) -> Liveness {
        match self.stream.try_read(&mut [0]) {
            Ok(0) => Liveness::Ended,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Liveness::Open,
            Ok(_) | Err(_) => Liveness::Broken,
        }
    }

    /// Returns how the connection ended, as far as the operating system has heard. After an end in order, a reset may follow.
    pub fn close(&self) -> Close {
        // An error that cannot be read is none that shows an end in order.
        if self.stream.take_error().map_or(true, |error| error.is_some()) {
            self.was_reset.set(true);
        }
        match (self.was_reset.get(), self.is_request_written()) {
            (true, _) => Close::Reset,
            (false, false) => Close::Early,
            (false, true) => Close::Orderly,
        }
    }

    fn is_request_written(&self) -> bool {
        self.unwritten.iter().all(Bytes::is_empty)
    }

    /// Returns whether another exchange may follow on the connection.
    ///
    /// If an endpoint closes an idle connection or sends a second response after a complete one, the next request would
    /// be lost or get the response to another request. An end or bytes on the idle connection reveal both.
    pub fn is_reusable(&self) -> bool {
        !self.unusable && self.received.is_empty() && self.liveness() == Liveness::Open
    }

    /// Sends the parts of a request and returns the head of the response for which `is_expected` returns `true`.
    ///
    /// An endpoint may respond before it has read the whole request. The rest is written while the body of the response is
    /// read, and the connection is not reused.
    ///
    /// # Errors
    ///
    /// Returns the failure of the exchange; after any but [`Failure::Connect`], the request may have run.
    pub async fn send(
        &mut self,
        request: [Bytes; 2],
        method: &Method,
        is_expected: impl Fn(&Head) -> bool,
    ) -> Result<Head, Failure> {
        self.unwritten = request;
        let mut interim = 0;
        let mut has_skipped = false;
        loop {
            if let Some((head, length)) = Head::parse(&self.received, method)? {
                self.received.advance(length);
                if head.status.is_informational() {
                    interim += length;
                    if interim > MAX_HEAD {
                        return Err(Failure::Malformed("too many interim answers come before it"));
                    }
                    continue;
                }
                if is_expected(&head) {
                    self.unusable = self.was_reset.get() || !self.is_request_written() || !head.keep_alive;
                    return Ok(head);
                }
                if has_skipped {
                    return Err(Failure::Malformed("it belongs to another request"));
                }
                has_skipped = true;
                self.skip(head.framing).await?;
                continue;
            }
            if interim + self.received.len() > MAX_HEAD {
                return Err(Failure::Malformed("its head is too large"));
            }
            if self.read().await? == 0 {
                let end = if self.was_reset.get() { "was reset" } else { "ended" };
                return Err(Failure::Broken(format!("it {end} before the answer")));
            }
        }
    }

    /// Reads the next bytes of a response body; returns `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Broken`] when the connection ends before the body.
    pub async fn body(&mut self, framing: &mut Framing) -> Result<Option<Bytes>, Failure> {
        loop {
            if let Some(piece) = framing.take(&mut self.received)? {
                return Ok(Some(piece));
            }
            if *framing == Framing::Done {
                self.unusable |= !self.received.is_empty();
                return Ok(None);
            }
            if self.read().await? == 0 {
                self.unusable = true;
                if *framing == Framing::UntilClose {
                    *framing = Framing::Done;
                    continue;
                }
                return Err(Failure::Broken("it ended within the answer".to_owned()));
            }
        }
    }

    /// Skips a response that belongs to an earlier exchange.
    ///
    /// If an endpoint responds to a request twice, the second response arrives where the next one is expected, and a
    /// caller would get the response to another caller. The identifier in its head shows which request it belongs to,
    /// and the expected response follows.
    async fn skip(&mut self, mut framing: Framing) -> Result<(), Failure> {
        let mut skipped = 0;
        if !framing.is_framed() {
            return Err(Failure::Malformed("it belongs to another request"));
        }
        while let Some(piece) = self.body(&mut framing).await? {
            skipped += piece.len() as u64;
            if skipped > MAX_SKIPPED {
                return Err(Failure::Malformed("it belongs to another request"));
            }
        }
        self.unusable = false;
        Ok(())
    }

    /// Writes what is left of the request until bytes can be read, and reads them; returns 0 at the end of the connection.
    async fn read(&mut self) -> Result<usize, Failure> {
        // Bytes that come without end would keep the thread from its other requests and from the timeout of this one.
        consume_budget().await;
        loop {
            let part = self.unwritten.iter().position(|part| !part.is_empty());
            let interest = match part {
                Some(_) => Interest::READABLE | Interest::WRITABLE,
                None => Interest::READABLE,
            };
            let ready = self.stream.ready(interest).await.map_err(|error| broken(&error))?;
            if ready.is_readable() {
                match self.read_available() {
                    Ok(length) => return Ok(length),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(error) => return Err(broken(&error)),
                }
            }
            if let Some(part) = part {
                self.write_available(part);
            }
        }
    }

    /// Writes as many bytes of a part of the request as the operating system takes.
    fn write_available(&mut self, part: usize) {
        match self.stream.try_write(&self.unwritten[part]) {
            // An empty part would still hold the memory of the request.
            Ok(length) if length == self.unwritten[part].len() => self.unwritten[part] = Bytes::new(),
            Ok(length) => self.unwritten[part].advance(length),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            // An early answer may have arrived before the reset.
            Err(_) => {
                self.was_reset.set(true);
                self.unwritten = Default::default();
            }
        }
    }

    /// Reads the available bytes without waiting.
    fn read_available(&mut self) -> io::Result<usize> {
        self.received.reserve(READ_SIZE);
        let length = self.stream.try_read_buf(&mut self.received)?;
        self.total_received += length;
        Ok(length)
    }
}

/// Limits what the operating system holds of a connection and has not sent. An endpoint that ends its answer meanwhile has not
/// received the request.
///
/// # Errors
///
/// Returns the error of the operating system if the option cannot be set.
pub fn limit_unsent(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT)
}

fn broken(error: &io::Error) -> Failure {
    Failure::Broken(error.to_string())
}
