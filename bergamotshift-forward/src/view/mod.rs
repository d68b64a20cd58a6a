//! The immutable view that requests are served from, and the state shared by all threads that outlives each view.

mod paths;
mod rates;
mod shortage;
mod speeds;

use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use arc_swap::ArcSwap;
use bergamotshift_core::prelude::*;
use bergamotshift_limit::intake::Intake;
use bergamotshift_limit::quarantine;
use bergamotshift_limit::retry::Budget;
use bergamotshift_rollout::directive::FULL_SHARE;
use bergamotshift_route::speed::Typical;
use slog::Logger;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use self::rates::Announcers;
pub use self::rates::Origin;
pub use self::shortage::Controllers;
pub use self::shortage::Estimate;
pub use self::shortage::Scope;
use crate::choice::Index;
use crate::dialect::Dialect;
use crate::document::Engine;
use crate::document::Objective;
use crate::drain::Drain;
use crate::duty::Tally;
use crate::endpoint::Endpoint;
use crate::endpoint::Ledger;
use crate::limits::Account;
use crate::limits::Keepers;
use crate::limits::granter;
use crate::observe::Clock;
use crate::observe::Log;
use crate::observe::Metrics;
use crate::origins::Origins;
use crate::peers::Note;
use crate::relay::Candidates;
use crate::relay::Reach;
use crate::rollouts::Collector;
use crate::routes::History;
use crate::routes::Table;
use crate::settings::Learn;
use crate::settings::Settings;

/// A service as seen by requests.
#[derive(Clone, Debug)]
pub struct Service {
    /// Endpoints of the versions that receive all requests, including leaving ones.
    pub endpoints: Arc<[Arc<Endpoint>]>,
    /// New version that is being rolled out; `None` if no order is open.
    pub canary: Option<Canary>,
    /// Properties of its model engines; `None` for a plain service.
    pub engine: Option<Engine>,
    /// Retry budget; outlives views.
    pub budget: Arc<Budget>,
    /// Uncached prompt tokens of new requests since the last tick, without retries; outlives views.
    pub requested_tokens: Arc<AtomicU64>,
    /// Moving average of prompt sizes, in tokens; outlives views.
    pub typical_prompt: Arc<AtomicU64>,
    /// Versions of its endpoints, of those that are present and of those that served within the lifetime of streams.
    pub versions: Vec<SmolStr>,
    /// What its routes ask of it.
    pub objectives: Arc<[Objective]>,
    /// Figures of speed that its endpoints have in common; outlive views.
    pub typical: Arc<Typical>,
    /// When speeds are learned.
    pub learn: Learn,
}

impl Service {
    /// Returns whether the speeds of its endpoints are learned and decide where requests go.
    pub fn learns_speeds(&self) -> bool {
        let is_needed = match self.learn {
            Learn::Auto => self.typical.is_paced() || Objective::compete(&self.objectives),
            Learn::Always => true,
            Learn::Never => false,
        };
        is_needed && self.engine.is_some()
    }

    /// Returns the learned figures of the service, if speeds are learned for it.
    pub fn learned(&self) -> Option<&Typical> {
        self.learns_speeds().then_some(&*self.typical)
    }

    /// Returns the endpoints of all versions that receive requests, including leaving ones.
    pub fn all_endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        let canary = self.canary.iter().flat_map(|canary| canary.endpoints.iter());
        self.endpoints.iter().chain(canary)
    }

    /// Returns the new version if a request goes to it: because the request belongs to the canary's share, or because
    /// the canary receives all requests.
    pub fn canary_for(&self, is_canary: bool) -> Option<&Canary> {
        self.canary.as_ref().filter(|canary| is_canary || canary.takes_all())
    }

    /// Updates the moving average of prompt sizes.
    pub fn record_prompt(&self, tokens: u32) {
        /// Inverse weight of a new size in the moving average.
        const WEIGHT_DIVISOR: i64 = 16;
        let tokens = i64::from(tokens);
        let average = |typical: u64| {
            let typical = typical as i64;
            (typical + (tokens - typical) / WEIGHT_DIVISOR) as u64
        };
        self.typical_prompt
            .update(Ordering::Relaxed, Ordering::Relaxed, average);
    }
}

/// A new version of a service during its rollout.
#[derive(Clone, Debug)]
pub struct Canary {
    /// Number of the rollout order.
    pub order: u64,
    /// Endpoints that receive its share of the requests.
    pub endpoints: Arc<[Arc<Endpoint>]>,
    /// Share of the requests, in thousandths.
    pub share: u16,
    /// Maximum prompt size that it accepts, in tokens; `None` for no limit.
    pub max_prompt_tokens: Option<u64>,
}

impl Canary {
    /// Returns whether a request with a prompt of `prompt` tokens belongs to the canary's share.
    pub fn accepts(&self, id: &str, prompt: Option<u32>) -> bool {
        let position = xxh3_64_with_seed(id.as_bytes(), self.order) % u64::from(FULL_SHARE);
        let is_small = self
            .max_prompt_tokens
            .is_none_or(|largest| u64::from(prompt.unwrap_or(0)) <= largest);
        !self.endpoints.is_empty() && is_small && position < u64::from(self.share)
    }

    /// Returns whether all requests go to it.
    pub const fn takes_all(&self) -> bool {
        self.share >= FULL_SHARE
    }
}

/// Accounts that a request of an organisation is charged to.
#[derive(Clone, Debug)]
pub struct Accounts {
    /// Account of this entry's share of the limit.
    pub own: Arc<Account>,
    /// Account from which this entry grants units to its zone as the keeper.
    pub zone: Arc<Account>,
}

/// Immutable snapshot of routes, endpoints and limits that requests are served from.
#[derive(Debug, Default)]
pub struct View {
    /// Routes and keys; `None` until a document is known.
    pub table: Option<Table>,
    /// Routes that were in force before.
    pub history: History,
    /// Services by name.
    pub services: HashMap<name::Service, Service>,
    /// Endpoints of all services, by [`Endpoint::hash`].
    pub by_hash: HashMap<u64, Arc<Endpoint>>,
    /// Accounts by organisation.
    pub accounts: HashMap<name::Organisation, Accounts>,
    /// Requests suspected of crashing endpoints.
    pub suspects: quarantine::Table,
    /// Parts of prompts that are refused as they crash endpoints.
    pub suspect_parts: quarantine::part::Table,
    /// Keeper and deputy of the zone.
    pub keepers: Keepers,
    /// Entries that grant requests to endpoints with an announced rate.
    pub granters: Arc<[granter::Candidate]>,
    /// Whether any endpoint is known.
    pub knows_endpoints: bool,
    /// Whether the list of entries has been read.
    pub knows_entries: bool,
}

impl View {
    /// Returns whether requests can be served from this view.
    pub const fn can_serve(&self) -> bool {
        self.table.is_some() && self.knows_endpoints
    }

    /// Returns whether this view also contains what is needed to check limits.
    pub const fn is_complete(&self) -> bool {
        self.can_serve() && self.knows_entries
    }

    /// Returns whether another service may have begun a stream, given the hash of its attempt's identifier if that is known: its
    /// route leads to several, or does so by another document.
    pub fn may_have_moved(
        &self,
        now: Instant,
        host: &str,
        path: &str,
        attempt: Option<u64>,
        service: &name::Service,
    ) -> bool {
        let current = self.table.iter();
        let current = current.flat_map(|table| table.stream_services(host, path, attempt));
        let others = self.history.streams(now);
        let others = others.flat_map(|streams| streams.services(host, path, attempt));
        current.chain(others).any(|other| other != service)
    }

    /// Returns whether a service's endpoints are model engines.
    pub fn is_engine(&self, service: &name::Service) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| service.engine.is_some())
    }

    /// Returns an endpoint by [`Endpoint::hash`].
    pub fn endpoint(&self, hash: u64) -> Option<&Arc<Endpoint>> {
        self.by_hash.get(&hash)
    }
}

/// State shared by all threads of one entry.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the entry.
    pub settings: Settings,
    /// Names of headers and fields that callers and endpoints use.
    pub dialect: Dialect,
    /// Current view.
    pub view: ArcSwap<View>,
    /// Wakes tasks that wait for a view that requests can be served from.
    pub view_ready: Notify,
    /// Start time of the process.
    pub started: Instant,
    /// Clock of the entry.
    pub clock: Clock,
    /// Log of the entry.
    pub log: Log,
    /// Metrics of the entry.
    pub metrics: Metrics,
    /// Number of requests by organisation and window.
    pub tally: Tally,
    /// Parts of prompts that endpoints have cached. Worker threads and the control thread hold the lock for
    /// microseconds.
    pub cache_index: Mutex<Index>,
    /// In-flight reports that the entries of the zone sent to this one as their keeper. Threads hold the lock for
    /// microseconds.
    pub ledger: Mutex<Ledger>,
    /// Admission in a shortage, by service.
    pub controllers: Controllers,
    /// Endpoints that announced a rate in an answer to this entry.
    pub announcers: Announcers,
    /// Evidence from the answers of two versions during a rollout.
    pub rollout_evidence: Arc<Collector>,
    /// Wakes the task that reports changes of in-flight requests to the keeper.
    pub in_flight_changed: Notify,
    /// Channel for notes from requests to the control thread.
    pub notes: UnboundedSender<Note>,
    /// Whether the entry is stopping.
    pub stopping: AtomicBool,
    /// Progress of the stop, and how long requests last.
    pub drain: Drain,
    /// Whether the entry is cut off from endpoints that its callers need.
    pub stranded: AtomicBool,
    /// Evidence of whether the entry reaches endpoints.
    pub reach: Reach,
    /// Entries that pass requests to endpoints that this one does not reach.
    pub relays: Candidates,
    /// Versions at which streams began.
    pub origins: Origins,
    /// Requests that completed at this entry.
    pub completed: quarantine::Completed,
    /// Parts of prompts whose requests endpoints began to answer.
    pub answered: quarantine::Completed,
    /// Newest version of the document that any entry is known to have.
    pub newest_document: AtomicU64,
    /// Whether this entry has lacked that version for too long.
    pub late: AtomicBool,
    /// Number of requests in flight.
    pub active: AtomicUsize,
    /// Room for the bodies of requests. Threads hold the lock for microseconds.
    pub intake: Mutex<Intake>,
    /// Wakes the readers of bodies when some of them have lost their room.
    pub room_yielded: Notify,
}

impl Shared {
    /// Creates the state of an entry that starts now, with a channel for notes from its requests.
    pub fn new(
        settings: Settings,
        dialect: Dialect,
        clock: Clock,
        logger: Logger,
        notes: UnboundedSender<Note>,
    ) -> Self {
        let usage_window = Duration::from_secs_f64(settings.duty.usage_window_s.max(0.0));
        Self {
            dialect,
            view: ArcSwap::from_pointee(View::default()),
            view_ready: Notify::new(),
            started: clock.now(),
            clock,
            log: Log::new(logger),
            metrics: Metrics::new(),
            tally: Tally::new(clock, usage_window),
            cache_index: Mutex::default(),
            ledger: Mutex::default(),
            controllers: Controllers::default(),
            announcers: Announcers::default(),
            rollout_evidence: Arc::default(),
            in_flight_changed: Notify::new(),
            notes,
            stopping: AtomicBool::new(false),
            drain: Drain::default(),
            stranded: AtomicBool::new(false),
            reach: Reach::default(),
            relays: Candidates::new(&settings.name),
            origins: Origins::default(),
            completed: quarantine::Completed::default(),
            answered: quarantine::Completed::default(),
            newest_document: AtomicU64::new(0),
            late: AtomicBool::new(false),
            active: AtomicUsize::new(0),
            intake: Mutex::new(Intake::new(settings.intake())),
            room_yielded: Notify::new(),
            settings,
        }
    }

    /// Locks the index of cached prompt parts.
    pub fn cache_index(&self) -> MutexGuard<'_, Index> {
        self.cache_index.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the room for the bodies of requests.
    pub fn intake(&self) -> MutexGuard<'_, Intake> {
        self.intake.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the in-flight reports of the zone's entries.
    pub fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the load balancer may send callers to this entry.
    ///
    /// An entry is not ready while its zone is cut off and lacks endpoints of some service. Its callers would wait for
    /// connections to other zones and be refused; entries in other zones can serve them.
    ///
    /// An entry that reaches no endpoint of some service stays ready: another entry passes its requests on, or nobody reaches
    /// the service.
    ///
    /// An entry is also not ready while it cannot get the newest document although others have it, since it would
    /// handle callers by outdated configuration. If most entries are late, the load balancer uses all of them.
    pub fn is_ready(&self) -> bool {
        let view = self.view.load();
        view.can_serve() && !self.is_stopping() && !self.is_stranded() && !self.is_late()
    }

    /// Returns whether other entries have to know the versions of streams: several may have begun those that go on, or the
    /// store cannot tell now.
    pub fn has_to_tell_origins(&self, service: &name::Service) -> bool {
        let view = self.view.load();
        let is_sole = view
            .services
            .get(service)
            .is_some_and(|service| service.versions.len() == 1);
        !(is_sole && view.knows_entries && self.origins.is_current(self.clock.now()))
    }

    /// Returns whether another entry has a newer document than `view`.
    pub fn is_behind(&self, view: &View) -> bool {
        let version = view.table.as_ref().map_or(0, |table| table.document().version);
        version < self.newest_document.load(Ordering::Acquire)
    }

    /// Returns whether this entry has lacked the newest document for too long.
    pub fn is_late(&self) -> bool {
        self.late.load(Ordering::Acquire)
    }

    /// Returns whether the entry is cut off from endpoints that its callers need.
    pub fn is_stranded(&self) -> bool {
        self.stranded.load(Ordering::Acquire)
    }

    /// Returns whether new requests are refused because the entry stops.
    pub fn is_closed(&self) -> bool {
        self.drain.is_closed(self.clock.now())
    }

    /// Returns whether the entry is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }
}
