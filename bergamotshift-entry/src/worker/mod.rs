//! State that all threads of one entry share, and state of each worker thread.

use core::cell::Cell;
use core::cell::RefCell;
use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time;

use bergamotshift_core::attempt;
use bergamotshift_core::plugin;
use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::adapter::Adapter;
use bergamotshift_endpoint::adapter::Kind;
use bergamotshift_endpoint::client;
use bergamotshift_endpoint::client::Client;
use bergamotshift_forward::drain::Drain;
use bergamotshift_forward::observe::Log;
pub(crate) use bergamotshift_forward::random::generator;
use bergamotshift_forward::serve::Callers;
use bergamotshift_limit::quarantine;
use bergamotshift_route::Policy;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;

use crate::admin::status::Reports;
use crate::claims::Store;
use crate::claims::Windows;
use crate::control::Sender;
use crate::observe::Metrics;
use crate::observe::Traces;
use crate::peers;
use crate::settings::Settings;
use crate::snapshot::Publisher;
use crate::snapshot::Reader;
use crate::snapshot::Snapshot;
use crate::tls::Certificate;

/// State that all threads of one entry share.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the entry.
    pub settings: Settings,
    /// Publisher of snapshots.
    pub publisher: Publisher,
    /// Channel to the control thread.
    pub control: Sender,
    /// Handle to the task that accesses the platform's table and object store.
    pub store: Store,
    /// Deduplication windows of requests with idempotency keys.
    pub windows: Windows,
    /// Number of claims whose outcome is not recorded yet.
    pub recordings: AtomicU64,
    /// Parts of prompts whose requests endpoints began to answer.
    pub answered: quarantine::Completed,
    /// Requests that endpoints answered whole, by themselves and at the versions that the endpoints stated.
    pub completed: quarantine::Completed,
    /// Metrics of the entry.
    pub metrics: Metrics,
    /// Reports of the entry's parts for its status page.
    pub reports: Reports,
    /// Channel to the other entries, if this one belongs to a fleet.
    pub peers: OnceLock<peers::Sender>,
    /// Traces, if enabled.
    pub traces: Option<Traces>,
    /// TLS certificate presented to callers, if TLS is enabled.
    pub certificate: Option<Arc<Certificate>>,
    /// Routing policy that chooses endpoints.
    pub policy: Box<dyn Policy>,
    /// Whether the entry is draining before it stops.
    pub draining: AtomicBool,
    /// Progress of the stop, and how long requests last.
    pub drain: Drain,
    /// Log of refusals, with a limited rate.
    pub refusals: Log,
    /// Time at which kernel time starts.
    pub epoch: time::Instant,
}

impl Shared {
    /// Returns the kernel time, measured from the epoch.
    pub fn now(&self) -> Instant {
        Instant::from_micros(u64::try_from(self.epoch.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Returns whether the load balancer may send callers.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.publisher.current().ready
    }

    /// Returns whether the entry is draining before it stops.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}

/// Guard that counts one claim as unrecorded until it is dropped.
#[derive(Debug)]
pub struct Recording(Arc<Shared>);

impl Recording {
    /// Counts a claim as unrecorded.
    pub fn start(shared: &Arc<Shared>) -> Self {
        shared.recordings.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(shared))
    }
}

impl Drop for Recording {
    fn drop(&mut self) {
        self.0.recordings.fetch_sub(1, Ordering::AcqRel);
    }
}

/// State of one worker thread.
#[derive(Debug)]
pub struct Worker {
    /// State that all threads share.
    pub shared: Arc<Shared>,
    /// Connections of callers to the thread.
    pub callers: Callers,
    snapshots: Reader,
    adapters: BTreeMap<SmolStr, Rc<dyn Adapter>>,
    generator: RefCell<Pcg64Mcg>,
    uploads: Cell<usize>,
}

/// Guard that counts one request body as streaming through the thread until it is dropped.
#[derive(Debug)]
pub struct Upload(Rc<Worker>);

impl Upload {
    /// Counts a request body as streaming.
    pub fn start(worker: &Rc<Worker>) -> Self {
        worker.uploads.update(|uploads| uploads + 1);
        Self(Rc::clone(worker))
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        self.0.uploads.update(|uploads| uploads - 1);
    }
}

impl Worker {
    /// Creates the state of the current thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the client for endpoints cannot be created.
    pub fn new(shared: Arc<Shared>) -> Result<Self, client::Error> {
        Ok(Self {
            callers: Callers::default(),
            snapshots: shared.publisher.reader(),
            adapters: adapters(&shared.settings.endpoints)?,
            generator: RefCell::new(generator()),
            uploads: Cell::new(0),
            shared,
        })
    }

    /// Returns the current snapshot.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshots.current()
    }

    /// Returns whether a request body of a caller is streaming through the thread.
    pub fn is_uploading(&self) -> bool {
        self.uploads.get() > 0
    }

    /// Returns the adapter with a plug-in name.
    pub fn adapter(&self, name: &str) -> Option<Rc<dyn Adapter>> {
        self.adapters.get(name).cloned()
    }

    /// Generates a unique identifier of an attempt or request from 128 random bits.
    pub fn generate_id(&self) -> attempt::Id {
        let mut generator = self.generator.borrow_mut();
        let high = u128::from(generator.next_u64());
        attempt::Id::new(high << 64 | u128::from(generator.next_u64()))
    }

    /// Calls a function with the thread's random number generator.
    pub fn with_generator<T>(&self, work: impl FnOnce(&mut Pcg64Mcg) -> T) -> T {
        work(&mut self.generator.borrow_mut())
    }
}

/// Creates all registered adapters on one client of the current thread.
///
/// # Errors
///
/// Returns an error if the client for endpoints cannot be created.
pub fn adapters(settings: &client::Settings) -> Result<BTreeMap<SmolStr, Rc<dyn Adapter>>, client::Error> {
    let client = Rc::new(Client::new(settings.clone())?);
    let kinds = plugin::inventory::iter::<Kind>.into_iter();
    Ok(kinds
        .map(|kind| (SmolStr::new_static(kind.name), (kind.build)(Rc::clone(&client))))
        .collect())
}
