//! Entries that can open tunnels for this one.

use core::net::SocketAddr;
use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::sync::Arc;

use arc_swap::ArcSwap;
use bergamotshift_core::clock::Expiry;
use bergamotshift_core::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// Time for which an entry that opened no tunnel is asked for none.
const BACKOFF: Duration = Duration::from_millis(500);

/// Number of open tunnels by which an entry of the own availability zone may exceed one of another zone.
const NEAR_ADVANTAGE: usize = 8;

/// Entry that reaches endpoints.
#[derive(Debug)]
pub struct Candidate {
    /// Name of the entry.
    pub entry: name::Entry,
    /// Address on which it accepts requests for tunnels.
    pub address: SocketAddr,
    /// Whether it is in this entry's availability zone.
    pub is_near: bool,
    /// Number of tunnels of this entry that are open there.
    pub open: Arc<AtomicUsize>,
    /// Time until which it is not asked.
    backoff: Expiry,
}

impl Candidate {
    fn new(entry: name::Entry, address: SocketAddr, is_near: bool) -> Self {
        Self {
            entry,
            address,
            is_near,
            open: Arc::default(),
            backoff: Expiry::default(),
        }
    }

    /// Records that it opened no tunnel.
    pub fn back_off(&self, now: Instant) {
        self.backoff.set(now + BACKOFF);
    }

    /// Returns the number of open tunnels by which entries are compared.
    fn load(&self) -> usize {
        let penalty = if self.is_near { 0 } else { NEAR_ADVANTAGE };
        self.open.load(Ordering::Relaxed) + penalty
    }
}

/// Entries that can open tunnels for this one; the control thread replaces them.
#[derive(Debug)]
pub struct Candidates {
    list: ArcSwap<Vec<Arc<Candidate>>>,
    /// Decides between equals; differs between entries, which would otherwise all take the same one first.
    turn: AtomicUsize,
}

impl Candidates {
    /// Creates a list without entries for the entry of this name.
    pub fn new(own: &name::Entry) -> Self {
        Self {
            list: ArcSwap::default(),
            turn: AtomicUsize::new(xxh3_64(own.as_str().as_bytes()) as usize),
        }
    }

    /// Replaces the entries; what is known of one that stays is kept.
    pub fn replace(&self, entries: impl Iterator<Item = (name::Entry, SocketAddr, bool)>) {
        let before = self.list.load_full();
        let known = |entry: &name::Entry, address: SocketAddr| {
            let mut known = before.iter();
            known.find(|known| known.entry == *entry && known.address == address)
        };
        let list: Vec<_> = entries
            .map(|(entry, address, is_near)| match known(&entry, address) {
                Some(candidate) => Arc::clone(candidate),
                None => Arc::new(Candidate::new(entry, address, is_near)),
            })
            .collect();
        let is_same = list.len() == before.len() && list.iter().zip(&*before).all(|(a, b)| Arc::ptr_eq(a, b));
        if !is_same {
            self.list.store(Arc::new(list));
        }
    }

    /// Returns whether no entry can open tunnels.
    pub fn is_empty(&self) -> bool {
        self.list.load().is_empty()
    }

    /// Returns the entry with the fewest open tunnels, of those that do not back off.
    pub fn least_loaded(&self, now: Instant) -> Option<Arc<Candidate>> {
        let list = self.list.load();
        let start = self.turn.fetch_add(1, Ordering::Relaxed) % list.len().max(1);
        let (before, from) = list.split_at(start);
        let available = from.iter().chain(before);
        // Of equals, the first one is taken.
        let available = available.filter(|candidate| candidate.backoff.after(now).is_none());
        available.min_by_key(|candidate| candidate.load()).cloned()
    }
}
