//! The immutable picture that requests are served from, and what outlives each picture.

mod rates;

use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use arc_swap::ArcSwap;
use bergamotshift_core::prelude::*;
use bergamotshift_limit::quarantine;
use bergamotshift_limit::retry::Budget;
use bergamotshift_rollout::directive::FULL_SHARE;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use self::rates::Origin;
use crate::choice::CacheIndex;
use crate::dialect::Dialect;
use crate::document::Engine;
use crate::duty::Tally;
use crate::endpoint::Endpoint;
use crate::endpoint::Ledger;
use crate::limits::Account;
use crate::limits::Keepers;
use crate::limits::granter;
use crate::observe::Clock;
use crate::observe::Log;
use crate::observe::Metrics;
use crate::peers::Note;
use crate::rollouts::Collector;
use crate::routes::Table;
use crate::settings::Settings;

/// What a service looks like to a request.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its endpoints of the versions that serve everybody, leaving ones included.
    pub endpoints: Arc<[Arc<Endpoint>]>,
    /// The new version that is tried; `None` when no order stands.
    pub canary: Option<Canary>,
    /// What its model engines are like; `None` for a plain service.
    pub engine: Option<Engine>,
    /// Bounds repeated sends; outlives pictures.
    pub budget: Arc<Budget>,
    /// Prompt tokens that callers asked to have read; outlives pictures.
    pub requested_tokens: Arc<AtomicU64>,
    /// Tokens of a usual prompt; outlives pictures.
    pub typical_prompt: Arc<AtomicU64>,
}

impl Service {
    /// Returns the endpoints of all versions that take requests, leaving ones included.
    pub fn all_endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        let canary = self.canary.iter().flat_map(|canary| canary.endpoints.iter());
        self.endpoints.iter().chain(canary)
    }

    /// Returns the new version that a request goes to, if it belongs to its share or all requests go there.
    pub fn canary_for(&self, is_canary: bool) -> Option<&Canary> {
        self.canary.as_ref().filter(|canary| is_canary || canary.is_whole())
    }

    /// Notes the size of a prompt.
    pub fn record_prompt(&self, tokens: u32) {
        /// The part of the way to the newest size that the usual one goes.
        const PART: i64 = 16;
        let tokens = i64::from(tokens);
        let turn = |usual: u64| {
            let usual = usual as i64;
            (usual + (tokens - usual) / PART) as u64
        };
        self.typical_prompt.update(Ordering::Relaxed, Ordering::Relaxed, turn);
    }
}

/// A new version of a service while it is tried.
#[derive(Clone, Debug)]
pub struct Canary {
    /// The number of the order.
    pub order: u64,
    /// The endpoints that take its share of the requests.
    pub endpoints: Arc<[Arc<Endpoint>]>,
    /// That share, in thousandths.
    pub share: u16,
    /// Tokens of the largest prompt that it takes; `None` for all.
    pub max_prompt_tokens: Option<u64>,
}

impl Canary {
    /// Returns whether a request belongs to its share, whose prompt has so many tokens.
    pub fn accepts(&self, id: &str, prompt: Option<u32>) -> bool {
        let place = xxh3_64_with_seed(id.as_bytes(), self.order) % u64::from(FULL_SHARE);
        let is_small = self
            .max_prompt_tokens
            .is_none_or(|largest| u64::from(prompt.unwrap_or(0)) <= largest);
        !self.endpoints.is_empty() && is_small && place < u64::from(self.share)
    }

    /// Returns whether all requests are to go to it.
    pub const fn is_whole(&self) -> bool {
        self.share >= FULL_SHARE
    }
}

/// What a request asks about its organisation's limit.
#[derive(Clone, Debug)]
pub struct Accounts {
    /// This entry's share.
    pub own: Arc<Account>,
    /// What this entry grants to its zone, when it keeps that.
    pub zone: Arc<Account>,
}

/// The immutable picture that requests are served from.
#[derive(Debug, Default)]
pub struct View {
    /// The routes and keys; `None` until a document is known.
    pub table: Option<Table>,
    /// The services.
    pub services: HashMap<name::Service, Service>,
    /// The endpoints of all services, by the hash of their identifiers.
    pub by_hash: HashMap<u64, Arc<Endpoint>>,
    /// The organisations' accounts.
    pub accounts: HashMap<name::Organisation, Accounts>,
    /// Requests that are suspected of ending endpoints.
    pub suspects: quarantine::Table,
    /// Who decides for the zone.
    pub keeping: Keepers,
    /// The entries that grant requests to endpoints which name a rate.
    pub granters: Arc<[granter::Candidate]>,
    /// Whether endpoints have been read at least once.
    pub knows_endpoints: bool,
    /// Whether the list of entries has been read, or what it tells was heard.
    pub knows_entries: bool,
}

impl View {
    /// Returns whether requests can be served from it.
    pub const fn is_known(&self) -> bool {
        self.table.is_some() && self.knows_endpoints
    }

    /// Returns whether requests can be judged by it: also what they count against limits is known.
    pub const fn is_complete(&self) -> bool {
        self.is_known() && self.knows_entries
    }

    /// Returns whether a service's endpoints are model engines.
    pub fn is_engine(&self, service: &name::Service) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| service.engine.is_some())
    }

    /// Finds an endpoint by the hash of its identifier.
    pub fn endpoint(&self, hash: u64) -> Option<&Arc<Endpoint>> {
        self.by_hash.get(&hash)
    }
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
    /// Wakes whoever waits for the first picture that requests can be served from.
    pub view_ready: Notify,
    /// When the process started.
    pub started: Instant,
    /// The clock.
    pub clock: Clock,
    /// The log.
    pub log: Log,
    /// The metrics.
    pub metrics: Metrics,
    /// Requests by organisation and window.
    pub tally: Tally,
    /// Which endpoints read which parts of prompts. Worker threads and the control thread hold it for microseconds.
    pub recall: Mutex<CacheIndex>,
    /// What the entries of the zone told this one as their keeper. Threads hold it for microseconds.
    pub ledger: Mutex<Ledger>,
    /// What this entry saw of the answers of two versions.
    pub rollout_evidence: Arc<Collector>,
    /// Wakes whoever tells the keeper that work under way began or ended.
    pub in_flight_changed: Notify,
    /// What requests tell the control thread.
    pub notes: UnboundedSender<Note>,
    /// Whether the entry is about to end.
    pub stopping: AtomicBool,
    /// Wakes whoever has something to do once the entry is about to end.
    pub stop: Notify,
    /// Whether requests are refused because the entry ends before they could.
    pub closed: AtomicBool,
    /// Whether the entry is cut off from endpoints that its callers need.
    pub stranded: AtomicBool,
    /// The newest version of the document that any entry is known to have.
    pub newest_document: AtomicU64,
    /// Whether this entry has lacked that for too long.
    pub late: AtomicBool,
    /// Requests under way.
    pub active: AtomicUsize,
}

impl Shared {
    /// Lends the memory of which endpoints read which parts.
    pub fn recall(&self) -> MutexGuard<'_, CacheIndex> {
        self.recall.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lends what the entries of the zone told this one.
    pub fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the balancer may send callers.
    ///
    /// Failure: a zone is cut off from the others, and its entries have no endpoint of some service there. Symptom: their
    /// callers wait for connections to other zones and are refused. Entries that say they are not ready send their callers
    /// to other zones, where they are served.
    ///
    /// Failure: an entry cannot get the newest document, though others have it. Symptom: its callers are handled by what the
    /// operators have changed long ago. It sends them to those others; where most are late, the balancer uses all.
    pub fn is_ready(&self) -> bool {
        let view = self.view.load();
        view.is_known() && !self.is_stopping() && !self.is_stranded() && !self.is_late()
    }

    /// Returns whether another entry has a newer document than a picture.
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

    /// Returns whether requests are refused because the entry ends before they could.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Returns whether the entry is about to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }
}
