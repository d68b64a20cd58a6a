//! A connection to an endpoint.

use core::net::SocketAddr;
use core::time::Duration;
use std::io;

use bergamotshift_platform::socket::reset_on_close;
use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use ntex::http::Method;
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::body::Framing;
use super::failure::Failure;
use super::head::Head;

/// How much room there is for one read, in bytes.
const READ_SIZE: usize = 8 * 1024;

/// The largest head of an answer, in bytes.
const MAX_HEAD: usize = 16 * 1024;

/// The largest answer to somebody else that is read over to get at one's own, in bytes.
const MAX_SKIPPED: u64 = 64 * 1024;

/// A connection to an endpoint, with what was received and not taken yet.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    received: BytesMut,
    /// How many bytes ever came.
    total_received: usize,
    /// Whether it cannot carry another exchange.
    unusable: bool,
}

impl Connection {
    /// Opens a connection, which only this program gives up.
    ///
    /// Failure: a network partition swallows a request, and the system gives the silent connection up by itself, by
    /// keep-alive or for unacknowledged bytes, without a reset. Symptom: the partition heals, and the request reaches an
    /// endpoint that left long ago, or runs after its caller was told otherwise. Every exchange has a limit of its own, and
    /// what is given up at that is reset; an idle connection is not used again for long.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Connect`] when none comes about in time.
    pub async fn open(address: SocketAddr, connect_timeout: Duration) -> Result<Self, Failure> {
        let failed = |error: io::Error| Failure::Connect(error.to_string());
        let stream = match timeout(connect_timeout, TcpStream::connect(address)).await {
            Ok(stream) => stream.map_err(failed)?,
            Err(_) => return Err(Failure::Connect("no answer in time".to_owned())),
        };
        stream.set_nodelay(true).map_err(failed)?;
        reset_on_close(&stream).map_err(failed)?;
        Ok(Self {
            stream,
            received: BytesMut::new(),
            total_received: 0,
            unusable: false,
        })
    }

    /// Returns whether the system gives it up by itself when the peer is silent.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the options cannot be read.
    pub fn has_system_timeout(&self) -> io::Result<bool> {
        let socket = SockRef::from(&self.stream);
        Ok(socket.keepalive()? || socket.tcp_user_timeout()?.is_some_and(|timeout| !timeout.is_zero()))
    }

    /// Returns how many bytes ever came.
    pub const fn bytes_received(&self) -> usize {
        self.total_received
    }

    /// Returns whether another exchange may follow on the connection.
    ///
    /// Failure: an endpoint closes an idle connection, or sends a second answer after a whole one. Symptom: the next
    /// request is lost, or gets somebody else's answer. Bytes or an end on an idle connection show both.
    pub fn is_reusable(&self) -> bool {
        if self.unusable || !self.received.is_empty() {
            return false;
        }
        let mut byte = [0];
        matches!(self.stream.try_read(&mut byte), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and returns the head of the answer that `is_expected`.
    ///
    /// An endpoint may answer before it has read all of the request; the connection is not used again then, since the
    /// rest of the request is still due on it.
    ///
    /// # Errors
    ///
    /// Returns what went wrong; after all but [`Failure::Connect`] the request may have run.
    pub async fn send(
        &mut self,
        request: &[u8],
        method: &Method,
        is_expected: impl Fn(&Head) -> bool,
    ) -> Result<Head, Failure> {
        let mut sent = 0;
        let mut has_skipped = false;
        loop {
            if let Some((head, length)) = Head::parse(&self.received, method)? {
                self.received.advance(length);
                if head.status.is_informational() {
                    continue;
                }
                if is_expected(&head) {
                    self.unusable = sent < request.len() || !head.keep_alive;
                    return Ok(head);
                }
                if has_skipped {
                    return Err(Failure::Malformed("it belongs to another request"));
                }
                has_skipped = true;
                self.skip(head.framing).await?;
                continue;
            }
            if self.received.len() > MAX_HEAD {
                return Err(Failure::Malformed("its head is too large"));
            }
            if sent < request.len() {
                sent += self.write_or_read(&request[sent..]).await?;
            } else if self.read().await? == 0 {
                return Err(Failure::Broken("it ended before the answer".to_owned()));
            }
        }
    }

    /// Reads the next bytes of an answer's body; `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Broken`] when the connection ends before the body does.
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

    /// Reads over an answer that belongs to an exchange before this one.
    ///
    /// Failure: an endpoint answers a request twice, and the second answer stands where the next one is expected.
    /// Symptom: a caller gets another caller's answer. Its identifier shows whose it is, and the right one follows.
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

    /// Sends what the system takes, unless the endpoint says something first; returns how many bytes left.
    async fn write_or_read(&mut self, request: &[u8]) -> Result<usize, Failure> {
        let interest = Interest::READABLE | Interest::WRITABLE;
        let ready = self.stream.ready(interest).await.map_err(|error| broken(&error))?;
        if ready.is_readable() {
            match self.read_available() {
                Ok(0) => return Err(Failure::Broken("it ended before the answer".to_owned())),
                Ok(_) => return Ok(0),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(broken(&error)),
            }
        }
        match self.stream.try_write(request) {
            Ok(sent) => Ok(sent),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            Err(error) => Err(broken(&error)),
        }
    }

    async fn read(&mut self) -> Result<usize, Failure> {
        loop {
            self.stream.readable().await.map_err(|error| broken(&error))?;
            match self.read_available() {
                Ok(length) => return Ok(length),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(broken(&error)),
            }
        }
    }

    fn read_available(&mut self) -> io::Result<usize> {
        self.received.reserve(READ_SIZE);
        let length = self.stream.try_read_buf(&mut self.received)?;
        self.total_received += length;
        Ok(length)
    }
}

fn broken(error: &io::Error) -> Failure {
    Failure::Broken(error.to_string())
}
