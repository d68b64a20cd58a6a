//! Runs a forwarding daemon: starts its server and tasks, and drains its requests before it stops.

mod accept;
mod server;

use core::net::SocketAddr;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_core::plugin;
use bergamotshift_limit::stop;
use bergamotshift_limit::stop::Stop;
use bergamotshift_platform::Future;
use slog::Logger;
use slog::info;
use smol_str::SmolStr;
use thiserror::Error as ThisError;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::control::Control;
use crate::follow;
use crate::observe::Clock;
use crate::outside::Addresses;
use crate::outside::Clients;
use crate::outside::Kind;
use crate::peers;
use crate::peers::Network;
use crate::peers::Tcp;
use crate::relay;
use crate::settings::Listen;
use crate::settings::Settings;
use crate::view::Shared;

/// Interval at which a stop checks whether requests are in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time without requests in flight after which a drain is complete. A request that a caller sent before it learnt of
/// the stop is read within this time.
const DRAIN_IDLE_TIME: Duration = Duration::from_millis(1_500);

/// Interval at which the end of a stop checks whether the requests that it ended are in flight.
const END_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Error of starting a daemon.
#[derive(Debug)]
#[derive(ThisError)]
#[non_exhaustive]
pub enum Error {
    /// No platform adapter has the name that the setting `outside` gives.
    #[error("unknown value `{name}` of the setting `outside`; available: {}", known.join(", "))]
    Kind {
        /// The value of the setting.
        name: SmolStr,
        /// The names of the available adapters.
        known: Vec<&'static str>,
    },
    /// The clients for the external systems cannot be created.
    #[error("cannot create the clients for the external systems: {0}")]
    Outside(#[from] bergamotshift_platform::Error),
    /// A listener cannot be bound to its address.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The server cannot be started.
    #[error("cannot start the server: {0}")]
    Server(#[source] io::Error),
}

/// Channels between a daemon and the code that runs it.
#[derive(Debug)]
pub struct Signals {
    /// Requests to stop.
    pub stop: mpsc::UnboundedReceiver<()>,
    /// New settings after a reload.
    pub reload: mpsc::UnboundedReceiver<Settings>,
    /// Channel for the bound addresses, which are sent once the server runs; `None` if they are not needed.
    pub started: Option<oneshot::Sender<Listen>>,
}

/// Runs a daemon on the current thread's runtime until it is requested to stop. Returns the number of requests that
/// the end of the drain cut.
///
/// # Errors
///
/// Returns an error when the daemon cannot start.
pub async fn run(mut settings: Settings, logger: Logger, mut signals: Signals) -> Result<usize, Error> {
    let kind = plugin::find::<Kind>(&settings.outside).ok_or_else(|| Error::Kind {
        name: settings.outside.clone(),
        known: plugin::names::<Kind>(),
    })?;
    let addresses = Addresses {
        store: settings.store.address.clone(),
        cloud: settings
            .cloud
            .as_ref()
            .map(|cloud| cloud.address.clone())
            .filter(|address| !address.is_empty()),
    };
    let outside = (kind.connect)(addresses).await?;
    let mut listeners = server::Listeners::bind(&mut settings.listen)?;
    let relay = listeners.relay.take();
    let (notes, inbox) = mpsc::unbounded_channel();
    let dialect = (kind.dialect)();
    let shared = Arc::new(Shared::new(settings, dialect, Clock::Boot, logger, notes));
    let control = Control::new(Arc::clone(&shared));
    let servers = server::start(&shared, &control, listeners)?;
    let Settings { name, zone, listen, .. } = &shared.settings;
    info!(shared.log.always(), "started"; "entry" => name.as_str(), "zone" => zone.as_str(),
        "callers" => %listen.callers, "ready" => %listen.ready, "peers" => %listen.peers,
        "metrics" => %listen.metrics, "relay" => listen.relay.map(|relay| relay.to_string()), "store" => shared.settings.store.address.as_str());
    if let Some(started) = signals.started.take() {
        // An error means that the receiver was dropped and the addresses are not needed.
        let _ = started.send(*listen);
    }
    let mut tasks = vec![ntex::rt::spawn(follow::notes(control.clone(), inbox))];
    tasks.push(ntex::rt::spawn(relay::probe(Arc::clone(&shared))));
    if let Some(listener) = relay {
        tasks.push(ntex::rt::spawn(open_tunnels(Arc::clone(&shared), listener)));
    }
    let control_tasks = control_tasks(&control, &outside, &(Rc::new(Tcp::default()) as _));
    tasks.extend(control_tasks.into_iter().map(ntex::rt::spawn));
    wait_for_stop(&shared, &mut signals).await;
    let cut = drain(&shared).await;
    for task in tasks {
        task.cancel();
    }
    // The end of the server is not awaited. It takes a third of a second, during which the sockets stay open and
    // callers that connect get no answer; a closed port sends them to another entry at once. No requests are in flight
    // any more, or the grace period is over, so nothing is lost by not waiting.
    servers.stop();
    info!(shared.log.always(), "stopped"; "cut" => cut);
    Ok(cut)
}

/// Opens tunnels for other entries until the process ends.
async fn open_tunnels(shared: Arc<Shared>, listener: TcpListener) {
    if let Err(error) = relay::serve(Arc::clone(&shared), listener).await {
        info!(shared.log.always(), "no tunnels opened"; "cause" => %error);
    }
}

/// Returns the tasks of the control thread that follow the store and the other entries, and perform the duties.
pub fn control_tasks(control: &Control, outside: &Clients, network: &Rc<dyn Network>) -> [Future<'static, ()>; 10] {
    let operators = Rc::clone(&outside.operators);
    [
        Box::pin(follow::document(control.clone(), operators, Rc::clone(network))),
        Box::pin(follow::registrations(control.clone(), Rc::clone(&outside.registry))),
        Box::pin(follow::members(control.clone(), Rc::clone(&outside.table))),
        Box::pin(follow::versions(control.clone(), Rc::clone(&outside.table))),
        Box::pin(follow::store_origins(control.clone(), Rc::clone(&outside.table))),
        Box::pin(follow::lookups(control.clone(), Rc::clone(&outside.table))),
        Box::pin(follow::retire(control.clone(), Rc::clone(&outside.table))),
        Box::pin(peers::answer_queries(control.clone())),
        Box::pin(peers::run(control.clone(), Rc::clone(network))),
        Box::pin(crate::duty::run(control.clone(), outside.clone())),
    ]
}

/// Waits for the request to stop, and logs reloads until then.
async fn wait_for_stop(shared: &Shared, signals: &mut Signals) {
    loop {
        tokio::select! {
            stop = signals.stop.recv() => {
                if stop.is_some() {
                    return;
                }
                // The sender was dropped, so no request to stop can follow.
                core::future::pending::<()>().await;
            }
            Some(settings) = signals.reload.recv() => log_reload(shared, &settings),
        }
    }
}

/// Logs a reload. The daemon keeps the settings that it started with; a new name, zone or address for callers is logged
/// as needing a restart.
fn log_reload(shared: &Shared, settings: &Settings) {
    let is_same_entry = settings.name == shared.settings.name
        && settings.zone == shared.settings.zone
        && settings.listen.callers == shared.settings.listen.callers;
    info!(shared.log.always(), "reloaded"; "needs_restart" => !is_same_entry,
        "seeds" => settings.peers.seeds.len(), "grace_s" => settings.stop.grace_s);
}

/// Continues to serve until no requests are in flight, or until the drain timeout, and ends the requests that are in flight
/// then. Returns the number of requests that it cut.
async fn drain(shared: &Shared) -> usize {
    let began = shared.clock.now();
    let timeout = shared.settings.stop.drain_timeout();
    let stop = Stop::new(stop::Settings::default(), began, timeout);
    shared.stopping.store(true, Ordering::Release);
    shared.drain.begin(stop);
    info!(shared.log.always(), "stopping"; "active" => shared.active.load(Ordering::Acquire),
        "accept_ms" => stop.closes().since(began).as_millis() as u64, "patience_ms" => timeout.as_millis() as u64);
    let mut idle_since = began;
    let mut is_asked = false;
    loop {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        let now = shared.clock.now();
        if shared.active.load(Ordering::Acquire) > 0 {
            idle_since = now;
            is_asked = false;
        }
        if now >= stop.ends() {
            return end_requests(shared).await;
        }
        if now.since(idle_since) >= DRAIN_IDLE_TIME {
            // A request that was read since is awaited, and one that is read from now on is refused.
            shared.drain.close();
            if !is_asked {
                is_asked = true;
                shared.drain.ask_to_read();
            } else if shared.drain.is_read() && shared.active.load(Ordering::SeqCst) == 0 {
                return 0;
            }
        }
    }
}

/// Ends the requests in flight, and waits until their callers have been told. Returns the number of those that endpoints may
/// have run, and of those whose callers were not told in time.
async fn end_requests(shared: &Shared) -> usize {
    shared.drain.close();
    shared.drain.end();
    shared.drain.ask_to_read();
    let until = shared.clock.now() + shared.settings.stop.exit_margin() / 2;
    let untold = loop {
        let is_read = shared.drain.is_read();
        let active = shared.active.load(Ordering::Acquire);
        if (is_read && active == 0) || shared.clock.now() >= until {
            break active;
        }
        tokio::time::sleep(END_POLL_INTERVAL).await;
    };
    // An answer is written right after its request stops counting as in flight.
    tokio::time::sleep(END_POLL_INTERVAL).await;
    shared.drain.cut() + untold
}
