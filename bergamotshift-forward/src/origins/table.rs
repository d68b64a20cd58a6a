//! The versions of streams that an entry knows.

use core::time::Duration;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::collections::hash_map::Entry;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use xxhash_rust::xxh3::Xxh3;

/// Time for which versions are kept until a document says how long streams last.
const DEFAULT_LIFETIME: Duration = Duration::from_mins(1);

/// Maximum number of streams that an entry stores; they fit into a row.
const MAX_STORED: usize = 4_500;

/// Hash of a stream's service, its caller's organisation, and the identifier of the attempt that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Key(u64);

impl Key {
    /// Creates the key of a stream.
    pub fn new(service: &name::Service, organisation: Option<&name::Organisation>, attempt: &str) -> Self {
        let mut hasher = Xxh3::new();
        for part in [
            service.as_str(),
            organisation.map_or("", name::Organisation::as_str),
            attempt,
        ] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        Self(hasher.digest())
    }

    /// Returns the hash.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Versions of streams by key, of which the oldest are evicted first.
///
/// ```
/// use core::time::Duration;
///
/// use bergamotshift_core::prelude::*;
/// use bergamotshift_forward::origins::Key;
/// use bergamotshift_forward::origins::Table;
///
/// let mut table = Table::new(1_000);
/// let key = Key::new(&name::Service::new("planner"), None, "attempt-1");
/// table.record_own(Instant::ZERO, key, "v1".into());
/// assert_eq!(table.get(Instant::from_secs(5), key).as_deref(), Some("v1"));
/// table.set_lifetime(Duration::from_secs(4));
/// assert_eq!(table.get(Instant::from_secs(5), key), None);
/// ```
#[derive(Debug)]
pub struct Table {
    /// Version of each stream; `None` if two streams with the same key began at different versions.
    versions: HashMap<Key, Option<SmolStr>>,
    /// Keys in the order in which they were recorded, with the times.
    order: VecDeque<(Instant, Key)>,
    /// Streams of this entry that no other entry was told of.
    untold: VecDeque<(Instant, Key, SmolStr)>,
    /// Streams that this entry stores, of its own and of others.
    stored: VecDeque<(Instant, Key, SmolStr)>,
    capacity: usize,
    lifetime: Duration,
}

impl Table {
    /// Creates a table for at most `capacity` streams.
    pub fn new(capacity: usize) -> Self {
        Self {
            versions: HashMap::new(),
            order: VecDeque::new(),
            untold: VecDeque::new(),
            stored: VecDeque::new(),
            capacity,
            lifetime: DEFAULT_LIFETIME,
        }
    }

    /// Sets the time for which versions are kept.
    pub const fn set_lifetime(&mut self, lifetime: Duration) {
        self.lifetime = lifetime;
    }

    /// Records the version of a stream that began at this entry.
    pub fn record_own(&mut self, now: Instant, key: Key, version: SmolStr) {
        self.record(now, key, version.clone());
        self.untold.push_back((now, key, version));
        if self.untold.len() > self.capacity {
            self.untold.pop_front();
        }
    }

    /// Records the version of a stream that this entry has to store.
    pub fn store(&mut self, now: Instant, key: Key, version: SmolStr) {
        self.record(now, key, version.clone());
        self.stored.push_back((now, key, version));
        if self.stored.len() > self.capacity.min(MAX_STORED) {
            self.stored.pop_front();
        }
    }

    /// Records the version of a stream that a former process of this entry stored.
    pub fn restore(&mut self, now: Instant, key: Key, version: SmolStr) {
        let is_known = |(_, known, began): &(Instant, Key, SmolStr)| *known == key && *began == version;
        if !self.stored.iter().any(is_known) {
            self.store(now, key, version);
        }
    }

    /// Records the version of a stream.
    pub fn record(&mut self, now: Instant, key: Key, version: SmolStr) {
        self.expire(now);
        match self.versions.entry(key) {
            Entry::Occupied(mut known) => {
                if known.get().as_ref() != Some(&version) {
                    known.insert(None);
                }
            }
            Entry::Vacant(vacant) => {
                vacant.insert(Some(version));
                self.order.push_back((now, key));
            }
        }
        if self.versions.len() > self.capacity {
            self.evict();
        }
    }

    /// Returns the version of a stream; `None` if it is not known.
    pub fn get(&mut self, now: Instant, key: Key) -> Option<SmolStr> {
        self.expire(now);
        self.versions.get(&key)?.clone()
    }

    /// Returns whether two streams with the same key began at different versions.
    pub fn is_ambiguous(&mut self, now: Instant, key: Key) -> bool {
        self.expire(now);
        matches!(self.versions.get(&key), Some(None))
    }

    /// Takes the streams of this entry that no other entry was told of.
    pub fn take_untold(&mut self, now: Instant) -> Vec<(Key, SmolStr)> {
        self.expire(now);
        let untold = self.untold.drain(..);
        untold.map(|(_, key, version)| (key, version)).collect()
    }

    /// Returns the streams that this entry stores.
    pub fn stored(&mut self, now: Instant) -> impl Iterator<Item = (Key, &SmolStr)> {
        self.expire(now);
        self.stored.iter().map(|(_, key, version)| (*key, version))
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Returns whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        let lifetime = self.lifetime;
        let is_old = |at: Instant| now.since(at) > lifetime;
        while self.order.front().is_some_and(|(at, _)| is_old(*at)) {
            self.evict();
        }
        for queue in [&mut self.untold, &mut self.stored] {
            while queue.front().is_some_and(|(at, ..)| is_old(*at)) {
                queue.pop_front();
            }
        }
    }

    /// Removes the oldest stream.
    fn evict(&mut self) {
        if let Some((_, key)) = self.order.pop_front() {
            self.versions.remove(&key);
        }
    }
}
