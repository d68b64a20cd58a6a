//! The immutable picture that requests are served from, and what outlives each picture.

use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;
use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use bergamotshift_core::name;
use bergamotshift_limit::quarantine;
use bergamotshift_limit::retry::Budget;
use tokio::sync::mpsc::UnboundedSender;

use crate::dialect::Dialect;
use crate::duty::Tally;
use crate::endpoint::Endpoint;
use crate::limits::Account;
use crate::observe::Clock;
use crate::observe::Log;
use crate::observe::Metrics;
use crate::peers::Note;
use crate::routes::Table;
use crate::settings::Settings;

/// What a service looks like to a request.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its endpoints, leaving ones included.
    pub endpoints: Arc<[Arc<Endpoint>]>,
    /// Whether they are model engines.
    pub engine: bool,
    /// Bounds repeated sends; outlives pictures.
    pub budget: Arc<Budget>,
}

/// The immutable picture that requests are served from.
#[derive(Debug, Default)]
pub struct View {
    /// The routes and keys; `None` until a document is known.
    pub table: Option<Table>,
    /// The services.
    pub services: HashMap<name::Service, Service>,
    /// The organisations' accounts.
    pub accounts: HashMap<name::Organisation, Arc<Account>>,
    /// Requests that are suspected of ending endpoints.
    pub suspects: quarantine::Table,
    /// Whether endpoints have been read at least once.
    pub knows_endpoints: bool,
}

/// What all threads of one entry share.
#[derive(Debug)]
pub struct Shared {
    /// What the entry was told.
    pub settings: Settings,
    /// How callers and endpoints name things.
    pub dialect: Dialect,
    /// The current picture.
    pub view: ArcSwap<View>,
    /// The clock.
    pub clock: Clock,
    /// The log.
    pub log: Log,
    /// The metrics.
    pub metrics: Metrics,
    /// Requests by organisation and window.
    pub tally: Tally,
    /// What requests tell the control thread.
    pub notes: UnboundedSender<Note>,
    /// Whether the entry is about to end.
    pub stopping: AtomicBool,
    /// Requests under way.
    pub active: AtomicUsize,
}

impl Shared {
    /// Returns whether the balancer may send callers.
    pub fn is_ready(&self) -> bool {
        let view = self.view.load();
        view.table.is_some() && view.knows_endpoints && !self.is_stopping()
    }

    /// Returns whether the entry is about to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }
}

/// Counts one request as under way until it is dropped.
#[derive(Debug)]
pub struct Active(Arc<Shared>);

impl Active {
    /// Counts a request.
    pub fn new(shared: &Arc<Shared>) -> Self {
        shared.active.fetch_add(1, Ordering::AcqRel);
        shared.metrics.active.inc();
        Self(Arc::clone(shared))
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::AcqRel);
        self.0.metrics.active.dec();
    }
}
