//! A plain endpoint that keeps the trace headers of the attempts it gets.

use core::net::SocketAddr;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;

use ntex::fn_service;
use ntex::http::HttpService;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::test;

const ATTEMPT: &str = "x-bergamotshift-attempt";

/// An endpoint on an ephemeral port.
#[derive(Debug)]
pub struct Endpoint {
    server: test::TestServer,
    parents: Arc<Mutex<Vec<Option<String>>>>,
}

impl Endpoint {
    pub async fn start() -> Self {
        let parents = Arc::new(Mutex::new(Vec::new()));
        let kept = Arc::clone(&parents);
        let server = test::server(async move || {
            let kept = Arc::clone(&kept);
            HttpService::new(fn_service(move |request: Request| {
                let response = answer(&kept, &request);
                async move { Ok::<_, io::Error>(response) }
            }))
        })
        .await;
        Self { server, parents }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the `traceparent` of each attempt.
    pub fn parents(&self) -> Vec<Option<String>> {
        self.parents.lock().unwrap().clone()
    }
}

fn answer(kept: &Mutex<Vec<Option<String>>>, request: &Request) -> Response {
    let header = |name| request.headers().get(name).and_then(|value| value.to_str().ok());
    let Some(attempt) = header(ATTEMPT) else {
        return Response::new(StatusCode::NOT_FOUND);
    };
    kept.lock().unwrap().push(header("traceparent").map(str::to_owned));
    Response::build(StatusCode::OK).header(ATTEMPT, attempt).body("done")
}
