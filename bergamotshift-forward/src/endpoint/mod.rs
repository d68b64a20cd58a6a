//! Endpoints: their registrations, health, load and announcements.

mod directory;
mod health;
mod ledger;
mod signals;
mod unanswered;

use core::net::SocketAddr;
use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU32;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::silence::Pulse;
use bergamotshift_limit::tolerance::Room;
pub use bergamotshift_rollout::origin::Wanted;
use bergamotshift_route::speed::Speed;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use self::directory::Change;
pub use self::directory::Directory;
pub use self::directory::Event;
pub use self::directory::Removal;
pub use self::health::Health;
pub use self::ledger::Ledger;
pub use self::signals::Signals;
pub use self::unanswered::Unanswered;
use crate::outside::Cursor;
use crate::peers::InFlight;
use crate::rollouts::Observer;

/// Registration of an endpoint in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Registration {
    /// Identifier of the endpoint; it may stay the same after a restart.
    pub id: SmolStr,
    /// Start time of its process, in milliseconds since the Unix epoch; 0 if unknown. Together with the identifier it
    /// distinguishes incarnations.
    pub born: u64,
    /// Service that it runs.
    pub service: name::Service,
    /// Version of its software.
    pub version: SmolStr,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: name::Zone,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
    /// Market of its VM. The platform may reclaim all reclaimable VMs of a zone at once.
    pub market: Market,
    /// Time until it is reclaimed, if known.
    pub leaves_in: Option<Duration>,
    /// Position of its last write in the store's history.
    pub written: Cursor,
}

/// Requests and prompt tokens in flight at an endpoint.
#[derive(Debug, Default)]
pub struct Load {
    /// Number of requests that were sent and have not ended.
    pub running: AtomicU32,
    /// Prompt tokens of those requests that the endpoint has not read yet; reading ends with a request's first event.
    pub unread: AtomicU64,
}

impl Load {
    /// Sets both values.
    pub fn set(&self, running: u32, unread: u64) {
        self.running.store(running, Relaxed);
        self.unread.store(unread, Relaxed);
    }
}

/// One incarnation of an endpoint, with this entry's knowledge of it.
#[derive(Debug)]
pub struct Endpoint {
    /// Registration at the time when it was first seen.
    pub registration: Registration,
    /// Hash of its identifier and process start time, the same on every entry. Cached prompt parts, in-flight requests
    /// and suspicions are keyed by this hash, so they do not carry over to the next incarnation.
    pub hash: u64,
    /// Load that this entry itself placed there.
    pub own: Load,
    /// Load of the other entries, as last reported.
    pub others: Load,
    /// Load of the zone's entries that this entry placed there as their keeper.
    pub placed: Load,
    /// Recent failures.
    pub health: Health,
    /// Signals from its answers; kept while it is temporarily not registered.
    pub signals: Arc<Signals>,
    /// Its learned speed; kept like its signals.
    pub speed: Arc<Speed>,
    /// Signs of life from its answers to this entry; kept like its signals.
    pub pulse: Arc<Pulse>,
    /// Whether its registration is leaving or gone.
    leaving: AtomicBool,
    /// Whether its zone sent no recent update.
    silent: AtomicBool,
    /// Whether streams may begin at its version.
    declared: AtomicBool,
}

impl Endpoint {
    /// Creates an endpoint from its registration.
    pub fn new(registration: Registration) -> Self {
        Self {
            hash: xxh3_64_with_seed(registration.id.as_bytes(), registration.born),
            leaving: AtomicBool::new(registration.leaving),
            registration,
            own: Load::default(),
            others: Load::default(),
            placed: Load::default(),
            health: Health::default(),
            signals: Arc::default(),
            speed: Arc::default(),
            pulse: Arc::default(),
            silent: AtomicBool::new(false),
            declared: AtomicBool::new(false),
        }
    }

    /// Creates it anew for the same incarnation after its registration was missing; its signals and its speed are
    /// kept.
    #[must_use]
    pub fn reregistered(&self, registration: Registration) -> Self {
        Self {
            signals: Arc::clone(&self.signals),
            speed: Arc::clone(&self.speed),
            pulse: Arc::clone(&self.pulse),
            ..Self::new(registration)
        }
    }

    /// Returns a digest of its service and the version of its software, the same on every entry.
    pub fn version_digest(&self) -> u64 {
        let Registration { service, version, .. } = &self.registration;
        xxh3_64_with_seed(version.as_bytes(), xxh3_64(service.as_str().as_bytes()))
    }

    /// Returns whether a request may go to its version.
    pub fn is_wanted(&self, wanted: Wanted<&str>) -> bool {
        wanted.admits(&self.registration.version, self.declared.load(Relaxed))
    }

    /// Sets whether streams may begin at its version.
    pub fn set_declared(&self, declared: bool) {
        self.declared.store(declared, Relaxed);
    }

    /// Sets whether its zone sent no recent update.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Relaxed);
    }

    /// Returns whether its zone sent no recent update, so that it may be cut off.
    pub fn is_silent(&self) -> bool {
        self.silent.load(Relaxed)
    }

    /// Returns whether it accepts no new requests; once true, this stays true for the incarnation.
    pub fn is_leaving(&self) -> bool {
        self.is_withdrawn() || self.signals.is_leaving()
    }

    /// Returns whether it accepts no new requests according to its registration, which all entries eventually agree on.
    pub fn is_withdrawn(&self) -> bool {
        self.leaving.load(Relaxed)
    }

    /// Returns the time until which this entry sends it no requests; `None` if it may send requests now.
    pub fn closed_until(&self, now: Instant) -> Option<Instant> {
        let Signals {
            throttle, tolerance, ..
        } = &*self.signals;
        let paused = self.signals.paused_until(now).max(throttle.paused_until(now));
        paused.max(tolerance.closed_until(now, self.room()))
    }

    /// Returns the requests in flight there and its slots.
    pub fn room(&self) -> Room {
        Room {
            running: self.running(),
            slots: self.registration.slots,
        }
    }

    /// Marks it as leaving according to its registration; returns whether it was not marked before.
    pub fn mark_leaving(&self) -> bool {
        !self.leaving.swap(true, Relaxed)
    }

    /// Returns the number of requests in flight there from all entries.
    pub fn running(&self) -> u32 {
        let all = [&self.own, &self.others, &self.placed];
        all.iter().map(|load| load.running.load(Relaxed)).sum()
    }

    /// Returns the number of prompt tokens not yet read there for all entries.
    pub fn unread(&self) -> u64 {
        let all = [&self.own, &self.others, &self.placed];
        all.iter().map(|load| load.unread.load(Relaxed)).sum()
    }

    /// Returns the load of this entry there; `with_placed` adds the load that it placed for its zone as the keeper.
    pub fn in_flight(&self, with_placed: bool) -> InFlight {
        let counted = [Some(&self.own), Some(&self.placed).filter(|_| with_placed)];
        let loads = counted.into_iter().flatten();
        loads.fold(InFlight::none(self.hash), |sum, load| InFlight {
            running: sum.running + load.running.load(Relaxed),
            unread: sum.unread + load.unread.load(Relaxed),
            ..sum
        })
    }
}

/// Guard that counts one request as in flight at an endpoint until it is dropped.
#[derive(Debug)]
pub struct Guard {
    endpoint: Arc<Endpoint>,
    /// Prompt tokens of the request that have not been read yet.
    unread: u64,
    /// Records the outcome of the request while two versions are compared.
    observer: Option<Observer>,
    /// Whether events of its answer have arrived.
    has_events: bool,
}

impl Guard {
    /// Counts a request of which `unread` prompt tokens have to be read.
    pub fn take(endpoint: Arc<Endpoint>, unread: u64) -> Self {
        endpoint.own.running.fetch_add(1, Relaxed);
        endpoint.own.unread.fetch_add(unread, Relaxed);
        Self {
            endpoint,
            unread,
            observer: None,
            has_events: false,
        }
    }

    /// Adds an observer that records the outcome of the request.
    #[must_use]
    pub fn with_observer(mut self, observer: Option<Observer>) -> Self {
        self.observer = observer;
        self
    }

    /// Records that the answer arrived completely and reports no failure.
    pub fn record_success(&self) {
        self.endpoint.health.record_success();
    }

    /// Records that the answer reports a failure, was cut off or is invalid.
    pub fn record_failure(&mut self) {
        self.endpoint.health.record_failure();
        self.record_version_failure();
    }

    /// Records a failure for the version comparison only; the caller updates the endpoint's health.
    pub fn record_version_failure(&mut self) {
        if let Some(observer) = &mut self.observer {
            observer.failed();
        }
    }

    /// Records that the answer began.
    pub fn record_start(&mut self) {
        if let Some(observer) = &mut self.observer {
            observer.began();
        }
    }

    /// Records that events of its answer arrived.
    pub fn record_events(&mut self, now: Instant) {
        if self.has_events {
            self.endpoint.pulse.record(now);
        } else {
            self.has_events = true;
            self.endpoint.pulse.begin(now);
        }
    }

    /// Returns the endpoint.
    pub const fn endpoint(&self) -> &Arc<Endpoint> {
        &self.endpoint
    }

    /// Records that the prompt was read because the first event arrived; returns whether unread tokens were left.
    pub fn mark_prompt_read(&mut self) -> bool {
        self.record_start();
        self.take_unread() > 0
    }

    /// Removes the unread tokens of this request from the endpoint's count, and returns their number.
    fn take_unread(&mut self) -> u64 {
        let unread = core::mem::take(&mut self.unread);
        self.endpoint.own.unread.fetch_sub(unread, Relaxed);
        unread
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.take_unread();
        if self.has_events {
            self.endpoint.pulse.end();
        }
        self.endpoint.own.running.fetch_sub(1, Relaxed);
    }
}
