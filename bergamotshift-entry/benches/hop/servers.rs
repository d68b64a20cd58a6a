//! The endpoint and the bare hop.

use core::net::SocketAddr;
use std::io;
use std::net::TcpListener;
use std::thread;

use ntex::SharedCfg;
use ntex::client::Client;
use ntex::client::Connector;
use ntex::fn_service;
use ntex::http::HttpService;
use ntex::http::HttpServiceConfig;
use ntex::http::KeepAlive;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::header;
use ntex::rt::DefaultRuntime;
use ntex::rt::System;
use ntex::time::Seconds;

const ATTEMPT: &str = "x-bergamotshift-attempt";

/// A server that runs until the process ends.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
}

impl Server {
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts an endpoint that answers a few bytes.
    pub fn endpoint(workers: usize) -> Self {
        let (listener, address) = listen();
        run(move || {
            ntex::server::build()
                .workers(workers)
                .disable_signals()
                .listen("endpoint", listener, async |_| {
                    HttpService::new(fn_service(async |request: Request| {
                        Ok::<_, io::Error>(answer(&request))
                    }))
                })?
                .config("endpoint", config())
                .run_in_place()
        });
        Self { address }
    }

    /// Starts a reverse hop without any logic.
    pub fn hop(workers: usize, endpoint: SocketAddr) -> Self {
        let (listener, address) = listen();
        run(move || {
            ntex::server::build()
                .workers(workers)
                .disable_signals()
                .listen("hop", listener, async move |_| {
                    let connector = Connector::default().limit(65_536);
                    let client = Client::builder().connector::<()>(connector).disable_timeout();
                    let client = client.build(SharedCfg::default()).await.expect("a client");
                    HttpService::new(fn_service(move |request: Request| {
                        let client = client.clone();
                        async move { Ok::<_, io::Error>(pass(&client, endpoint, request).await) }
                    }))
                })?
                .config("hop", config())
                .run_in_place()
        });
        Self { address }
    }
}

/// Runs a server where it was made.
trait RunInPlace {
    fn run_in_place(self) -> io::Result<ntex::server::Server>;
}

impl RunInPlace for ntex::server::ServerBuilder {
    fn run_in_place(self) -> io::Result<ntex::server::Server> {
        Ok(self.run())
    }
}

fn run(start: impl FnOnce() -> io::Result<ntex::server::Server> + Send + 'static) {
    thread::spawn(move || {
        System::new("bench", DefaultRuntime).block_on(async move { start().expect("the server starts").await })
    });
}

fn listen() -> (TcpListener, SocketAddr) {
    const BACKLOG: i32 = 1024;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = ntex::server::create_tcp_listener(any, BACKLOG).expect("a loopback port");
    let address = listener.local_addr().expect("a bound address");
    (listener, address)
}

fn config() -> SharedCfg {
    let http = HttpServiceConfig::new().set_keepalive(KeepAlive::Timeout(Seconds(75)));
    SharedCfg::new("bench").add(http).build()
}

fn answer(request: &Request) -> Response {
    let mut response = Response::build(StatusCode::OK);
    if let Some(attempt) = request.headers().get(ATTEMPT) {
        response.header(ATTEMPT, attempt.clone());
    }
    response.content_type("application/json").body("{\"ok\":true}")
}

async fn pass(client: &Client, endpoint: SocketAddr, mut request: Request) -> Response {
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    let uri = format!("http://{endpoint}{path}");
    let mut outgoing = client.request(request.method().clone(), uri);
    for (name, value) in request.headers() {
        if !matches!(*name, header::HOST | header::CONTENT_LENGTH | header::CONNECTION) {
            outgoing.headers_mut().append(name.clone(), value.clone());
        }
    }
    let payload = request.take_payload();
    let sent = match payload {
        ntex::http::Payload::None => outgoing.send().await,
        payload => outgoing.send_stream(payload).await,
    };
    let Ok(incoming) = sent else {
        return Response::new(StatusCode::BAD_GATEWAY);
    };
    let mut response = Response::build(incoming.status());
    for (name, value) in incoming.headers() {
        if !matches!(
            *name,
            header::CONTENT_LENGTH | header::CONNECTION | header::TRANSFER_ENCODING
        ) {
            response.header(name.clone(), value.clone());
        }
    }
    match incoming.body().await {
        Ok(body) => response.body(body),
        Err(_) => Response::new(StatusCode::BAD_GATEWAY),
    }
}
