//! What the threads of one entry share, and what each worker thread has of its own.

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
pub(crate) use bergamotshift_forward::random::generator;
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

/// What all threads of one entry share.
#[derive(Debug)]
pub struct Shared {
    /// What the entry was told.
    pub settings: Settings,
    /// Hands out snapshots.
    pub publisher: Publisher,
    /// Reaches the control thread.
    pub control: Sender,
    /// Reaches the platform's table and object store.
    pub store: Store,
    /// The requests that carry idempotency keys.
    pub windows: Windows,
    /// Claims that are not recorded to their end yet.
    pub recordings: AtomicU64,
    /// The metrics.
    pub metrics: Metrics,
    /// What parts of the entry report for its status.
    pub reports: Reports,
    /// Reaches the other entries, when this one takes part in a fleet.
    pub peers: OnceLock<peers::Sender>,
    /// The traces, when they are wanted.
    pub traces: Option<Traces>,
    /// What callers meet over TLS, when they do.
    pub certificate: Option<Arc<Certificate>>,
    /// Chooses endpoints.
    pub policy: Box<dyn Policy>,
    /// Whether the entry is about to end.
    pub draining: AtomicBool,
    /// Whether new requests are refused, because the entry ends once those under way are served.
    pub closed: AtomicBool,
    /// Kernel time counts from here.
    pub epoch: time::Instant,
}

impl Shared {
    /// Returns the kernel's time.
    pub fn now(&self) -> Instant {
        Instant::from_micros(u64::try_from(self.epoch.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Returns whether the balancer may send callers.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.publisher.current().ready
    }

    /// Returns whether the entry is about to end.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}

/// Counts one claim as not recorded yet, until it is dropped.
#[derive(Debug)]
pub struct Recording(Arc<Shared>);

impl Recording {
    /// Counts a claim.
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

/// What one worker thread has of its own.
#[derive(Debug)]
pub struct Worker {
    /// What it shares with the others.
    pub shared: Arc<Shared>,
    snapshots: Reader,
    adapters: BTreeMap<SmolStr, Rc<dyn Adapter>>,
    generator: RefCell<Pcg64Mcg>,
    uploads: Cell<usize>,
}

/// Counts one body that streams through the thread, until it is dropped.
#[derive(Debug)]
pub struct Upload(Rc<Worker>);

impl Upload {
    /// Counts a body.
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
    /// Makes the state of the current thread.
    ///
    /// # Errors
    ///
    /// Returns an error when the client for endpoints cannot be made.
    pub fn new(shared: Arc<Shared>) -> Result<Self, client::Error> {
        Ok(Self {
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

    /// Returns whether a caller's body streams through the thread.
    pub fn is_uploading(&self) -> bool {
        self.uploads.get() > 0
    }

    /// Finds an adapter by its plug-in name.
    pub fn adapter(&self, name: &str) -> Option<Rc<dyn Adapter>> {
        self.adapters.get(name).cloned()
    }

    /// Draws an identifier that no other attempt or request has.
    pub fn generate_id(&self) -> attempt::Id {
        let mut generator = self.generator.borrow_mut();
        let high = u128::from(generator.next_u64());
        attempt::Id::new(high << 64 | u128::from(generator.next_u64()))
    }

    /// Lends the thread's generator.
    pub fn with_generator<T>(&self, work: impl FnOnce(&mut Pcg64Mcg) -> T) -> T {
        work(&mut self.generator.borrow_mut())
    }
}

/// Makes all registered adapters over the current thread's connections.
///
/// # Errors
///
/// Returns an error when the client for endpoints cannot be made.
pub fn adapters(settings: &client::Settings) -> Result<BTreeMap<SmolStr, Rc<dyn Adapter>>, client::Error> {
    let client = Rc::new(Client::new(settings.clone())?);
    let kinds = plugin::inventory::iter::<Kind>.into_iter();
    Ok(kinds
        .map(|kind| (SmolStr::new_static(kind.name), (kind.build)(Rc::clone(&client))))
        .collect())
}
