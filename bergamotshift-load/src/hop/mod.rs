//! A bare reverse hop: an HTTP server that passes each request on with the same library's client, and nothing more.
//!
//! It is the baseline for the benchmarks: what an entry costs beyond it is the cost of the entry's own logic.

use core::error::Error;
use core::net::Ipv4Addr;
use core::net::SocketAddr;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;

use futures_util::TryStreamExt;
use ntex::client::Client;
use ntex::http::HeaderMap;
use ntex::http::body::Body;
use ntex::http::body::SizedStream;
use ntex::http::error::PayloadError;
use ntex::http::header;
use ntex::server::create_tcp_listener;
use ntex::web;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;

use crate::client;

/// Connections that may wait to be accepted. The standard library's 128 drops the rest of a thousand callers that come
/// at once, and each of them tries again only after a second.
const BACKLOG: i32 = 4_096;

/// A running hop; dropping it stops it.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    control: ntex::server::Server,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl Server {
    /// Starts a hop to `upstream` on an ephemeral loopback port, with this many workers.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket calls.
    pub fn start(upstream: SocketAddr, workers: usize) -> io::Result<Self> {
        let listener = create_tcp_listener((Ipv4Addr::LOCALHOST, 0).into(), BACKLOG)?;
        let address = listener.local_addr()?;
        let (sender, started) = mpsc::channel();
        let thread = thread::Builder::new().name("hop".to_owned()).spawn(move || {
            crate::run::block_on("hop", async move {
                let server = serve(listener, upstream, workers)?;
                // A starter that is gone needs no hop.
                drop(sender.send(server.clone()));
                server.await
            })
        })?;
        let control = started.recv().or(Err(io::Error::other("the hop did not start")))?;
        Ok(Self {
            address,
            control,
            thread: Some(thread),
        })
    }

    /// Returns where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        drop(self.control.stop(false));
        if let Some(thread) = self.thread.take() {
            // What a stopping hop says is of no use to anyone.
            drop(thread.join());
        }
    }
}

fn serve(listener: TcpListener, upstream: SocketAddr, workers: usize) -> io::Result<ntex::server::Server> {
    let server = web::HttpServer::new(async move || {
        let client = client::build().await;
        let hop = Rc::new(Hop { client, upstream });
        web::App::new().default_service(web::to(move |request: HttpRequest, body: web::types::Payload| {
            let hop = Rc::clone(&hop);
            async move { hop.pass(&request, body).await }
        }))
    });
    Ok(server
        .workers(workers)
        .disable_signals()
        .stop_runtime()
        .listen(listener)?
        .run())
}

struct Hop {
    client: Client,
    upstream: SocketAddr,
}

impl Hop {
    async fn pass(&self, request: &HttpRequest, body: web::types::Payload) -> HttpResponse {
        let url = format!("http://{}{}", self.upstream, request.uri());
        let mut call = self
            .client
            .request(request.method().clone(), url)
            .address(self.upstream);
        copy(request.headers(), call.headers_mut());
        let sized = request.headers().contains_key(header::CONTENT_LENGTH);
        let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
        let sent = if sized || chunked {
            call.send_stream(body).await
        } else {
            call.send().await
        };
        match sent {
            Ok(answer) => {
                let mut response = HttpResponse::build(answer.status());
                for (name, value) in answer.headers() {
                    if !is_framing(name) {
                        response.header(name, value);
                    }
                }
                match length(answer.headers()) {
                    Some(length) => response.body(Body::from_message(SizedStream::new(length, answer.map_err(boxed)))),
                    None => response.streaming(answer),
                }
            }
            Err(_) => HttpResponse::BadGateway().finish(),
        }
    }
}

/// Returns the length of a body that is not sent in chunks, so that it need not be on the way out.
fn length(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn boxed(cause: PayloadError) -> Rc<dyn Error> {
    Rc::new(cause)
}

fn copy(from: &HeaderMap, to: &mut HeaderMap) {
    for (name, value) in from {
        if !is_framing(name) {
            to.append(name.clone(), value.clone());
        }
    }
}

/// Returns whether a header belongs to one connection; the library writes its own for the next.
fn is_framing(name: &header::HeaderName) -> bool {
    [header::CONNECTION, header::CONTENT_LENGTH, header::TRANSFER_ENCODING].contains(name)
}
