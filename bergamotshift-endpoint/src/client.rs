//! HTTP client for a thread's connections to endpoints.

use core::cell::RefCell;
use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::load;
use bergamotshift_platform::unread::Unread;
use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::stream;
use ntex::SharedCfg;
use ntex::client;
use ntex::client::Connector;
use ntex::client::error::ClientError;
use ntex::client::error::ConnectError;
use ntex::connect;
use ntex::http::Method;
use ntex::http::Payload;
use ntex::http::StatusCode;
use ntex::http::Uri;
use ntex::http::Version;
use ntex::http::error::PayloadError;
use ntex::http::header::CONTENT_LENGTH;
use ntex::http::header::TRANSFER_ENCODING;
use ntex::io::cfg::IoConfig;
use ntex::service::apply_fn_factory;
use ntex::time::Millis;
use ntex::time::Seconds;
use thiserror::Error;

use crate::answer::Answer;
use crate::answer::Failure;
use crate::call::Body;
use crate::call::Call;
use crate::call::Target;
use crate::header;
use crate::order;
use crate::order::Action;
use crate::order::Order;

/// Lowest HTTP status that is an error.
const MIN_ERROR_STATUS: u16 = 400;

/// Lowest HTTP status of an answer that is not followed by another one.
const MIN_FINAL_STATUS: u16 = 200;

/// Highest HTTP status; the client library takes any number of three digits.
const MAX_STATUS: u16 = 599;

/// Settings of a thread's connections.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Time after which an idle connection is closed. It is shorter than the five seconds for which endpoints keep idle
    /// connections at least, so that no request is sent on a connection that the endpoint is closing.
    pub keep_alive: Duration,
    /// Maximum number of open connections, over all endpoints.
    pub max_connections: usize,
    /// TLS configuration for the verification of endpoints, if they use TLS.
    pub tls: Option<Arc<rustls::ClientConfig>>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            keep_alive: Duration::from_secs(4),
            max_connections: 65_536,
            tls: None,
        }
    }
}

/// Error for an HTTP client that could not be created.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("cannot create the HTTP client for endpoints: {0}")]
pub struct Error(String);

/// HTTP client with a thread's connections to endpoints, pooled by address.
#[derive(Debug)]
pub struct Client {
    settings: Settings,
    inner: RefCell<client::Client>,
}

impl Client {
    /// Creates the client of the current thread.
    ///
    /// # Errors
    ///
    /// Returns an error when the client library rejects the settings.
    pub fn new(settings: Settings) -> Result<Self, Error> {
        let inner = RefCell::new(build(&settings)?);
        Ok(Self { settings, inner })
    }

    /// Sends a call and returns when the head of the answer has arrived.
    ///
    /// The answer must carry the attempt's identifier, or be an error without any identifier.
    ///
    /// # Errors
    ///
    /// Returns the failure; [`Failure::outcome`] tells whether the endpoint may have run the request.
    pub async fn send(&self, call: Call) -> Result<Answer, Failure> {
        let Call {
            target,
            attempt,
            method,
            path,
            mut headers,
            body,
            timeout,
        } = call;
        header::set_attempt(&mut headers, attempt);
        let uri = Uri::builder()
            .scheme(target.scheme())
            .authority(target.authority().clone())
            .path_and_query(path)
            .build()
            .map_err(|error| Failure::Encode(error.to_string()))?;
        let bodiless = method == Method::HEAD;
        let mut request = self.inner.borrow().request(method, uri).timeout(millis(timeout));
        *request.headers_mut() = headers;
        let sent = match body {
            Body::Empty => request.send().await,
            Body::Buffered(bytes) => request.send_body(bytes).await,
            Body::Streamed(payload) => request.send_stream(payload).await,
        };
        let response = sent.map_err(|error| classify(&error))?;
        let answered_attempt = header::attempt(response.headers());
        // A proxy in front of a service answers some errors itself and knows nothing of attempts. Such an answer
        // cannot belong to another call, because a connection whose exchange did not end is never reused.
        let bare_error = answered_attempt.is_none() && response.status().as_u16() >= MIN_ERROR_STATUS;
        if answered_attempt != Some(attempt) && !bare_error {
            // Either this connection or one that carried an empty body and is already back in the pool is out of step
            // and delivers the answer to another request. A new pool discards all of them.
            self.reset_pool();
            return Err(Failure::Mismatch);
        }
        let status = response.status();
        if !(MIN_FINAL_STATUS..=MAX_STATUS).contains(&status.as_u16()) {
            return Err(Failure::Malformed(format!("status {}", status.as_u16())));
        }
        let body = response.take_payload();
        Ok(Answer {
            status,
            headers: response.headers().clone(),
            body: if bodiless {
                body
            } else {
                with_declared_end(&response, body)?
            },
        })
    }

    /// Fetches the load report of an endpoint, and retries on a new connection when the first attempt breaks.
    ///
    /// When an endpoint has died and this thread still holds an idle connection to it, the request breaks as if a live
    /// endpoint had accepted it without an answer. The death would then not be attributed to the request that caused
    /// it, and that request would go on to the next endpoint. A new connection shows whether the endpoint still
    /// listens. Fetching the report twice is harmless.
    ///
    /// # Errors
    ///
    /// Returns the failure of the exchange. It is [`Failure::Connect`] only when no connection could be opened.
    pub async fn load(&self, target: &Target, path: &'static str, timeout: Duration) -> Result<load::Report, Failure> {
        let first = self.fetch_load(target, path, timeout).await;
        if !matches!(first, Err(Failure::Broken(_))) {
            return first;
        }
        self.reset_pool();
        self.fetch_load(target, path, timeout).await
    }

    async fn fetch_load(
        &self,
        target: &Target,
        path: &'static str,
        timeout: Duration,
    ) -> Result<load::Report, Failure> {
        let uri = Uri::builder()
            .scheme(target.scheme())
            .authority(target.authority().clone())
            .path_and_query(path)
            .build()
            .map_err(|error| Failure::Encode(error.to_string()))?;
        let request = self.inner.borrow().request(Method::GET, uri).timeout(millis(timeout));
        let response = request.send().await.map_err(|error| classify(&error))?;
        if response.status() != StatusCode::OK {
            return Err(Failure::Malformed(format!("status {}", response.status().as_u16())));
        }
        let body = response.body().timeout(millis(timeout)).await;
        let body = body.map_err(|error| match error {
            // The endpoint answers and may serve requests well; only its report is too large.
            PayloadError::Overflow => Failure::Malformed(error.to_string()),
            error => Failure::Broken(error.to_string()),
        })?;
        let report: load::Report =
            serde_json::from_slice(&body).map_err(|error| Failure::Malformed(error.to_string()))?;
        Ok(report.bounded())
    }

    /// Sends an order to an endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error when the order is not known to have taken effect. After [`order::Error::Failed`] it may have.
    pub async fn order(&self, target: &Target, order: Order, timeout: Duration) -> Result<(), order::Error> {
        let path = match order.action {
            Action::Drain => "/_drain",
            _ => "/_orders",
        };
        let uri = Uri::builder()
            .scheme(target.scheme())
            .authority(target.authority().clone())
            .path_and_query(path)
            .build()
            .map_err(|error| Failure::Encode(error.to_string()))?;
        let request = self.inner.borrow().request(Method::POST, uri);
        let request = request
            .timeout(millis(timeout))
            .header(order::FENCING, order.fencing.to_string());
        let response = request.send_json(&order).await.map_err(|error| classify(&error))?;
        match response.status() {
            status if status.is_success() => Ok(()),
            StatusCode::CONFLICT => Err(order::Error::Stale),
            status => Err(order::Error::Refused(status.as_u16())),
        }
    }

    /// Discards every pooled connection. Exchanges in flight keep theirs.
    fn reset_pool(&self) {
        if let Ok(fresh) = build(&self.settings) {
            self.inner.replace(fresh);
        }
    }
}

/// Returns the body of an answer that declares where its body ends; its stream fails if the connection ends before.
///
/// A body that ends with the connection cannot be told from one that was cut by the endpoint's death. The client
/// library reads such a body as empty, and the caller would receive an empty answer as complete. It also reads a body as
/// empty whose framing it does not follow, and one of HTTP/1.0 until the end of the connection, whatever its length is.
///
/// # Errors
///
/// Returns [`Failure::Malformed`] when the end is not declared, or the library does not look for it.
fn with_declared_end(answer: &client::ClientResponse, body: Payload) -> Result<Payload, Failure> {
    let headers = answer.headers();
    if matches!(answer.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        return Ok(body);
    }
    let is_read = !matches!(body, Payload::None);
    let length = headers.get(CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.trim().parse().ok());
    match length {
        Some(0) => Ok(body),
        Some(length) if is_read && answer.version() == Version::HTTP_10 => Ok(sized(body, length)),
        Some(_) if is_read => Ok(body),
        None if is_read && headers.contains_key(TRANSFER_ENCODING) => Ok(body),
        _ => Err(Failure::Malformed(
            "the answer has neither Content-Length nor chunks".to_owned(),
        )),
    }
}

/// Returns a body whose stream fails if it is shorter than its declared length.
fn sized(body: Payload, length: u64) -> Payload {
    let parts = stream::try_unfold((body, length), async |(mut body, left)| match body.next().await {
        Some(part) => {
            let part = part?;
            let left = left.saturating_sub(part.len() as u64);
            Ok(Some((part, (body, left))))
        }
        None if left == 0 => Ok(None),
        None => Err(PayloadError::Incomplete(None)),
    });
    Payload::from_stream(parts)
}

fn build(settings: &Settings) -> Result<client::Client, Error> {
    let mut connector = Connector::default()
        .keep_alive(Seconds(
            settings.keep_alive.as_secs().clamp(1, u64::from(u16::MAX)) as u16
        ))
        .limit(settings.max_connections)
        .connector(apply_fn_factory(
            connect::Connector::new(),
            async move |request: connect::Connect<Uri>, opening| Ok(opening.call(request).await?.add_filter(Unread)),
        ));
    if let Some(tls) = &settings.tls {
        connector = connector.secure_connector(apply_fn_factory(
            connect::rustls::TlsConnector::new(tls.as_ref().clone()),
            async move |request: connect::Connect<Uri>, opening| Ok(opening.call(request).await?.add_filter(Unread)),
        ));
    }
    let config = SharedCfg::new("endpoints").add(IoConfig::new().set_connect_timeout(millis(settings.connect_timeout)));
    client::Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .build(config)
        .now_or_never()
        .ok_or_else(|| Error("the client library did not create the client immediately".to_owned()))?
        .map_err(|error| Error(error.to_string()))
}

fn millis(duration: Duration) -> Millis {
    // Zero would disable the timeout.
    Millis(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX).max(1))
}

fn classify(error: &ClientError) -> Failure {
    match error {
        // The library reports a connection that closed before the answer as `Disconnected(None)`. The request had
        // already been sent, so this is not a failure to connect.
        ClientError::Connect(ConnectError::Disconnected(None)) => {
            Failure::Broken("closed before the answer".to_owned())
        }
        ClientError::Connect(error) => Failure::Connect(error.to_string()),
        ClientError::Timeout => Failure::Timeout,
        ClientError::Error(error) => Failure::Caller(error.to_string()),
        ClientError::Url(_) | ClientError::Http(_) => Failure::Encode(error.to_string()),
        ClientError::Response(error) => Failure::Malformed(error.to_string()),
        ClientError::Send(_) | ClientError::Request(_) | ClientError::H2(_) | ClientError::TunnelNotSupported => {
            Failure::Broken(error.to_string())
        }
    }
}
