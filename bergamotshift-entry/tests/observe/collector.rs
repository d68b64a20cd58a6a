//! A stand-in for a collector of traces, which decodes what it gets.

use core::net::SocketAddr;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;

use ntex::fn_service;
use ntex::http::HttpService;
use ntex::http::Method;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::test;
use ntex::util::BytesMut;
use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceRequest;
use opentelemetry_proto::tonic::trace::v1::Span;
use prost::Message;

/// A collector on an ephemeral port.
#[derive(Debug)]
pub struct Collector {
    server: test::TestServer,
    requests: Arc<Mutex<Vec<ExportTraceServiceRequest>>>,
}

impl Collector {
    pub async fn start() -> Self {
        let requests = Arc::new(Mutex::new(Vec::new()));
        let kept = Arc::clone(&requests);
        let server = test::server(async move || {
            let kept = Arc::clone(&kept);
            HttpService::new(fn_service(move |request: Request| take(Arc::clone(&kept), request)))
        })
        .await;
        Self { server, requests }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns all spans that came.
    pub fn spans(&self) -> Vec<Span> {
        let requests = self.requests.lock().unwrap();
        let resources = requests.iter().flat_map(|request| &request.resource_spans);
        let scopes = resources.flat_map(|resource| &resource.scope_spans);
        scopes.flat_map(|scope| scope.spans.clone()).collect()
    }

    /// Returns an attribute of the resource that the spans came from.
    pub fn resource(&self, key: &str) -> Option<String> {
        let requests = self.requests.lock().unwrap();
        let resource = requests.first()?.resource_spans.first()?.resource.as_ref()?;
        let attribute = resource.attributes.iter().find(|attribute| attribute.key == key)?;
        let value = attribute.value.as_ref()?.value.as_ref()?;
        match value {
            opentelemetry_proto::tonic::common::v1::any_value::Value::StringValue(text) => Some(text.clone()),
            _ => None,
        }
    }
}

async fn take(kept: Arc<Mutex<Vec<ExportTraceServiceRequest>>>, mut request: Request) -> io::Result<Response> {
    let expected = request.method() == Method::POST
        && request.path() == "/v1/traces"
        && request
            .headers()
            .get("content-type")
            .is_some_and(|kind| kind.as_bytes() == b"application/x-protobuf");
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        body.extend_from_slice(&chunk.map_err(|error| io::Error::other(error.to_string()))?);
    }
    let decoded = ExportTraceServiceRequest::decode(&*body);
    match decoded {
        Ok(decoded) if expected => {
            kept.lock().unwrap().push(decoded);
            Ok(Response::new(StatusCode::OK))
        }
        _ => Ok(Response::new(StatusCode::BAD_REQUEST)),
    }
}
