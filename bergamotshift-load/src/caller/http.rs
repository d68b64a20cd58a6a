//! The HTTP client of one thread.

use core::net::SocketAddr;
use core::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use ntex::client::Client;
use ntex::client::ClientRequest;
use ntex::client::ClientResponse;
use ntex::client::error::ClientError;
use ntex::http::Method;
use ntex::time::Millis;

use crate::client;
use crate::work::Kind;
use crate::work::Request;

const CONTROL_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends requests over pooled connections.
#[derive(Debug)]
pub(crate) struct Http {
    client: Client,
    authorization: Option<String>,
}

impl Http {
    /// Makes a client that sends this bearer key; an empty one sends none.
    pub(crate) async fn new(key: &str) -> Self {
        let client = client::build().await;
        Self {
            client,
            authorization: (!key.is_empty()).then(|| format!("Bearer {key}")),
        }
    }

    /// Sends a caller's request and returns the answer's head.
    pub(crate) async fn send(
        &self,
        entry: SocketAddr,
        request: &Request,
        timeout: Duration,
        last_event: Option<&str>,
    ) -> Result<ClientResponse, ClientError> {
        let method = if request.kind == Kind::Get {
            Method::GET
        } else {
            Method::POST
        };
        let mut call = self
            .call(method, entry, &request.path, timeout)
            .header("idempotency-key", request.key.as_str());
        if request.kind != Kind::Get {
            call = call.content_type("application/json");
        }
        if request.kind == Kind::Job {
            call = call.header("prefer", "respond-async");
        }
        if let Some(id) = last_event {
            call = call.header("last-event-id", id);
        }
        call.send_body(ntex::util::Bytes::copy_from_slice(&request.body)).await
    }

    /// Fetches a path from an entry and returns the answer's head.
    pub(crate) async fn fetch(
        &self,
        entry: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<ClientResponse, ClientError> {
        self.call(Method::GET, entry, path, timeout).send().await
    }

    /// Returns the body of a successful answer to a GET.
    pub(crate) async fn get(&self, address: SocketAddr, path: &str) -> Option<Bytes> {
        let response = self.fetch(address, path, CONTROL_TIMEOUT).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        body(response, CONTROL_TIMEOUT).await.ok()
    }

    /// Posts JSON and waits for a successful answer.
    pub(crate) async fn post(&self, address: SocketAddr, path: &str, body: &str) -> Result<(), String> {
        let call = self
            .call(Method::POST, address, path, CONTROL_TIMEOUT)
            .content_type("application/json");
        let response = call
            .send_body(body.to_owned())
            .await
            .map_err(|cause| cause.to_string())?;
        if response.status().is_success() {
            return Ok(());
        }
        Err(format!("{address}{path} answered {}", response.status()))
    }

    fn call(&self, method: Method, address: SocketAddr, path: &str, timeout: Duration) -> ClientRequest {
        let mut call = self.client.request(method, format!("http://{address}{path}"));
        if let Some(authorization) = &self.authorization {
            call = call.header("authorization", authorization.as_str());
        }
        call.address(address).timeout(Millis::from(timeout))
    }
}

/// Reads a body to its end, however long, while no part of it takes longer than `silence`.
pub(super) async fn body(mut response: ClientResponse, silence: Duration) -> Result<Bytes, String> {
    let mut whole = Vec::new();
    loop {
        match ntex::time::timeout(silence, response.next()).await {
            Ok(Some(Ok(part))) => whole.extend_from_slice(&part),
            Ok(Some(Err(cause))) => return Err(cause.to_string()),
            Ok(None) => return Ok(whole.into()),
            Err(()) => return Err("the answer fell silent".to_owned()),
        }
    }
}
