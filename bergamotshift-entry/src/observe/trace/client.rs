//! The HTTP client through which spans leave, on a thread of its own.
//!
//! The exporter blocks a thread while it waits, and its client must be usable from any thread; the HTTP client of the
//! entry stays on one. A thread with a runtime of its own stands between them.

use core::time::Duration;
use std::io;
use std::thread;

use async_trait::async_trait;
use ntex::SharedCfg;
use ntex::client;
use ntex::rt::DefaultRuntime;
use ntex::rt::System;
use ntex::time::Millis;
use opentelemetry_http::Bytes;
use opentelemetry_http::HttpClient;
use opentelemetry_http::HttpError;
use opentelemetry_http::Request;
use opentelemetry_http::Response;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// The largest answer of a collector, in bytes.
const LARGEST: usize = 64 * 1024;

#[derive(Debug)]
struct Exchange {
    request: Request<Bytes>,
    answer: oneshot::Sender<Result<Response<Bytes>, HttpError>>,
}

/// Hands requests to the thread that sends them.
#[derive(Debug)]
pub(super) struct Client {
    exchanges: mpsc::UnboundedSender<Exchange>,
}

impl Client {
    /// Starts the thread; it ends when the client is dropped.
    pub(super) fn start(timeout: Duration, logger: Logger) -> io::Result<Self> {
        // The exporter waits for each answer, so at most one exchange is in the channel.
        let (exchanges, receiver) = mpsc::unbounded_channel();
        let run = move || System::new("traces", DefaultRuntime).block_on(serve(receiver, timeout, logger));
        thread::Builder::new().name("traces".to_owned()).spawn(run)?;
        Ok(Self { exchanges })
    }
}

#[async_trait]
impl HttpClient for Client {
    async fn send_bytes(&self, request: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let (answer, response) = oneshot::channel();
        self.exchanges.send(Exchange { request, answer })?;
        response.await?
    }
}

/// Sends requests until the client is gone; logs when the collector is lost and when it is back.
async fn serve(mut exchanges: mpsc::UnboundedReceiver<Exchange>, timeout: Duration, logger: Logger) {
    let timeout = Millis::from(timeout);
    let client = client::Client::builder()
        .response_timeout(timeout)
        .response_payload_timeout(timeout)
        .response_payload_limit(LARGEST)
        .build(SharedCfg::default())
        .await;
    let client = match client {
        Ok(client) => client,
        Err(error) => return warn!(logger, "cannot make the client for traces"; "error" => %error),
    };
    let mut reached = true;
    while let Some(Exchange { request, answer }) = exchanges.recv().await {
        let outcome = exchange(&client, request).await;
        match &outcome {
            Ok(response) if response.status().is_success() => {
                if !core::mem::replace(&mut reached, true) {
                    info!(logger, "traces are taken again");
                }
            }
            Ok(response) => {
                if core::mem::replace(&mut reached, false) {
                    warn!(logger, "traces are refused"; "status" => response.status().as_u16());
                }
            }
            Err(error) => {
                if core::mem::replace(&mut reached, false) {
                    warn!(logger, "cannot send traces"; "error" => %error);
                }
            }
        }
        // The exporter may have given up waiting.
        drop(answer.send(outcome));
    }
}

async fn exchange(client: &client::Client, request: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
    let (head, body) = request.into_parts();
    let mut outgoing = client.request(head.method, head.uri.to_string());
    for (name, value) in &head.headers {
        outgoing = outgoing.header(name.as_str(), value.as_bytes());
    }
    let answer = outgoing
        .send_body(body.to_vec())
        .await
        .map_err(|error| error.to_string())?;
    let body = answer.body().await.map_err(|error| error.to_string())?;
    let mut response = Response::new(Bytes::copy_from_slice(&body));
    *response.status_mut() = answer.status();
    Ok(response)
}
