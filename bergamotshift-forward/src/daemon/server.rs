//! The addresses that a daemon serves: callers, the balancer, other entries and whoever collects metrics.

use core::net::SocketAddr;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

use ntex::SharedCfg;
use ntex::fn_service;
use ntex::http::HttpService;
use ntex::http::HttpServiceConfig;
use ntex::http::KeepAlive;
use ntex::http::Method;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::server::Server;
use ntex::time::Millis;
use ntex::time::Seconds;

use super::Error;
use crate::control::Control;
use crate::peers;
use crate::peers::Permits;
use crate::serve::Forwarder;
use crate::settings::Listen;
use crate::view::Shared;

/// How long an idle connection is kept, in seconds; longer than operators let callers be idle.
const KEEP_ALIVE: Seconds = Seconds(75);

/// How long a caller may take for a head, in seconds.
const HEAD_TIME: Seconds = Seconds(5);

/// The largest head, in bytes.
const HEAD: usize = 32 * 1024;

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// How often idle connections to endpoints are looked through.
const SWEEP: Millis = Millis(1_000);

/// How often a stopping entry looks for connections that became idle.
const CLOSE: Millis = Millis(50);

/// The addresses' sockets.
#[derive(Debug)]
pub(super) struct Listeners {
    callers: TcpListener,
    ready: TcpListener,
    peers: TcpListener,
    metrics: TcpListener,
}

impl Listeners {
    /// Binds the addresses; a port of 0 becomes the one that the system chose.
    pub(super) fn bind(listen: &mut Listen) -> Result<Self, Error> {
        Ok(Self {
            callers: bind(&mut listen.callers)?,
            ready: bind(&mut listen.ready)?,
            peers: bind(&mut listen.peers)?,
            metrics: bind(&mut listen.metrics)?,
        })
    }
}

/// Starts the server.
pub(super) fn start(shared: &Arc<Shared>, control: &Control, listeners: Listeners) -> Result<Server, Error> {
    let mut builder = ntex::server::build().workers(1).disable_signals();
    let config = || {
        HttpServiceConfig::new()
            .set_keepalive(KeepAlive::Timeout(KEEP_ALIVE))
            .set_max_buf_size(HEAD)
            .set_headers_read_rate(HEAD_TIME, HEAD_TIME, u32::MAX)
    };
    let callers = Arc::clone(shared);
    builder = builder
        .listen("callers", listeners.callers, async move |_| {
            let forwarder = Rc::new(Forwarder::new(Arc::clone(&callers)));
            ntex::rt::spawn(sweep(Rc::clone(&forwarder)));
            ntex::rt::spawn(close(Rc::clone(&forwarder)));
            ntex::rt::spawn(Rc::clone(&forwarder).tell());
            HttpService::new(fn_service(move |request: Request| {
                let forwarder = Rc::clone(&forwarder);
                async move { Ok::<_, io::Error>(forwarder.serve(request).await) }
            }))
        })
        .map_err(Error::Server)?
        .config("callers", SharedCfg::new("callers").add(config()));
    let asked = Arc::clone(shared);
    builder = builder
        .listen("ready", listeners.ready, async move |_| {
            let shared = Arc::clone(&asked);
            HttpService::new(fn_service(move |request: Request| {
                let response = ready(&shared, &request);
                async move { Ok::<_, io::Error>(response) }
            }))
        })
        .map_err(Error::Server)?
        .config("ready", SharedCfg::new("ready").add(config()));
    let collected = Arc::clone(shared);
    builder = builder
        .listen("metrics", listeners.metrics, async move |_| {
            let shared = Arc::clone(&collected);
            HttpService::new(fn_service(move |request: Request| {
                let response = metrics(&shared, &request);
                async move { Ok::<_, io::Error>(response) }
            }))
        })
        .map_err(Error::Server)?
        .config("metrics", SharedCfg::new("metrics").add(config()));
    let exchange = control.query_sender();
    let granting = Arc::clone(shared);
    builder = builder
        .listen("peers", listeners.peers, async move |_| {
            let exchange = exchange.clone();
            let permits = Rc::new(Permits::new(Arc::clone(&granting)));
            HttpService::new(fn_service(move |request: Request| {
                let exchange = exchange.clone();
                let permits = Rc::clone(&permits);
                async move {
                    let response = match request.path() {
                        peers::KEEP_PATH => peers::answer_keep(&permits, request).await,
                        peers::PERMIT_PATH => peers::answer_permit(permits.shared(), request).await,
                        peers::DOCUMENT_PATH => peers::answer_document(&exchange, request).await,
                        _ => peers::answer_exchange(&exchange, request).await,
                    };
                    Ok::<_, io::Error>(response)
                }
            }))
        })
        .map_err(Error::Server)?
        .config("peers", SharedCfg::new("peers").add(config()));
    Ok(builder.run())
}

async fn sweep(forwarder: Rc<Forwarder>) {
    loop {
        ntex::time::sleep(SWEEP).await;
        forwarder.sweep();
    }
}

/// Closes callers' idle connections from the request to stop on, so that they come to another entry.
async fn close(forwarder: Rc<Forwarder>) {
    forwarder.stopped().await;
    loop {
        forwarder.close_idle();
        ntex::time::sleep(CLOSE).await;
    }
}

fn ready(shared: &Shared, request: &Request) -> Response {
    if *request.method() != Method::GET {
        return Response::new(StatusCode::METHOD_NOT_ALLOWED);
    }
    if shared.is_ready() {
        Response::build(StatusCode::OK).body("ready")
    } else {
        Response::build(StatusCode::SERVICE_UNAVAILABLE).body("not ready")
    }
}

fn metrics(shared: &Shared, request: &Request) -> Response {
    if *request.method() != Method::GET || request.path() != "/metrics" {
        return Response::new(StatusCode::NOT_FOUND);
    }
    Response::build(StatusCode::OK)
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(shared.metrics.encode())
}

fn bind(address: &mut SocketAddr) -> Result<TcpListener, Error> {
    let asked = *address;
    let failed = |source| Error::Bind { address: asked, source };
    let listener = ntex::server::create_tcp_listener(asked, BACKLOG).map_err(failed)?;
    *address = listener.local_addr().map_err(failed)?;
    Ok(listener)
}
