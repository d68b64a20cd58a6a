//! An endpoint that costs little: an echo as the plain stand-in gives it, and a stream whose tokens say when they left.

use core::net::Ipv4Addr;
use core::net::SocketAddr;
use core::time::Duration;
use std::io;
use std::net::TcpListener;
use std::sync::mpsc;
use std::thread;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bergamotshift_core::fingerprint::Fingerprint;
use futures_util::stream;
use ntex::server::create_tcp_listener;
use ntex::util::Bytes;
use ntex::web;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;

/// Names the service in echoes.
const SERVICE: &str = "app";
const ATTEMPT: &str = "x-bergamotshift-attempt";
const WORKERS: usize = 3;
const BACKLOG: i32 = 4_096;

/// Time between two tokens of a stream.
pub const INTERVAL: Duration = Duration::from_millis(50);

/// Tokens of a stream.
pub const TOKENS: usize = 120;

/// Stands before the microseconds in a token.
pub const MARK: &str = "at=";

/// A running endpoint, which ends with its process.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
}

impl Server {
    pub fn start() -> Self {
        let listener = create_tcp_listener((Ipv4Addr::LOCALHOST, 0).into(), BACKLOG).expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let (sender, started) = mpsc::channel();
        thread::spawn(move || {
            let system = ntex::rt::System::build()
                .name("upstream")
                .build(ntex::rt::DefaultRuntime);
            system.block_on(async move {
                let server = serve(listener)?;
                sender.send(()).expect("the starter waits");
                server.await
            })
        });
        started.recv().expect("the endpoint starts");
        Self { address }
    }

    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

fn serve(listener: TcpListener) -> io::Result<ntex::server::Server> {
    let server = web::HttpServer::new(async || {
        web::App::new()
            .service(
                web::resource("/v1/chat/completions")
                    .to(|request: HttpRequest, _body: Bytes| async move { generate(&request) }),
            )
            .service(
                web::resource("/_load")
                    .to(async || HttpResponse::Ok().json(&bergamotshift_core::load::Report::default())),
            )
            .default_service(web::to(|request: HttpRequest, body: Bytes| async move {
                echo(&request, &body)
            }))
    });
    Ok(server.workers(WORKERS).disable_signals().listen(listener)?.run())
}

fn echo(request: &HttpRequest, body: &[u8]) -> HttpResponse {
    let method = request.method().as_str();
    let path = request.uri().path();
    let digest = Fingerprint::of(SERVICE, method, path, body).get();
    let key = request
        .headers()
        .get("idempotency-key")
        .and_then(|key| key.to_str().ok())
        .unwrap_or_default();
    let answer = format!(
        r#"{{"service":"{SERVICE}","vm":"upstream","method":"{method}","path":"{path}","key":"{key}","digest":"{digest:032x}","run":1}}"#
    );
    let mut response = head(request);
    response.content_type("application/json").body(answer)
}

fn generate(request: &HttpRequest) -> HttpResponse {
    let tokens = stream::unfold(0, |count| async move {
        if count > TOKENS {
            return None;
        }
        if count == TOKENS {
            return Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), count + 1));
        }
        ntex::time::sleep(INTERVAL).await;
        let finish = if count + 1 == TOKENS { "\"length\"" } else { "null" };
        let event = format!(
            "data: {{\"id\":\"c-1\",\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"m\",\"choices\":[{{\"index\":0,\
             \"delta\":{{\"role\":\"assistant\",\"content\":\" {MARK}{}\"}},\"finish_reason\":{finish}}}]}}\n\n",
            micros()
        );
        Some((Ok::<_, io::Error>(Bytes::from(event)), count + 1))
    });
    let mut response = head(request);
    response.content_type("text/event-stream").streaming(Box::pin(tokens))
}

fn head(request: &HttpRequest) -> web::HttpResponseBuilder {
    let mut response = HttpResponse::Ok();
    if let Some(attempt) = request.headers().get(ATTEMPT) {
        response.header(ATTEMPT, attempt);
    }
    response
}

/// Returns the time of day in microseconds, which all processes of the machine share.
pub fn micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}
