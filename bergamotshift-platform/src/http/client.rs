//! Sends one request and tells what may be concluded when no answer comes.

use core::cell::Cell;
use core::error::Error as StdError;
use core::pin::pin;
use core::time::Duration;
use std::rc::Rc;
use std::time::Instant;

use bergamotshift_core::throughput::Throughput;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use futures_util::stream;
use ntex::SharedCfg;
use ntex::client::ClientRequest;
use ntex::client::Connector;
use ntex::client::error::ClientError;
use ntex::client::error::ConnectError;
use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::StatusCode;
use ntex::http::body::Body;
use ntex::http::body::SizedStream;
use ntex::http::header;
use ntex::time::Millis;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use super::connector::Connector as Opener;
use super::signer::Bearer;
use super::signer::Signer;
use crate::Error;

/// The part of a call's time within which its connection has to come about. What fails by then was surely not sent, and
/// an answer still fits into the rest.
const CONNECTING: f64 = 0.75;

/// How much of a request or an answer has to go over within each time that a call may take, in bytes. Over the narrowest
/// links of VMs, 10 Mbit/s, it goes in a sixteenth of a second; a way that is slower by ten times is as good as silent.
const PACE: usize = 64 * 1_024;

/// Settings of the connection to one part of the platform.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where it is, such as `http://10.0.0.2:8000`.
    pub base: String,
    /// How long to wait for a whole answer, or for more of a long one.
    pub timeout: Duration,
    /// The largest answer taken, in bytes.
    pub limit: usize,
    /// The most connections at a time.
    pub connections: usize,
    /// Proves who asks.
    pub signer: Rc<dyn Signer>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            base: String::new(),
            timeout: Duration::from_secs(2),
            limit: 64 << 20,
            connections: 8,
            signer: Rc::new(Bearer::default()),
        }
    }
}

/// Sends requests to one part of the platform.
#[derive(Clone, Debug)]
pub struct Client {
    inner: ntex::client::Client,
    settings: Settings,
}

/// How much of a call has gone over so far, in bytes.
#[derive(Debug, Default)]
struct Moved {
    sent: Cell<usize>,
    received: Cell<usize>,
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Client {
    /// Makes a client; it connects with its first request.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] when the HTTP client cannot be set up.
    pub async fn new(settings: Settings) -> Result<Self, Error> {
        // The HTTP client sets up TLS in any case; whichever provider the process chose first stays.
        drop(rustls::crypto::ring::default_provider().install_default());
        let connector = Connector::default().limit(settings.connections).connector(Opener {
            patience: settings.timeout.mul_f64(CONNECTING),
        });
        let timeout = Millis::from(settings.timeout);
        let inner = ntex::client::Client::builder()
            .connector::<()>(connector)
            .response_timeout(timeout)
            .response_payload_limit(settings.limit)
            .response_payload_timeout(timeout)
            .disable_redirects()
            .build(SharedCfg::new("platform").build())
            .await
            .map_err(|cause| Error::Refused(cause.to_string()))?;
        Ok(Self { inner, settings })
    }

    /// Begins a request to a path below the base.
    pub fn request(&self, method: Method, path: &str) -> ClientRequest {
        self.inner.request(method, format!("{}{path}", self.settings.base))
    }

    /// Sends a request and reads the whole answer, within the time of the settings.
    ///
    /// # Errors
    ///
    /// Returns what may be concluded when there is no whole answer; any status is an answer.
    pub async fn send(&self, request: ClientRequest, body: Bytes) -> Result<Answer, Error> {
        self.send_within(self.settings.timeout, request, body).await
    }

    /// Sends a request and reads the whole answer, within `patience` and as much again each time that 64 kB more of
    /// both went over meanwhile.
    ///
    /// Failure: the HTTP client's own time limit begins when all of the request was sent. Symptom: a call to a silent
    /// platform waits for a connection or for room to send for as long as it likes, and leaves long after whoever asked
    /// for it has given up. One limit over everything ends the call, and its connection drops what was not delivered.
    ///
    /// Failure: an answer or a request has grown so large that the VM's link takes longer for it than a call may take.
    /// Symptom: it is given up and begun anew, for good, and the link is full of what is thrown away. What keeps moving is
    /// let move, however large; what is silent, or hardly moves, ends as soon as ever.
    ///
    /// A connection that was not made means that nothing was sent: `Refused`. Whatever fails later may have reached
    /// the platform, even a write to a pooled connection that the platform had closed: `Unknown`.
    ///
    /// # Errors
    ///
    /// Returns what may be concluded when there is no whole answer; any status is an answer.
    pub async fn send_within(&self, patience: Duration, request: ClientRequest, body: Bytes) -> Result<Answer, Error> {
        let request = request.timeout(Millis::from(patience));
        let moved = Rc::new(Moved::default());
        let began = Instant::now();
        let mut call = pin!(self.exchange(request, body, &moved));
        let pace = Throughput {
            bytes: PACE,
            within: patience,
        };
        let mut watch = pace.monitor();
        loop {
            if let Ok(ended) = timeout(patience, call.as_mut()).await {
                return ended;
            }
            let (sent, received) = (moved.sent.get(), moved.received.get());
            if !watch.is_sustained(sent + received) {
                let took = began.elapsed().as_millis();
                let cause = format!("no whole answer in time: {received} bytes of its body after {took} ms");
                return Err(Error::Unknown(cause));
            }
        }
    }

    /// Sends a request and reads its answer; `moved` is how much of both has gone over so far.
    async fn exchange(&self, request: ClientRequest, body: Bytes, moved: &Rc<Moved>) -> Result<Answer, Error> {
        let signed = self.settings.signer.sign(request, &body);
        let mut response = signed
            .send_body(outgoing(body, Rc::clone(moved)))
            .await
            .map_err(|cause| failure(&cause))?;
        let status = response.status();
        let headers = response.headers().clone();
        let mut body = BytesMut::new();
        while let Some(piece) = response.next().await {
            let piece = piece.map_err(|cause| Error::Unknown(cause.to_string()))?;
            body.extend_from_slice(&piece);
            moved.received.set(body.len());
            if body.len() > self.settings.limit {
                return Err(Error::Unknown("the answer is too large".to_owned()));
            }
        }
        Ok(Answer {
            status,
            headers,
            body: body.freeze(),
        })
    }
}

impl Answer {
    /// Parses a successful answer's JSON, or turns the answer into an error.
    ///
    /// # Errors
    ///
    /// Returns what a status that is no success means, or that the JSON is not what was expected.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, Error> {
        if !self.status.is_success() {
            return Err(self.error());
        }
        serde_json::from_slice(&self.body).map_err(|cause| Error::Unknown(cause.to_string()))
    }

    /// Turns an answer that is no success into an error.
    pub fn error(&self) -> Error {
        match self.status {
            StatusCode::TOO_MANY_REQUESTS => Error::Throttled {
                retry_after: self.retry_after(),
            },
            StatusCode::PRECONDITION_FAILED | StatusCode::CONFLICT => Error::Conflict,
            status if status.is_client_error() => Error::Refused(status.to_string()),
            // A server error may come after the write took effect.
            status => Error::Unknown(status.to_string()),
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        let seconds: f64 = self.headers.get(header::RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
        Duration::try_from_secs_f64(seconds).ok()
    }
}

/// Returns a request's body; a long one is handed over in pieces as the connection takes them, and counted.
fn outgoing(body: Bytes, moved: Rc<Moved>) -> Body {
    const PIECE: usize = PACE / 4;
    if body.len() <= PACE {
        return Body::from(ntex::util::Bytes::copy_from_slice(&body));
    }
    let length = body.len();
    let pieces = (0..length).step_by(PIECE).map(move |first| {
        let piece = &body[first..length.min(first + PIECE)];
        moved.sent.set(first + piece.len());
        Ok::<_, Rc<dyn StdError>>(ntex::util::Bytes::copy_from_slice(piece))
    });
    Body::from_message(SizedStream::new(length as u64, stream::iter(pieces)))
}

fn failure(error: &ClientError) -> Error {
    match error {
        // The client also says this when a connection ends after the request was sent, before its answer.
        ClientError::Connect(ConnectError::Disconnected(None)) => Error::Unknown(error.to_string()),
        ClientError::Connect(cause) => Error::Refused(cause.to_string()),
        _ => Error::Unknown(error.to_string()),
    }
}
