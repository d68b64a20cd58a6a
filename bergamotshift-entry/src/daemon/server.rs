//! The threads that accept and serve connections.

use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;

use bergamotshift_forward::serve::Callers;
use ntex::SharedCfg;
use ntex::fn_service;
use ntex::http::HttpService;
use ntex::http::HttpServiceConfig;
use ntex::http::KeepAlive;
use ntex::http::Request;
use ntex::http::error::DispatchError;
use ntex::http::h1::Control;
use ntex::io::Io;
use ntex::rt::DefaultRuntime;
use ntex::rt::System;
use ntex::server::Server;
use ntex::service::chain_factory;
use ntex::time::Millis;
use ntex::time::Seconds;
use rustls::ServerConfig;

use super::Error;
use crate::admin;
use crate::api;
use crate::api::protocol;
use crate::tls::Certificate;
use crate::worker::Shared;
use crate::worker::Worker;

/// How long an idle connection of a caller is kept, in seconds.
const KEEP_ALIVE: Seconds = Seconds(75);

/// Interval at which closed connections of callers are forgotten.
const SWEEP_INTERVAL: Millis = Millis(1_000);

/// Ends the server threads.
#[derive(Debug)]
pub(super) struct Stop {
    shared: Arc<Shared>,
    end: tokio::sync::mpsc::UnboundedSender<()>,
}

impl Stop {
    /// Takes no new requests from now on.
    ///
    /// Failure: a listener that is no longer accepted from keeps taking connections into its backlog. Symptom: callers
    /// hang for the rest of the grace. So connections are still accepted, and what comes is refused at once.
    pub(super) fn close(&self) {
        self.shared.drain.close();
    }

    /// Ends all server threads.
    pub(super) fn end(&self) {
        let _ = self.end.send(());
    }
}

/// Starts the server threads.
pub(super) fn start(
    shared: Arc<Shared>,
    callers: TcpListener,
    operators: TcpListener,
) -> Result<(thread::JoinHandle<()>, Stop), Error> {
    let (end, mut ended) = tokio::sync::mpsc::unbounded_channel();
    let (started, outcome) = mpsc::channel();
    let tls = shared.certificate.as_ref().map(Certificate::server).transpose()?;
    let stopped = Arc::clone(&shared);
    let run = move || {
        System::new("entry", DefaultRuntime).block_on(async move {
            let serving = match tls {
                Some(tls) => serve_callers_over_tls(Arc::clone(&shared), tls, callers),
                None => serve_callers(Arc::clone(&shared), callers),
            };
            let servers = serving.and_then(|callers| Ok((callers, serve_operators(shared, operators)?)));
            let (callers, operators) = match servers {
                Ok(servers) => servers,
                Err(error) => return drop(started.send(Err(error))),
            };
            drop(started.send(Ok(())));
            ended.recv().await;
            callers.stop(false).await;
            operators.stop(false).await;
        });
    };
    let thread = thread::Builder::new()
        .name("entry".to_owned())
        .spawn(run)
        .map_err(Error::Thread)?;
    match outcome.recv() {
        Ok(Ok(())) => Ok((thread, Stop { shared: stopped, end })),
        Ok(Err(error)) => Err(Error::Thread(error)),
        Err(_) => Err(Error::Thread(io::Error::other("the server thread ended at once"))),
    }
}

fn http(shared: &Shared) -> HttpServiceConfig {
    let bounds = shared.settings.bounds;
    let head_timeout = Seconds(bounds.head_timeout);
    HttpServiceConfig::new()
        .set_keepalive(KeepAlive::Timeout(KEEP_ALIVE))
        .set_max_buf_size(bounds.max_head)
        .set_headers_read_rate(head_timeout, head_timeout, u32::MAX)
}

fn serve_callers(shared: Arc<Shared>, listener: TcpListener) -> io::Result<Server> {
    const NAME: &str = "callers";
    let workers = shared.settings.threads.max(1);
    let config = http(&shared);
    let server = ntex::server::build()
        .workers(workers)
        .disable_signals()
        .listen(NAME, listener, async move |_| {
            let (worker, control) = worker(&shared);
            let callers = worker.callers.clone();
            let accept = fn_service(move |connection: Io| {
                callers.accept(&connection.get_ref());
                async move { Ok::<_, DispatchError>(connection) }
            });
            let http = HttpService::new(fn_service(move |request: Request| {
                let worker = Rc::clone(&worker);
                async move { Ok::<_, io::Error>(api::serve(worker, request).await) }
            }))
            .h1_control(fn_service(move |event: Control<_, io::Error>| {
                let control = Rc::clone(&control);
                async move { Ok::<_, io::Error>(protocol::control(&control, event)) }
            }));
            chain_factory(accept).and_then(http)
        })?
        .config(NAME, SharedCfg::new(NAME).add(config))
        .run();
    Ok(server)
}

/// Serves callers over TLS, with the same protocol and answers as in clear text.
fn serve_callers_over_tls(shared: Arc<Shared>, tls: ServerConfig, listener: TcpListener) -> io::Result<Server> {
    const NAME: &str = "callers";
    let workers = shared.settings.threads.max(1);
    let config = http(&shared);
    let server = ntex::server::build()
        .workers(workers)
        .disable_signals()
        .listen(NAME, listener, async move |_| {
            let (worker, control) = worker(&shared);
            HttpService::h1(fn_service(move |request: Request| {
                let worker = Rc::clone(&worker);
                async move { Ok::<_, io::Error>(api::serve(worker, request).await) }
            }))
            .control(fn_service(move |event: Control<_, io::Error>| {
                let control = Rc::clone(&control);
                async move { Ok::<_, io::Error>(protocol::control(&control, event)) }
            }))
            .rustls(tls.clone())
        })?
        .config(NAME, SharedCfg::new(NAME).add(config))
        .run();
    Ok(server)
}

/// Makes the state of a worker thread, for its requests and for what happens beside them.
fn worker(shared: &Arc<Shared>) -> (Rc<Worker>, Rc<Worker>) {
    let worker = Worker::new(Arc::clone(shared));
    let worker = Rc::new(worker.expect("the control thread has made a client from the same settings"));
    let following = Rc::clone(&worker);
    ntex::rt::spawn(async move { following.callers.follow(&following.shared.drain).await });
    ntex::rt::spawn(sweep(worker.callers.clone()));
    (Rc::clone(&worker), worker)
}

/// Forgets closed connections of callers at regular intervals.
async fn sweep(callers: Callers) {
    loop {
        ntex::time::sleep(SWEEP_INTERVAL).await;
        callers.forget_closed();
    }
}

fn serve_operators(shared: Arc<Shared>, listener: TcpListener) -> io::Result<Server> {
    const NAME: &str = "operators";
    let config = http(&shared);
    let server = ntex::server::build()
        .workers(1)
        .disable_signals()
        .listen(NAME, listener, async move |_| {
            let shared = Arc::clone(&shared);
            HttpService::new(fn_service(move |request: Request| {
                let shared = Arc::clone(&shared);
                async move { Ok::<_, io::Error>(admin::serve(shared, request).await) }
            }))
        })?
        .config(NAME, SharedCfg::new(NAME).add(config))
        .run();
    Ok(server)
}
