//! A thread's connections to endpoints.

use core::cell::RefCell;
use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::load;
use futures_util::FutureExt;
use ntex::SharedCfg;
use ntex::client;
use ntex::client::Connector;
use ntex::client::error::ClientError;
use ntex::client::error::ConnectError;
use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::StatusCode;
use ntex::http::Uri;
use ntex::http::error::PayloadError;
use ntex::http::header::CONTENT_LENGTH;
use ntex::http::header::TRANSFER_ENCODING;
use ntex::io::cfg::IoConfig;
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

/// Statuses from here on are errors.
const FIRST_ERROR: u16 = 400;

/// How a thread's connections behave.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How long a connection may take to open.
    pub connect_timeout: Duration,
    /// How long an idle connection is kept. Endpoints keep theirs for at least five seconds, so a shorter time here
    /// means that requests do not meet a connection that is just being closed.
    pub keep_alive: Duration,
    /// The largest number of connections open at once, over all endpoints.
    pub max_connections: usize,
    /// How endpoints prove themselves over TLS, when they do.
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

/// The HTTP client could not be made.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("cannot make the client for endpoints: {0}")]
pub struct Error(String);

/// A thread's connections to endpoints, pooled by address.
#[derive(Debug)]
pub struct Client {
    settings: Settings,
    inner: RefCell<client::Client>,
}

impl Client {
    /// Makes the connections of the current thread.
    ///
    /// # Errors
    ///
    /// Returns an error when the client library refuses the settings.
    pub fn new(settings: Settings) -> Result<Self, Error> {
        let inner = RefCell::new(build(&settings)?);
        Ok(Self { settings, inner })
    }

    /// Sends a call and returns once the answer's head is there and carries the attempt's identifier.
    ///
    /// # Errors
    ///
    /// Returns what went wrong and, by it, whether the endpoint can have run the request.
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
        let response = sent.map_err(|error| failure(&error))?;
        let carried = header::attempt(response.headers());
        // What stands in front of a service answers some errors itself and knows nothing of attempts. Such an answer
        // cannot belong to another call: a connection whose exchange did not end is never used again.
        let bare_error = carried.is_none() && response.status().as_u16() >= FIRST_ERROR;
        if carried != Some(attempt) && !bare_error {
            // A crossed answer means that this connection, or one that carried an empty body and is back in the
            // pool already, is out of step. A new pool leaves all of them behind.
            self.reset_pool();
            return Err(Failure::Mismatch);
        }
        if !bodiless && !announces_end(response.status(), response.headers()) {
            return Err(Failure::Malformed(
                "the answer announces neither length nor chunks".to_owned(),
            ));
        }
        Ok(Answer {
            status: response.status(),
            headers: response.headers().clone(),
            body: response.take_payload(),
        })
    }

    /// Asks an endpoint for its load report, over a new connection when a kept one breaks.
    ///
    /// Failure: an endpoint died and this thread has not yet seen its kept connection end. Symptom: the question breaks
    /// like one that a living endpoint took and did not answer, so the death counts against nobody, and a request that
    /// kills endpoints goes on to the next. A new connection tells whether anybody listens; asking twice does no harm.
    ///
    /// # Errors
    ///
    /// Returns what went wrong on the way; [`Failure::Connect`] only when nothing listens there.
    pub async fn load(&self, target: &Target, path: &'static str, timeout: Duration) -> Result<load::Report, Failure> {
        let first = self.ask_load(target, path, timeout).await;
        if !matches!(first, Err(Failure::Broken(_))) {
            return first;
        }
        self.reset_pool();
        self.ask_load(target, path, timeout).await
    }

    async fn ask_load(&self, target: &Target, path: &'static str, timeout: Duration) -> Result<load::Report, Failure> {
        let uri = Uri::builder()
            .scheme(target.scheme())
            .authority(target.authority().clone())
            .path_and_query(path)
            .build()
            .map_err(|error| Failure::Encode(error.to_string()))?;
        let request = self.inner.borrow().request(Method::GET, uri).timeout(millis(timeout));
        let response = request.send().await.map_err(|error| failure(&error))?;
        if response.status() != StatusCode::OK {
            return Err(Failure::Malformed(format!("status {}", response.status().as_u16())));
        }
        let body = response.body().timeout(millis(timeout)).await;
        let body = body.map_err(|error| match error {
            // It answers, and its requests may go well; a report of that size is none.
            PayloadError::Overflow => Failure::Malformed(error.to_string()),
            error => Failure::Broken(error.to_string()),
        })?;
        let report: load::Report =
            serde_json::from_slice(&body).map_err(|error| Failure::Malformed(error.to_string()))?;
        Ok(report.bounded())
    }

    /// Gives an endpoint an order.
    ///
    /// # Errors
    ///
    /// Returns why it had no effect; after a [`order::Error::Failed`] it may have had one.
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
        let response = request.send_json(&order).await.map_err(|error| failure(&error))?;
        match response.status() {
            status if status.is_success() => Ok(()),
            StatusCode::CONFLICT => Err(order::Error::Stale),
            status => Err(order::Error::Refused(status.as_u16())),
        }
    }

    /// Leaves every pooled connection behind; exchanges under way keep theirs.
    fn reset_pool(&self) {
        if let Ok(fresh) = build(&self.settings) {
            self.inner.replace(fresh);
        }
    }
}

/// Returns whether an answer says where its body ends.
///
/// Failure: an endpoint ends its body by closing the connection, which looks like its death. Symptom: the client
/// library reads such a body as empty, and the caller gets an empty answer as whole. Refusing it is enough: an answer
/// whose end was announced is checked against the announcement.
fn announces_end(status: StatusCode, headers: &HeaderMap) -> bool {
    let bodiless = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    bodiless || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

fn build(settings: &Settings) -> Result<client::Client, Error> {
    let mut connector = Connector::default()
        .keep_alive(Seconds(
            settings.keep_alive.as_secs().clamp(1, u64::from(u16::MAX)) as u16
        ))
        .limit(settings.max_connections);
    if let Some(tls) = &settings.tls {
        connector = connector.rustls(tls.as_ref().clone());
    }
    let config = SharedCfg::new("endpoints").add(IoConfig::new().set_connect_timeout(millis(settings.connect_timeout)));
    client::Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .build(config)
        .now_or_never()
        .ok_or_else(|| Error("the client was not ready at once".to_owned()))?
        .map_err(|error| Error(error.to_string()))
}

fn millis(span: Duration) -> Millis {
    // Zero would mean no timeout at all.
    Millis(u32::try_from(span.as_millis()).unwrap_or(u32::MAX).max(1))
}

fn failure(error: &ClientError) -> Failure {
    match error {
        // The library reports a connection that closed before the answer as `Disconnected(None)`: by then the
        // request had left, so it does not count as a failure to connect.
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
