//! HTTP servers of a daemon: for callers, the load balancer, other entries and metrics collectors.

use core::net::SocketAddr;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

use ntex::ServiceFactory;
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
use super::accept::Acceptor;
use super::accept::Door;
use crate::control::Control;
use crate::peers;
use crate::peers::Permits;
use crate::serve::Forwarder;
use crate::settings::Listen;
use crate::view::Shared;

/// Time for which idle connections are kept open; longer than operators let callers be idle.
const KEEP_ALIVE_TIMEOUT: Seconds = Seconds(75);

/// Time within which a client has to send the head of a request.
const HEAD_TIMEOUT: Seconds = Seconds(5);

/// Maximum size of the head of a request, in bytes.
const MAX_HEAD_SIZE: usize = 32 * 1024;

/// Maximum number of connections that wait to be accepted, for each listener.
const BACKLOG: i32 = 1_024;

/// Interval at which unused connections and expired cache entries are dropped.
const SWEEP_INTERVAL: Millis = Millis(1_000);

/// Bound sockets of the servers.
#[derive(Debug)]
pub(super) struct Listeners {
    callers: TcpListener,
    ready: TcpListener,
    peers: TcpListener,
    metrics: TcpListener,
    pub(super) relay: Option<TcpListener>,
}

impl Listeners {
    /// Binds all addresses, and replaces port 0 by the port that the operating system chose.
    pub(super) fn bind(listen: &mut Listen) -> Result<Self, Error> {
        Ok(Self {
            callers: bind(&mut listen.callers)?,
            ready: bind(&mut listen.ready)?,
            peers: bind(&mut listen.peers)?,
            metrics: bind(&mut listen.metrics)?,
            relay: listen.relay.as_mut().map(bind).transpose()?,
        })
    }
}

/// Running servers.
#[derive(Debug)]
pub(super) struct Servers {
    callers: Door,
    others: Server,
}

impl Servers {
    /// Closes the listeners, and ends the servers without waiting for it.
    pub(super) fn stop(self) {
        drop(self.callers);
        drop(self.others.stop(false));
    }
}

/// Starts the servers on one worker thread.
pub(super) fn start(shared: &Arc<Shared>, control: &Control, listeners: Listeners) -> Result<Servers, Error> {
    let (callers, acceptor) = Door::new(listeners.callers);
    let callers_shared = Arc::clone(shared);
    let mut builder = ntex::server::build()
        .workers(1)
        .disable_signals()
        .on_worker_start(async move || serve_callers(Arc::clone(&callers_shared), acceptor.clone()).await);
    let ready_shared = Arc::clone(shared);
    builder = builder
        .listen("ready", listeners.ready, async move |_| {
            let shared = Arc::clone(&ready_shared);
            HttpService::new(fn_service(move |request: Request| {
                let response = ready(&shared, &request);
                async move { Ok::<_, io::Error>(response) }
            }))
        })
        .map_err(Error::Server)?
        .config("ready", config("ready"));
    let metrics_shared = Arc::clone(shared);
    builder = builder
        .listen("metrics", listeners.metrics, async move |_| {
            let shared = Arc::clone(&metrics_shared);
            HttpService::new(fn_service(move |request: Request| {
                let response = metrics(&shared, &request);
                async move { Ok::<_, io::Error>(response) }
            }))
        })
        .map_err(Error::Server)?
        .config("metrics", config("metrics"));
    let queries = control.query_sender();
    let peers_shared = Arc::clone(shared);
    builder = builder
        .listen("peers", listeners.peers, async move |_| {
            let queries = queries.clone();
            let permits = Rc::new(Permits::new(Arc::clone(&peers_shared)));
            HttpService::new(fn_service(move |request: Request| {
                let queries = queries.clone();
                let permits = Rc::clone(&permits);
                async move {
                    let response = match request.path() {
                        peers::KEEP_PATH => peers::answer_keep(&permits, request).await,
                        peers::PERMIT_PATH => peers::answer_permit(permits.shared(), request).await,
                        peers::ORIGINS_PATH => peers::answer_origins(permits.shared(), request).await,
                        peers::DOCUMENT_PATH => peers::answer_document(&queries, request).await,
                        _ => peers::answer_exchange(&queries, request).await,
                    };
                    Ok::<_, io::Error>(response)
                }
            }))
        })
        .map_err(Error::Server)?
        .config("peers", config("peers"));
    Ok(Servers {
        callers,
        others: builder.run(),
    })
}

/// Returns the configuration of a server.
fn config(name: &'static str) -> SharedCfg {
    let http = HttpServiceConfig::new()
        .set_keepalive(KeepAlive::Timeout(KEEP_ALIVE_TIMEOUT))
        .set_max_buf_size(MAX_HEAD_SIZE)
        .set_headers_read_rate(HEAD_TIMEOUT, HEAD_TIMEOUT, u32::MAX);
    SharedCfg::new(name).add(http).into()
}

/// Starts to serve callers on the current thread.
async fn serve_callers(shared: Arc<Shared>, acceptor: Acceptor) -> io::Result<()> {
    let forwarder = Rc::new(Forwarder::new(shared));
    ntex::rt::spawn(sweep(Rc::clone(&forwarder)));
    let closing = Rc::clone(&forwarder);
    ntex::rt::spawn(async move { closing.close_idle().await });
    ntex::rt::spawn(Rc::clone(&forwarder).report_in_flight());
    let telling = Rc::clone(&forwarder);
    ntex::rt::spawn(async move { telling.tell_origins().await });
    let serving = Rc::clone(&forwarder);
    let http = HttpService::new(fn_service(move |request: Request| {
        let forwarder = Rc::clone(&serving);
        async move { Ok::<_, io::Error>(forwarder.serve(request).await) }
    }));
    let config = config("callers");
    let service = http.pipeline(config.clone()).await;
    let service = service.map_err(|()| io::Error::other("no service for callers"))?;
    ntex::rt::spawn(acceptor.run(forwarder, service, config));
    Ok(())
}

/// Drops unused connections and expired cache entries at regular intervals.
async fn sweep(forwarder: Rc<Forwarder>) {
    loop {
        ntex::time::sleep(SWEEP_INTERVAL).await;
        forwarder.sweep();
    }
}

/// Answers the load balancer's readiness check.
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

/// Returns the metrics in the `OpenMetrics` text format.
fn metrics(shared: &Shared, request: &Request) -> Response {
    if *request.method() != Method::GET || request.path() != "/metrics" {
        return Response::new(StatusCode::NOT_FOUND);
    }
    Response::build(StatusCode::OK)
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(shared.metrics.encode())
}

/// Binds an address, and replaces port 0 by the port that the operating system chose.
fn bind(address: &mut SocketAddr) -> Result<TcpListener, Error> {
    let requested = *address;
    let failed = |source| Error::Bind {
        address: requested,
        source,
    };
    let listener = ntex::server::create_tcp_listener(requested, BACKLOG).map_err(failed)?;
    *address = listener.local_addr().map_err(failed)?;
    Ok(listener)
}
