//! Starts an entry, and ends it without cutting a request.

mod handle;
mod server;

use core::net::SocketAddr;
use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU64;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::mpsc;
use std::thread;
use std::time;

use bergamotshift_config::accept::Member;
use bergamotshift_config::accept::member;
use bergamotshift_config::config::Config;
use bergamotshift_config::folder;
use bergamotshift_core::plugin;
use bergamotshift_endpoint::client;
use bergamotshift_forward::drain::Drain;
use bergamotshift_forward::observe::Log;
use bergamotshift_platform::Platform;
use bergamotshift_route::policy;
use ntex::rt::DefaultRuntime;
use ntex::rt::JoinHandle;
use ntex::rt::System;
use smol_str::SmolStr;
use thiserror::Error as ThisError;

pub use self::handle::Drained;
pub use self::handle::Handle;
use crate::admin::status::Reports;
use crate::claims::Committer;
use crate::claims::Inbox;
use crate::claims::Store;
use crate::claims::Windows;
use crate::configuration;
use crate::control;
use crate::control::Sender;
use crate::control::State;
use crate::duties;
use crate::jobs;
use crate::observe;
use crate::observe::Metrics;
use crate::observe::Traces;
use crate::observe::trace;
use crate::peers;
use crate::settings::Settings;
use crate::snapshot::Publisher;
use crate::snapshot::Snapshot;
use crate::tls;
use crate::watch;
use crate::worker;
use crate::worker::Shared;
use crate::worker::Worker;

/// Why an entry does not start.
#[derive(Debug)]
#[derive(ThisError)]
#[non_exhaustive]
pub enum Error {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        source: io::Error,
    },
    /// The operators' folder gives no configuration.
    #[error(transparent)]
    Folder(#[from] folder::Error),
    /// No routing policy has this name.
    #[error("no routing policy is called `{name}`; there are {}", known.join(", "))]
    Policy {
        /// The name asked for.
        name: SmolStr,
        /// The names there are.
        known: Vec<&'static str>,
    },
    /// The certificate or its key cannot be used.
    #[error(transparent)]
    Tls(#[from] tls::Error),
    /// The client for endpoints cannot be made.
    #[error(transparent)]
    Client(#[from] client::Error),
    /// The clients for the platform cannot be made.
    #[error("cannot make the clients for the platform: {0}")]
    Platform(#[from] bergamotshift_platform::Error),
    /// Traces cannot be sent.
    #[error(transparent)]
    Traces(#[from] trace::Error),
    /// The link to the other entries cannot be opened.
    #[error("cannot take part in the fleet: {0}")]
    Peers(#[from] bergamotshift_link::node::Error),
    /// A thread cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[source] io::Error),
}

/// The entry daemon.
#[derive(Clone, Copy, Debug)]
pub struct Daemon;

impl Daemon {
    /// Starts an entry and returns once both of its addresses are bound and its first snapshot is published.
    ///
    /// Several entries may run in one process.
    ///
    /// # Errors
    ///
    /// Returns why it cannot start; nothing of it is left running then.
    pub fn start(settings: Settings) -> Result<Handle, Error> {
        let config = configuration(&settings)?;
        let policy = policy::build(&settings.policy).ok_or_else(|| Error::Policy {
            name: settings.policy.clone(),
            known: policy::names(),
        })?;
        let certificate = settings.tls.clone().map(tls::Certificate::load).transpose()?;
        let callers = bind(settings.callers)?;
        let operators = bind(settings.operators)?;
        let traces = settings.otlp.map(|otlp| Traces::start(&otlp, &settings)).transpose()?;
        let (sender, receiver) = Sender::channel();
        let (store, inbox) = Store::channel();
        let shared = Arc::new(Shared {
            store,
            windows: Windows::new(),
            recordings: AtomicU64::new(0),
            publisher: Publisher::new(Snapshot::empty(&config)),
            control: sender,
            answered: bergamotshift_limit::quarantine::Completed::default(),
            completed: bergamotshift_limit::quarantine::Completed::default(),
            metrics: Metrics::new(),
            reports: Reports::default(),
            peers: OnceLock::new(),
            traces,
            certificate,
            policy,
            draining: AtomicBool::new(false),
            drain: Drain::default(),
            refusals: Log::new(settings.logger.clone()),
            epoch: time::Instant::now(),
            settings,
        });
        let mut handle = Handle::new(Arc::clone(&shared), address(&callers)?, address(&operators)?);
        handle.control = Some(control_thread(Arc::clone(&shared), config, receiver, inbox)?);
        let (thread, stop) = server::start(shared, callers, operators)?;
        handle.server = Some(thread);
        handle.stop = Some(stop);
        Ok(handle)
    }
}

fn configuration(settings: &Settings) -> Result<Arc<Config>, Error> {
    if let Some(config) = &settings.config {
        return Ok(Arc::clone(config));
    }
    match &settings.folder {
        Some(folder) => Ok(Arc::new(folder::load(folder)?)),
        None => Ok(Arc::default()),
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    const BACKLOG: i32 = 1024;
    ntex::server::create_tcp_listener(address, BACKLOG).map_err(|source| Error::Bind { address, source })
}

fn address(listener: &TcpListener) -> Result<SocketAddr, Error> {
    listener.local_addr().map_err(Error::Thread)
}

/// Starts the control thread and waits for its first snapshot.
fn control_thread(
    shared: Arc<Shared>,
    config: Arc<Config>,
    messages: tokio::sync::mpsc::UnboundedReceiver<control::Message>,
    inbox: Inbox,
) -> Result<thread::JoinHandle<()>, Error> {
    let (started, outcome) = mpsc::channel();
    let run = move || {
        System::new("control", DefaultRuntime).block_on(async move {
            let adapters = match worker::adapters(&shared.settings.endpoints) {
                Ok(adapters) => adapters,
                Err(error) => return drop(started.send(Err(Error::from(error)))),
            };
            let platform = match connect(&shared.settings).await {
                Ok(platform) => observe::platform::counted(platform, &shared),
                Err(error) => return drop(started.send(Err(error.into()))),
            };
            let duties = duties::task::run(Arc::clone(&shared), platform.clone(), adapters.clone());
            let content = match peers::start(&shared) {
                Ok(Some((sender, content))) => {
                    drop(shared.peers.set(sender));
                    content
                }
                Ok(None) => Rc::default(),
                Err(error) => return drop(started.send(Err(error.into()))),
            };
            let mut state = State::new(Arc::clone(&shared), adapters, config);
            state.publish_now();
            drop(started.send(Ok(())));
            let mut watching = watch(&shared, &platform, &content);
            watching.push(ntex::rt::spawn(duties));
            let committer = Committer::new(Arc::clone(&shared), &platform);
            watching.push(ntex::rt::spawn(committer.run(inbox)));
            if platform.table.is_some()
                && let Ok(worker) = Worker::new(Arc::clone(&shared))
            {
                watching.push(ntex::rt::spawn(jobs::scan(Rc::new(worker))));
            }
            control::run(state, messages).await;
            for task in watching {
                task.cancel();
            }
        });
    };
    let thread = thread::Builder::new()
        .name("control".to_owned())
        .spawn(run)
        .map_err(Error::Thread)?;
    match outcome.recv() {
        Ok(Ok(())) => Ok(thread),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(Error::Thread(io::Error::other("the control thread ended at once"))),
    }
}

/// Makes the control thread's clients for the platform.
async fn connect(settings: &Settings) -> Result<Platform, bergamotshift_platform::Error> {
    const KIND: &str = "http";
    let kind = plugin::find::<bergamotshift_platform::Kind>(KIND).expect("the adapter over HTTP registers itself");
    (kind.connect)(settings.platform.over_http()).await
}

/// Starts the task that follows the accepted configuration, when nothing else gives one.
fn follow(shared: &Arc<Shared>, platform: &Platform, content: &Rc<peers::Content>) -> Option<JoinHandle<()>> {
    if !shared.settings.uses_platform_config() {
        return None;
    }
    let (Some(table), Some(objects)) = (&platform.table, &platform.objects) else {
        return None;
    };
    let dependencies = configuration::follow::Dependencies {
        table: Rc::clone(table),
        store: configuration::Store::new(Rc::clone(objects)),
        peers: shared.peers.get().map_or_else(
            || Rc::new(configuration::peers::Standalone) as Rc<dyn configuration::Peers>,
            |sender| Rc::new(peers::Gossip::new(sender.clone(), Rc::clone(content))),
        ),
        control: shared.control.clone(),
        logger: shared.settings.logger.clone(),
    };
    let settings = member::Settings {
        zone: shared.settings.zone.clone(),
        adapters: Some(plugin::names::<bergamotshift_endpoint::adapter::Kind>()),
        ..member::Settings::default()
    };
    let member = Member::new(settings, shared.now());
    let (sender, events) = tokio::sync::mpsc::unbounded_channel();
    content.subscribe(sender.clone());
    let generator = worker::generator();
    let clock = {
        let shared = Arc::clone(shared);
        move || shared.now()
    };
    let run = configuration::follow::run(member, Rc::new(dependencies), clock, generator, sender, events);
    Some(ntex::rt::spawn(run))
}

/// Starts the tasks that look at the outside.
fn watch(shared: &Arc<Shared>, platform: &Platform, content: &Rc<peers::Content>) -> Vec<JoinHandle<()>> {
    let sender = &shared.control;
    let mut tasks = vec![ntex::rt::spawn(watch::tick(sender.clone()))];
    tasks.extend(follow(shared, platform, content));
    if let Some(certificate) = &shared.certificate {
        tasks.push(ntex::rt::spawn(tls::follow(
            Arc::clone(certificate),
            Arc::clone(shared),
        )));
    }
    if let Some(vms) = &platform.vms {
        let Settings { watch, logger, .. } = &shared.settings;
        let list = watch::list(Rc::clone(vms), watch.list_interval, sender.clone(), logger.clone());
        let notices = watch::notices(Rc::clone(vms), watch.notice_interval, sender.clone(), logger.clone());
        tasks.push(ntex::rt::spawn(list));
        tasks.push(ntex::rt::spawn(notices));
    }
    tasks
}
