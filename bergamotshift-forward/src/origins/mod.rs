//! Versions of the endpoints that began streams.
//!
//! What endpoints of two versions write does not fit together, so a stream goes on at the version that began it. A caller may
//! take a stream up at any entry, also after the entry that began it has ended. Each entry records the version of each
//! resumable stream with its first event, and tells some other entries while several versions may serve; an entry that does
//! not know a stream's version asks those. While only one version is known to have served for the lifetime of streams, no
//! entry tells or asks another one.

mod table;

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use arc_swap::ArcSwap;
use bergamotshift_core::clock::Expiry;
use bergamotshift_core::prelude::*;
use smol_str::SmolStr;
use tokio::sync::Notify;

pub use self::table::Key;
pub use self::table::Table;
use crate::limits::granter;
use crate::limits::granter::Candidate;

/// Number of other entries that are told the version of a stream, and asked first.
const HOLDERS: usize = 3;

/// Number of other entries that are asked if the holders do not know it; all of them in a small fleet.
const OTHERS: usize = 16;

/// Number of streams whose versions an entry keeps, of its own and of others.
const CAPACITY: usize = 1 << 16;

/// Versions of streams, with what is needed to find them at other entries.
#[derive(Debug)]
pub struct Origins {
    table: Mutex<Table>,
    /// Other entries that are alive; the control thread replaces them.
    entries: ArcSwap<Vec<Candidate>>,
    /// Time until which the known registrations count as current.
    current: Expiry,
    /// Wakes the task that tells other entries.
    pub untold: Notify,
}

impl Default for Origins {
    fn default() -> Self {
        Self {
            table: Mutex::new(Table::new(CAPACITY)),
            entries: ArcSwap::default(),
            current: Expiry::default(),
            untold: Notify::new(),
        }
    }
}

fn addresses(candidates: &[Option<Candidate>]) -> Vec<SocketAddr> {
    let candidates = candidates.iter().flatten();
    candidates.filter_map(|candidate| candidate.address).collect()
}

impl Origins {
    /// Locks the versions that this entry knows.
    pub fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the version of a stream that this entry began; `is_told` is whether other entries have to know it.
    pub fn record(&self, now: Instant, key: Key, version: SmolStr, is_told: bool) {
        self.table().record_own(now, key, version);
        if is_told {
            self.untold.notify_one();
        }
    }

    /// Replaces the other entries that are alive.
    pub fn set_entries(&self, entries: Vec<Candidate>) {
        if **self.entries.load() != entries {
            self.entries.store(entries.into());
        }
    }

    /// Returns the addresses of the entries that are told the version of a stream.
    pub fn holders(&self, key: Key) -> Vec<SocketAddr> {
        let holders: [_; HOLDERS] = granter::top(key.get(), &self.entries.load());
        addresses(&holders)
    }

    /// Returns the addresses of the entries that are asked for the version of a stream after its holders: one that knows it may
    /// not reach those.
    pub fn others(&self, key: Key) -> Vec<SocketAddr> {
        let ranked: [_; HOLDERS + OTHERS] = granter::top(key.get(), &self.entries.load());
        addresses(&ranked[HOLDERS..])
    }

    /// Sets the time until which the known registrations count as current.
    pub fn set_current(&self, until: Instant) {
        self.current.set(until);
    }

    /// Returns whether the known registrations are current, so that no unknown version serves.
    pub fn is_current(&self, now: Instant) -> bool {
        self.current.after(now).is_some()
    }

    /// Sets the time for which versions of streams are kept.
    pub fn set_lifetime(&self, lifetime: Duration) {
        self.table().set_lifetime(lifetime);
    }
}
