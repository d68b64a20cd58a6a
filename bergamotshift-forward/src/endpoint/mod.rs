//! Endpoints: what they registered, and what this entry knows of each beside that.

mod directory;
mod health;
mod ledger;
mod signals;

use core::net::SocketAddr;
use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU32;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use self::directory::Change;
pub use self::directory::Directory;
pub use self::directory::Event;
pub use self::health::Health;
pub use self::ledger::Ledger;
pub use self::signals::Signals;
use crate::peers::InFlight;
use crate::rollouts::Observer;

/// What an endpoint says of itself where all endpoints register.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Registration {
    /// Names the endpoint; a restart may keep the name.
    pub id: SmolStr,
    /// When its process started, in milliseconds since the start of 1970; 0 where it does not say. With the name, it tells
    /// one incarnation from the next.
    pub born: u64,
    /// The service that it runs.
    pub service: name::Service,
    /// The version of its software.
    pub version: SmolStr,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave and takes no new work.
    pub leaving: bool,
    /// Whether the platform may reclaim it, all of a zone at once.
    pub market: Market,
    /// How long until it is reclaimed, when that is known.
    pub leaves_in: Option<Duration>,
}

/// Work that is under way at an endpoint.
#[derive(Debug, Default)]
pub struct Load {
    /// Requests that were sent and have not ended.
    pub running: AtomicU32,
    /// Prompt tokens that are still to be read before those requests' first events.
    pub unread: AtomicU64,
}

impl Load {
    /// Sets both figures.
    pub fn set(&self, running: u32, unread: u64) {
        self.running.store(running, Relaxed);
        self.unread.store(unread, Relaxed);
    }
}

/// One incarnation of an endpoint, with what this entry knows of it.
#[derive(Debug)]
pub struct Endpoint {
    /// What it registered when it was first seen.
    pub registration: Registration,
    /// A hash of its identifier and the start of its process, the same on every entry. What is known of one incarnation
    /// (cached parts, work under way, suspicions) is known by this, so nothing of it is held against the next one.
    pub hash: u64,
    /// What this entry has under way there.
    pub own: Load,
    /// What the other entries have under way there, as they last said.
    pub others: Load,
    /// What the entries of the zone have under way there by the choice of this one, their keeper.
    pub placed: Load,
    /// How it fared lately.
    pub health: Health,
    /// What it said of itself in its answers; outlives a time in which it is not registered.
    pub signals: Arc<Signals>,
    leaving: AtomicBool,
    /// Whether nothing was heard from its zone just now.
    silent: AtomicBool,
}

impl Endpoint {
    /// Makes an endpoint from its registration.
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
            silent: AtomicBool::new(false),
        }
    }

    /// Makes it anew for the same incarnation, which was not registered for a time; what it said of itself stands.
    #[must_use]
    pub fn reregistered(&self, registration: Registration) -> Self {
        Self {
            signals: Arc::clone(&self.signals),
            ..Self::new(registration)
        }
    }

    /// Notes whether nothing was heard from its zone just now.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Relaxed);
    }

    /// Returns whether nothing was heard from its zone just now, so that it may be cut off.
    pub fn is_silent(&self) -> bool {
        self.silent.load(Relaxed)
    }

    /// Returns whether it takes no new work; once true, it stays true for this incarnation.
    pub fn is_leaving(&self) -> bool {
        self.is_withdrawn() || self.signals.is_leaving()
    }

    /// Returns whether it takes no new work by what is registered, which all entries come to know alike.
    pub fn is_withdrawn(&self) -> bool {
        self.leaving.load(Relaxed)
    }

    /// Returns until when this entry sends it nothing; `None` when it may be sent something.
    pub fn closed_until(&self, now: Instant) -> Option<Instant> {
        self.signals
            .paused_until(now)
            .max(self.signals.throttle.paused_until(now))
    }

    /// Marks it as leaving by what is registered, and returns whether that is news.
    pub fn mark_leaving(&self) -> bool {
        !self.leaving.swap(true, Relaxed)
    }

    /// Returns the requests under way there from all entries.
    pub fn running(&self) -> u32 {
        let all = [&self.own, &self.others, &self.placed];
        all.iter().map(|flight| flight.running.load(Relaxed)).sum()
    }

    /// Returns the prompt tokens still to be read there for all entries.
    pub fn unread(&self) -> u64 {
        let all = [&self.own, &self.others, &self.placed];
        all.iter().map(|flight| flight.unread.load(Relaxed)).sum()
    }

    /// Returns what this entry has under way there, with what it placed for its zone if that is to count.
    pub fn in_flight(&self, with_placed: bool) -> InFlight {
        let counted = [Some(&self.own), Some(&self.placed).filter(|_| with_placed)];
        let flights = counted.into_iter().flatten();
        flights.fold(InFlight::none(self.hash), |flown, flight| InFlight {
            running: flown.running + flight.running.load(Relaxed),
            unread: flown.unread + flight.unread.load(Relaxed),
            ..flown
        })
    }
}

/// Counts one request as under way at an endpoint until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    endpoint: Arc<Endpoint>,
    unread: u64,
    /// Sees what comes of the request while two versions are compared.
    witness: Option<Observer>,
}

impl RequestGuard {
    /// Takes a seat for a request of which `unread` prompt tokens are to be read.
    pub fn take(endpoint: Arc<Endpoint>, unread: u64) -> Self {
        endpoint.own.running.fetch_add(1, Relaxed);
        endpoint.own.unread.fetch_add(unread, Relaxed);
        Self {
            endpoint,
            unread,
            witness: None,
        }
    }

    /// Has a witness see what comes of the request.
    #[must_use]
    pub fn with_witness(mut self, witness: Option<Observer>) -> Self {
        self.witness = witness;
        self
    }

    /// Notes that the answer came whole and tells no failure.
    pub fn record_success(&self) {
        self.endpoint.health.record_success();
    }

    /// Notes that the answer tells a failure, broke off or cannot be used.
    pub fn record_failure(&mut self) {
        self.endpoint.health.record_failure();
        self.record_version_failure();
    }

    /// Notes a failure where the endpoint's health is noted elsewhere.
    pub fn record_version_failure(&mut self) {
        if let Some(witness) = &mut self.witness {
            witness.failed();
        }
    }

    /// Notes that the answer began.
    pub fn record_start(&mut self) {
        if let Some(witness) = &mut self.witness {
            witness.began();
        }
    }

    /// Returns the endpoint.
    pub const fn endpoint(&self) -> &Arc<Endpoint> {
        &self.endpoint
    }

    /// Notes that the prompt was read: the first event has come; returns whether that is news.
    pub fn mark_prompt_read(&mut self) -> bool {
        self.record_start();
        self.take_unread() > 0
    }

    /// Counts the prompt as read no more; returns its tokens.
    fn take_unread(&mut self) -> u64 {
        let unread = core::mem::take(&mut self.unread);
        self.endpoint.own.unread.fetch_sub(unread, Relaxed);
        unread
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.take_unread();
        self.endpoint.own.running.fetch_sub(1, Relaxed);
    }
}
