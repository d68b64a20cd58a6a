//! Opens tunnels to endpoints for other entries.

use core::cell::Cell;
use core::pin::pin;
use core::str;
use core::time::Duration;
use std::io;
use std::net::TcpListener as StdListener;
use std::sync::Arc;

use bergamotshift_platform::socket::reset_on_close;
use futures_util::future::Either;
use futures_util::future::select;
use ntex::http::StatusCode;
use ntex::http::header::HeaderName;
use slog::info;
use thiserror::Error;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::io::Interest;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::endpoint::Endpoint;
use crate::exchange::limit_unsent;
use crate::observe::Topic;
use crate::serve::Active;
use crate::view::Shared;

/// Header with the identifier of the request that a tunnel is opened for.
pub(super) const REQUEST: HeaderName = HeaderName::from_static("bergamotshift-request");

/// Maximum number of tunnels that an entry has open for others. Each takes two descriptors and 16 KiB of buffers.
const MAX_TUNNELS: usize = 256;

/// Maximum number of bytes that are copied at once.
const COPIED_AT_ONCE: usize = 8 << 10;

/// Maximum size of the head of a request for a tunnel, in bytes.
const MAX_HEAD: usize = 1_024;

/// Time within which another entry has to send that head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for opening a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after a failure to accept a connection, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Opens tunnels for other entries until the process ends.
///
/// # Errors
///
/// Returns the error of the operating system if the listener cannot be used.
pub async fn serve(shared: Arc<Shared>, listener: StdListener) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let permits = Arc::new(Semaphore::new(MAX_TUNNELS));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                info!(shared.log.always(), "no tunnel accepted"; "cause" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (shared, permits) = (Arc::clone(&shared), Arc::clone(&permits));
        ntex::rt::spawn(async move { handle(&shared, &permits, stream).await });
    }
}

/// Answers one request for a tunnel, and copies bytes through the tunnel until it ends.
async fn handle(shared: &Arc<Shared>, permits: &Semaphore, mut entry: TcpStream) {
    let Ok(Ok(question)) = timeout(HEAD_TIMEOUT, read_question(&mut entry)).await else {
        return;
    };
    let permit = permits.try_acquire();
    let opened = match (&permit, find(shared, question.endpoint)) {
        (Err(_), _) => Err(Refusal::Full),
        (Ok(_), Err(refusal)) => Err(refusal),
        (Ok(_), Ok(endpoint)) => connect(shared, &endpoint).await,
    };
    let status = opened.as_ref().map_or_else(Refusal::status, |_| StatusCode::OK);
    if let Some((logger, left_out)) = shared.log.rate_limited(shared.clock.now(), Topic::Relay) {
        info!(logger, "tunnel for another entry"; "status" => status.as_u16(), "request" => question.request,
            "endpoint" => format!("{:016x}", question.endpoint), "open" => MAX_TUNNELS - permits.available_permits(),
            "cause" => opened.as_ref().err().map(ToString::to_string), "left_out" => left_out);
    }
    let answer = format!("HTTP/1.1 {} .\r\ncontent-length: 0\r\n\r\n", status.as_u16());
    if entry.write_all(answer.as_bytes()).await.is_err() {
        return;
    }
    if let Ok(mut endpoint) = opened {
        shared.metrics.relays.inc();
        let _active = Active::new(shared, None);
        // An error means that one side was reset; both are reset then.
        let _ = copy_both_ways(&mut entry, &mut endpoint).await;
    }
}

/// Copies bytes both ways until both sides have ended.
///
/// An endpoint that breaks an answer off may end its connection in order and reset it then. Nothing is read or written by then,
/// so the reset is waited for. If it ends its connection before it has received what the entry sent, its answer is not complete
/// either, unless its length says so; and what it sent before a reset is passed on first.
///
/// # Errors
///
/// Returns an error if one side is reset, or the endpoint ends before it has received everything.
async fn copy_both_ways(entry: &mut TcpStream, endpoint: &mut TcpStream) -> io::Result<()> {
    let (mut from_entry, mut to_entry) = entry.split();
    let (mut from_endpoint, mut to_endpoint) = endpoint.split();
    let is_writing = Cell::new(false);
    let mut requests = pin!(async {
        copy(&mut from_entry, &mut to_endpoint, &is_writing).await?;
        to_endpoint.shutdown().await.map_err(Broken::Target)
    });
    let has_entry_ended = {
        let is_answering = Cell::new(false);
        let answers = pin!(copy(&mut from_endpoint, &mut to_entry, &is_answering));
        match select(requests.as_mut(), answers).await {
            Either::Left((Ok(()), answers)) => {
                answers.await?;
                true
            }
            Either::Left((Err(Broken::Target(error)), answers)) => {
                answers.await?;
                return Err(error);
            }
            Either::Left((Err(broken), _)) => return Err(broken.into()),
            Either::Right((ended, _)) => {
                ended?;
                false
            }
        }
    };
    if is_writing.get() {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    to_entry.shutdown().await?;
    if has_entry_ended {
        return Ok(());
    }
    match select(requests, pin!(from_endpoint.ready(Interest::ERROR))).await {
        Either::Left((ended, _)) => Ok(ended?),
        Either::Right(_) => Err(io::ErrorKind::ConnectionReset.into()),
    }
}

/// Side of a tunnel that failed.
enum Broken {
    /// The one that is read from.
    Source(io::Error),
    /// The one that is written to.
    Target(io::Error),
}

impl From<Broken> for io::Error {
    fn from(broken: Broken) -> Self {
        match broken {
            Broken::Source(error) | Broken::Target(error) => error,
        }
    }
}

/// Copies bytes until the source ends; `is_writing` says whether some have been read and are not written yet.
///
/// # Errors
///
/// Returns the side that failed.
async fn copy(
    source: &mut (impl AsyncRead + Unpin),
    target: &mut (impl AsyncWrite + Unpin),
    is_writing: &Cell<bool>,
) -> Result<(), Broken> {
    let mut bytes = vec![0; COPIED_AT_ONCE];
    loop {
        let length = source.read(&mut bytes).await.map_err(Broken::Source)?;
        if length == 0 {
            return Ok(());
        }
        is_writing.set(true);
        target.write_all(&bytes[..length]).await.map_err(Broken::Target)?;
        is_writing.set(false);
    }
}

/// Reason why no tunnel is opened.
#[derive(Debug)]
#[derive(Error)]
enum Refusal {
    /// As many tunnels are open as this entry bears.
    #[error("all tunnels are in use")]
    Full,
    /// The endpoint is not registered, or leaves.
    #[error("the endpoint is unknown or leaves")]
    Unknown,
    /// This entry does not reach the endpoints of the service itself.
    #[error("this entry is cut off itself")]
    CutOff,
    /// The endpoint accepts no connection.
    #[error("no connection: {0}")]
    Unreached(io::Error),
}

impl Refusal {
    /// Returns the HTTP status. After 503 another entry may reach the endpoint.
    const fn status(&self) -> StatusCode {
        match self {
            Self::Full | Self::CutOff => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::NOT_FOUND,
            Self::Unreached(_) => StatusCode::BAD_GATEWAY,
        }
    }
}

/// Request of another entry for a tunnel.
struct Question {
    /// Hash of the endpoint.
    endpoint: u64,
    /// Identifier of the request.
    request: String,
}

/// Reads the head of a request for a tunnel.
async fn read_question(entry: &mut TcpStream) -> io::Result<Question> {
    entry.set_nodelay(true)?;
    reset_on_close(entry)?;
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        if head.len() >= MAX_HEAD || entry.read_buf(&mut head).await? == 0 {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    parse(&head).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

fn parse(head: &[u8]) -> Option<Question> {
    let mut lines = str::from_utf8(head).ok()?.lines();
    let target = lines.next()?.strip_prefix("CONNECT /")?.split(' ').next()?;
    let mut headers = lines.filter_map(|line| line.split_once(": "));
    let request = headers.find(|(name, _)| name.eq_ignore_ascii_case(REQUEST.as_str()));
    Some(Question {
        endpoint: u64::from_str_radix(target, 16).ok()?,
        request: request.map_or_else(String::new, |(_, id)| id.to_owned()),
    })
}

/// Returns the endpoint that a tunnel leads to, unless it leaves, or this entry is cut off from its service.
fn find(shared: &Shared, hash: u64) -> Result<Arc<Endpoint>, Refusal> {
    let view = shared.view.load();
    let endpoint = view.endpoint(hash).filter(|endpoint| !endpoint.is_leaving());
    let endpoint = endpoint.ok_or(Refusal::Unknown)?;
    if shared.reach.is_cut_off(&endpoint.registration.service) {
        return Err(Refusal::CutOff);
    }
    Ok(Arc::clone(endpoint))
}

/// Opens the connection to an endpoint.
async fn connect(shared: &Shared, endpoint: &Endpoint) -> Result<TcpStream, Refusal> {
    let connecting = TcpStream::connect(endpoint.registration.address);
    let opened = timeout(CONNECT_TIMEOUT, connecting).await;
    let opened = opened.unwrap_or_else(|_late| Err(io::ErrorKind::TimedOut.into()));
    let configured = opened.and_then(|stream| {
        stream.set_nodelay(true)?;
        reset_on_close(&stream)?;
        limit_unsent(&stream)?;
        Ok(stream)
    });
    match configured {
        Ok(stream) => {
            shared.record_reached(&endpoint.registration.service);
            Ok(stream)
        }
        Err(_) if shared.record_unreached(endpoint) => Err(Refusal::CutOff),
        Err(error) => Err(Refusal::Unreached(error)),
    }
}
