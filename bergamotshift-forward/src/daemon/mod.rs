//! Starts a forwarding daemon, and ends it without cutting a request.

mod server;

use core::net::SocketAddr;
use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;

use arc_swap::ArcSwap;
use bergamotshift_core::plugin;
use slog::Logger;
use slog::info;
use smol_str::SmolStr;
use thiserror::Error as ThisError;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::control::Control;
use crate::duty::Tally;
use crate::follow;
use crate::observe::Clock;
use crate::observe::Log;
use crate::observe::Metrics;
use crate::outside::Addresses;
use crate::outside::Kind;
use crate::peers;
use crate::settings::Listen;
use crate::settings::Settings;
use crate::view::Shared;
use crate::view::View;

/// How often a stop looks whether requests are still under way.
const LOOK: Duration = Duration::from_millis(50);

/// How long no request must have been under way until a stop takes the last one as served: a request that a caller had
/// sent before it learnt of the stop is read within this time.
const QUIET: Duration = Duration::from_millis(1_500);

/// How long requests are still taken after the request to stop. Callers learn of it within two seconds, and what they
/// send until then has time to end within the grace.
const TAKING: Duration = Duration::from_millis(2_700);

/// Why a daemon does not start.
#[derive(Debug)]
#[derive(ThisError)]
#[non_exhaustive]
pub enum Error {
    /// No kind of outside has this name.
    #[error("no kind of outside is called `{name}`; there are {}", known.join(", "))]
    Kind {
        /// The name asked for.
        name: SmolStr,
        /// The names there are.
        known: Vec<&'static str>,
    },
    /// The clients for the outside cannot be made.
    #[error("cannot make the clients for the outside: {0}")]
    Outside(#[from] bergamotshift_platform::Error),
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The server cannot be started.
    #[error("cannot start the server: {0}")]
    Server(#[source] io::Error),
}

/// What asks a daemon to stop, or tells it that its settings changed.
#[derive(Debug)]
pub struct Signals {
    /// Gets a message when the process is to stop.
    pub stop: mpsc::UnboundedReceiver<()>,
    /// Gets new settings after a reload.
    pub reload: mpsc::UnboundedReceiver<Settings>,
    /// Is told the addresses once they are served; `None` when nobody asks.
    pub started: Option<oneshot::Sender<Listen>>,
}

/// Runs a daemon on the current thread's runtime until it is told to stop; returns how many requests the end cut.
///
/// # Errors
///
/// Returns why it cannot start.
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
    let listeners = server::Listeners::bind(&mut settings.listen)?;
    let (notes, inbox) = mpsc::unbounded_channel();
    let clock = Clock;
    let shared = Arc::new(Shared {
        dialect: (kind.dialect)(),
        view: ArcSwap::from_pointee(View::default()),
        view_ready: Notify::new(),
        started: clock.now(),
        clock,
        log: Log::new(logger),
        metrics: Metrics::new(),
        tally: Tally::new(clock, Duration::from_secs_f64(settings.duty.usage_window_s.max(0.0))),
        recall: Mutex::default(),
        ledger: Mutex::default(),
        rollout_evidence: Arc::default(),
        in_flight_changed: Notify::new(),
        notes,
        stopping: AtomicBool::new(false),
        stop: Notify::new(),
        closed: AtomicBool::new(false),
        stranded: AtomicBool::new(false),
        newest_document: AtomicU64::new(0),
        late: AtomicBool::new(false),
        active: AtomicUsize::new(0),
        settings,
    });
    let control = Control::new(Arc::clone(&shared));
    let server = server::start(&shared, &control, listeners)?;
    let Settings { name, zone, listen, .. } = &shared.settings;
    info!(shared.log.always(), "started"; "entry" => name.as_str(), "zone" => zone.as_str(),
        "callers" => %listen.callers, "ready" => %listen.ready, "peers" => %listen.peers,
        "metrics" => %listen.metrics, "store" => shared.settings.store.address.as_str());
    if let Some(started) = signals.started.take() {
        // Whoever asked may have gone meanwhile.
        let _ = started.send(*listen);
    }
    let tasks = [
        ntex::rt::spawn(follow::document(
            control.clone(),
            std::rc::Rc::clone(&outside.operators),
        )),
        ntex::rt::spawn(follow::registrations(
            control.clone(),
            std::rc::Rc::clone(&outside.registry),
        )),
        ntex::rt::spawn(follow::members(control.clone(), std::rc::Rc::clone(&outside.table))),
        ntex::rt::spawn(follow::notes(control.clone(), inbox)),
        ntex::rt::spawn(peers::run(control.clone())),
        ntex::rt::spawn(crate::duty::run(control.clone(), outside)),
    ];
    wait(&shared, &mut signals).await;
    let cut = drain(&shared).await;
    for task in tasks {
        task.cancel();
    }
    // Failure: the server takes a third of a second to end, and its sockets stay open meanwhile. Symptom: callers that
    // connect then wait for nothing, where a closed port would send them on at once. No request is under way any more,
    // so nothing is lost by not waiting.
    drop(server.stop(false));
    info!(shared.log.always(), "stopped"; "cut" => cut);
    Ok(cut)
}

/// Waits for the request to stop; settings that changed meanwhile are noted.
async fn wait(shared: &Shared, signals: &mut Signals) {
    loop {
        tokio::select! {
            stop = signals.stop.recv() => {
                if stop.is_some() {
                    return;
                }
                // Nobody can ask for a stop any more.
                core::future::pending::<()>().await;
            }
            Some(settings) = signals.reload.recv() => reloaded(shared, &settings),
        }
    }
}

/// Notes what a reload changes; addresses and names hold for the life of a process.
fn reloaded(shared: &Shared, settings: &Settings) {
    let same = settings.name == shared.settings.name
        && settings.zone == shared.settings.zone
        && settings.listen.callers == shared.settings.listen.callers;
    info!(shared.log.always(), "reloaded"; "needs_restart" => !same,
        "seeds" => settings.peers.seeds.len(), "grace_s" => settings.stop.grace_s);
}

/// Serves on until no request is under way, at most as long as the grace allows; returns how many are cut then.
async fn drain(shared: &Shared) -> usize {
    shared.stopping.store(true, Ordering::Release);
    shared.stop.notify_waiters();
    let timeout = shared.settings.stop.drain_timeout();
    info!(shared.log.always(), "stopping"; "active" => shared.active.load(Ordering::Acquire),
        "patience_ms" => timeout.as_millis() as u64);
    let began = shared.clock.now();
    let mut quiet_since = began;
    loop {
        tokio::time::sleep(LOOK).await;
        let now = shared.clock.now();
        if now.since(began) >= TAKING {
            shared.closed.store(true, Ordering::Release);
        }
        let active = shared.active.load(Ordering::Acquire);
        if active > 0 {
            quiet_since = now;
        }
        if now.since(quiet_since) >= QUIET || now.since(began) >= timeout {
            return active;
        }
    }
}
