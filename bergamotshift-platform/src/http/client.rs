//! HTTP client for calls to the platform, whose errors tell whether a call may have taken effect.

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

use super::connector::Factory as ConnectorFactory;
use super::signer::Bearer;
use super::signer::Signer;
use crate::Error;

/// Fraction of a call's timeout that is allowed for opening a connection.
///
/// A call that fails in this time was certainly not sent, and the rest of the timeout still leaves time for an answer.
const CONNECT_FRACTION: f64 = 0.75;

/// Minimum number of bytes of the request and the answer that have to be transferred in each timeout interval of a
/// call.
///
/// The slowest links of VMs, 10 Mbit/s, transfer them in a sixteenth of a second. With the timeouts in use, only
/// a link that is more than ten times slower counts as silent.
const MIN_BYTES_PER_TIMEOUT: usize = 64 * 1_024;

/// Settings of the client of one service of the platform.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Base URL of the service, such as `http://10.0.0.2:8000`.
    pub base: String,
    /// Timeout for a complete answer, or for further progress of a long transfer.
    pub timeout: Duration,
    /// Maximum size of an answer's body, in bytes.
    pub max_answer_bytes: usize,
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Signer that authenticates the requests.
    pub signer: Rc<dyn Signer>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            base: String::new(),
            timeout: Duration::from_secs(2),
            max_answer_bytes: 64 << 20,
            max_connections: 8,
            signer: Rc::new(Bearer::default()),
        }
    }
}

/// Client of one service of the platform.
#[derive(Clone, Debug)]
pub struct Client {
    inner: ntex::client::Client,
    settings: Settings,
}

/// Progress of a call: the numbers of body bytes transferred so far.
#[derive(Debug, Default)]
struct Progress {
    sent: Cell<usize>,
    received: Cell<usize>,
}

/// Complete answer.
#[derive(Debug)]
pub struct Answer {
    /// Status code of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
}

impl Client {
    /// Creates a client, which connects when it sends its first request.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] if the HTTP client cannot be created.
    pub async fn new(settings: Settings) -> Result<Self, Error> {
        // The HTTP client always configures TLS and needs a provider. If the process has already installed one, it is
        // kept.
        drop(rustls::crypto::ring::default_provider().install_default());
        let connector = Connector::default()
            .limit(settings.max_connections)
            .connector(ConnectorFactory {
                connect_timeout: settings.timeout.mul_f64(CONNECT_FRACTION),
            });
        let timeout = Millis::from(settings.timeout);
        let inner = ntex::client::Client::builder()
            .connector::<()>(connector)
            .response_timeout(timeout)
            .response_payload_limit(settings.max_answer_bytes)
            .response_payload_timeout(timeout)
            .disable_redirects()
            .build(SharedCfg::new("platform").build())
            .await
            .map_err(|cause| Error::Refused(cause.to_string()))?;
        Ok(Self { inner, settings })
    }

    /// Creates a request for a path below the base URL.
    pub fn request(&self, method: Method, path: &str) -> ClientRequest {
        self.inner.request(method, format!("{}{path}", self.settings.base))
    }

    /// Sends a request and reads the complete answer, with the timeout of the settings.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete answer was received. An answer of any status is not an error.
    pub async fn send(&self, request: ClientRequest, body: Bytes) -> Result<Answer, Error> {
        self.send_within(self.settings.timeout, request, body).await
    }

    /// Sends a request and reads the complete answer within `call_timeout`.
    ///
    /// The timeout is extended by another `call_timeout` each time that at least 64 KiB of the request and the answer
    /// were transferred during the last one.
    ///
    /// The timeout covers the whole call, including opening a connection and sending the request. The timeout of the
    /// HTTP client itself only starts when the request was sent completely. With it alone, a call to a silent platform
    /// could wait for a connection or for space in the send buffer without a limit, and be sent long after its caller
    /// gave up. Ending the call here also makes its connection discard what was not delivered.
    ///
    /// A fixed timeout would fail for requests and answers that take longer than that over the VM's link: they would be
    /// aborted and retried forever, and the link would be filled with discarded data. The extension lets a transfer of
    /// any size finish while it makes progress, and ends a stalled one at the end of the interval.
    ///
    /// If no connection was opened, nothing was sent, and the error is `Refused`. After any later failure, including a
    /// write to a pooled connection that the platform had closed, the call may have reached the platform, and the error
    /// is `Unknown`.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete answer was received. An answer of any status is not an error.
    pub async fn send_within(
        &self,
        call_timeout: Duration,
        request: ClientRequest,
        body: Bytes,
    ) -> Result<Answer, Error> {
        let request = request.timeout(Millis::from(call_timeout));
        let progress = Rc::new(Progress::default());
        let start = Instant::now();
        let mut call = pin!(self.exchange(request, body, &progress));
        let minimum = Throughput {
            bytes: MIN_BYTES_PER_TIMEOUT,
            within: call_timeout,
        };
        let mut monitor = minimum.monitor();
        loop {
            if let Ok(result) = timeout(call_timeout, call.as_mut()).await {
                return result;
            }
            let (sent, received) = (progress.sent.get(), progress.received.get());
            if !monitor.is_sustained(sent + received) {
                let elapsed_ms = start.elapsed().as_millis();
                let cause = format!("no whole answer in time: {received} bytes of its body after {elapsed_ms} ms");
                return Err(Error::Unknown(cause));
            }
        }
    }

    /// Sends a request and reads its answer, recording the progress of both.
    async fn exchange(&self, request: ClientRequest, body: Bytes, progress: &Rc<Progress>) -> Result<Answer, Error> {
        let signed = self.settings.signer.sign(request, &body);
        let mut response = signed
            .send_body(request_body(body, Rc::clone(progress)))
            .await
            .map_err(|cause| classify(&cause))?;
        let status = response.status();
        let headers = response.headers().clone();
        let mut body = BytesMut::new();
        while let Some(chunk) = response.next().await {
            let chunk = chunk.map_err(|cause| Error::Unknown(cause.to_string()))?;
            body.extend_from_slice(&chunk);
            progress.received.set(body.len());
            if body.len() > self.settings.max_answer_bytes {
                return Err(Error::Unknown("the answer exceeds the size limit".to_owned()));
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
    /// Parses the JSON body of a successful answer; returns an error for any other answer.
    ///
    /// # Errors
    ///
    /// Returns [`Answer::error`] if the status is not a success, and [`Error::Unknown`] if the JSON is invalid.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, Error> {
        if !self.status.is_success() {
            return Err(self.error());
        }
        serde_json::from_slice(&self.body).map_err(|cause| Error::Unknown(cause.to_string()))
    }

    /// Converts an unsuccessful answer into an error.
    pub fn error(&self) -> Error {
        match self.status {
            StatusCode::TOO_MANY_REQUESTS => Error::Throttled {
                retry_after: self.retry_after(),
            },
            StatusCode::PRECONDITION_FAILED | StatusCode::CONFLICT => Error::Conflict,
            status if status.is_client_error() => Error::Refused(status.to_string()),
            // A server error may be returned although the call took effect.
            status => Error::Unknown(status.to_string()),
        }
    }

    /// Returns the delay of the `Retry-After` header, if it is a number of seconds.
    fn retry_after(&self) -> Option<Duration> {
        let seconds: f64 = self.headers.get(header::RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
        Duration::try_from_secs_f64(seconds).ok()
    }
}

/// Creates the body of a request.
///
/// A long body is streamed in chunks as the connection accepts them, so that the bytes sent so far can be counted.
fn request_body(body: Bytes, progress: Rc<Progress>) -> Body {
    const CHUNK_BYTES: usize = MIN_BYTES_PER_TIMEOUT / 4;
    if body.len() <= MIN_BYTES_PER_TIMEOUT {
        return Body::from(ntex::util::Bytes::copy_from_slice(&body));
    }
    let length = body.len();
    let chunks = (0..length).step_by(CHUNK_BYTES).map(move |first| {
        let chunk = &body[first..length.min(first + CHUNK_BYTES)];
        progress.sent.set(first + chunk.len());
        Ok::<_, Rc<dyn StdError>>(ntex::util::Bytes::copy_from_slice(chunk))
    });
    Body::from_message(SizedStream::new(length as u64, stream::iter(chunks)))
}

/// Converts an error of the HTTP client by whether the request may have been sent.
fn classify(error: &ClientError) -> Error {
    match error {
        // The client also returns this error if a connection is closed after the request was sent and before its
        // answer.
        ClientError::Connect(ConnectError::Disconnected(None)) => Error::Unknown(error.to_string()),
        ClientError::Connect(cause) => Error::Refused(cause.to_string()),
        _ => Error::Unknown(error.to_string()),
    }
}
