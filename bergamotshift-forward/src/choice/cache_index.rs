//! Estimates which endpoints hold which parts of prompts in their caches.

use core::time::Duration;
use std::collections::HashMap;
use std::collections::VecDeque;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::dialect::Part;

/// Time after its last use for which a part is assumed to stay in an endpoint's cache, however much space is left
/// there.
const RETENTION: Duration = Duration::from_mins(1);

/// Fraction of an engine's memory that its cache is assumed to take; the rest holds requests in flight.
const CACHE_FRACTION: f64 = 0.7;

/// Largest number of parts recorded per endpoint, at about fifty bytes each.
const MAX_PARTS: usize = 2_048;

/// Time for which a cached part is announced to the other entries: several rounds of gossip.
const ANNOUNCE_DURATION: Duration = Duration::from_secs(2);

/// Largest number of cached parts announced at once: some kilobytes, for the keeper of a zone that chooses for dozens
/// of requests per second.
const MAX_ANNOUNCED: usize = 256;

/// Prompt part that an endpoint was chosen to prefill, and is then assumed to hold in its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CachedPart {
    /// Hash of the endpoint.
    pub endpoint: u64,
    /// The prompt part.
    pub part: Part,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    tokens: u32,
    used: Instant,
}

/// Estimated content of one endpoint's cache.
#[derive(Debug, Default)]
struct Cache {
    parts: HashMap<u64, Held>,
    tokens: u64,
}

impl Cache {
    /// Records that a part was used; returns whether it was not held before.
    fn insert(&mut self, part: Part, used: Instant) -> bool {
        let held = Held {
            tokens: part.tokens,
            used,
        };
        let before = self.parts.insert(part.id, held);
        self.tokens -= before.map_or(0, |before| u64::from(before.tokens));
        self.tokens += u64::from(part.tokens);
        before.is_none()
    }

    /// Evicts the least recently used parts until no more than `capacity` tokens are held; returns the evicted ones.
    fn evict(&mut self, capacity: u64) -> Vec<u64> {
        let mut evicted = Vec::new();
        while self.tokens > capacity || self.parts.len() > MAX_PARTS {
            let oldest = self.parts.iter().min_by_key(|(_, held)| held.used);
            let Some(id) = oldest.map(|(id, _)| *id) else {
                break;
            };
            self.remove(id);
            evicted.push(id);
        }
        evicted
    }

    /// Removes the parts that were not used for `retention`; returns the removed ones.
    fn expire(&mut self, now: Instant, retention: Duration) -> Vec<u64> {
        let old = self.parts.iter().filter(|(_, held)| now.since(held.used) >= retention);
        let old: Vec<u64> = old.map(|(id, _)| *id).collect();
        for id in &old {
            self.remove(*id);
        }
        old
    }

    fn remove(&mut self, id: u64) {
        if let Some(held) = self.parts.remove(&id) {
            self.tokens -= u64::from(held.tokens);
        }
    }
}

/// Index of the endpoints that hold each prompt part, from the choices of this entry and of those that announce theirs.
///
/// An engine is assumed to hold no more than its cache has space for, and to evict the least recently used parts.
/// Otherwise requests would go on to engines that evicted their parts, which would then prefill what others still hold,
/// and streams would begin later than expected.
#[derive(Debug)]
pub struct Index {
    caches: HashMap<u64, Cache>,
    /// Endpoints that hold each part.
    holders: HashMap<u64, Vec<u64>>,
    announced: VecDeque<(Instant, CachedPart)>,
    /// Number of tokens that the cache of one endpoint holds.
    capacity: u64,
}

impl Default for Index {
    fn default() -> Self {
        Self {
            caches: HashMap::new(),
            holders: HashMap::new(),
            announced: VecDeque::new(),
            capacity: u64::MAX,
        }
    }
}

impl Index {
    /// Sets the number of tokens that the memory of one engine holds.
    pub fn set_memory(&mut self, memory: u64) {
        self.capacity = (memory as f64 * CACHE_FRACTION) as u64;
    }

    /// Records that an endpoint prefills these parts by this entry's choice.
    ///
    /// The last part is the request's own and is not announced, and neither are parts that the endpoint held already.
    pub fn record_choice(&mut self, now: Instant, endpoint: u64, parts: &[Part]) {
        for (index, part) in parts.iter().enumerate() {
            let cached = CachedPart { endpoint, part: *part };
            let is_new = !self.holds(part.id, endpoint);
            self.record(now, cached);
            if is_new && index + 1 < parts.len() {
                self.announced.push_back((now, cached));
            }
        }
        while self.announced.len() > MAX_ANNOUNCED {
            self.announced.pop_front();
        }
    }

    /// Records that an endpoint prefills a part.
    pub fn record(&mut self, now: Instant, cached: CachedPart) {
        let cache = self.caches.entry(cached.endpoint).or_default();
        if cache.insert(cached.part, now) {
            let holders = self.holders.entry(cached.part.id).or_default();
            holders.push(cached.endpoint);
        }
        for evicted in cache.evict(self.capacity) {
            remove_holder(&mut self.holders, evicted, cached.endpoint);
        }
    }

    /// Returns the number of tokens at the beginning of a prompt that each endpoint holds, by its hash; endpoints that
    /// do not hold the first part are left out.
    pub fn held_by_endpoint(&self, parts: &[Part]) -> HashMap<u64, u64> {
        let first = parts.first().and_then(|part| self.holders.get(&part.id));
        let holders = first.into_iter().flatten();
        holders
            .map(|endpoint| (*endpoint, self.held_tokens(parts, *endpoint)))
            .collect()
    }

    /// Returns the parts that were recently prefilled by this entry's choice, for the other entries.
    pub fn announced(&mut self, now: Instant) -> Vec<CachedPart> {
        self.announced.retain(|(at, _)| now.since(*at) < ANNOUNCE_DURATION);
        self.announced.iter().map(|(_, cached)| *cached).collect()
    }

    /// Returns the number of tokens at the beginning of a prompt that an endpoint holds.
    pub fn held_tokens(&self, parts: &[Part], endpoint: u64) -> u64 {
        let Some(cache) = self.caches.get(&endpoint) else {
            return 0;
        };
        let holds = |part: &&Part| cache.parts.contains_key(&part.id);
        parts.iter().take_while(holds).map(|part| u64::from(part.tokens)).sum()
    }

    fn holds(&self, part: u64, endpoint: u64) -> bool {
        let cache = self.caches.get(&endpoint);
        cache.is_some_and(|cache| cache.parts.contains_key(&part))
    }

    /// Returns whether any endpoint is known to hold a part.
    pub fn is_known(&self, part: u64) -> bool {
        self.holders.contains_key(&part)
    }

    /// Removes the parts that have not been used for long, and all parts of endpoints that are gone.
    pub fn expire(&mut self, now: Instant, is_present: impl Fn(u64) -> bool) {
        for (endpoint, cache) in &mut self.caches {
            let retention = if is_present(*endpoint) {
                RETENTION
            } else {
                Duration::ZERO
            };
            for expired in cache.expire(now, retention) {
                remove_holder(&mut self.holders, expired, *endpoint);
            }
        }
        self.caches.retain(|_, cache| !cache.parts.is_empty());
    }
}

/// Removes an endpoint from the holders of a part.
fn remove_holder(holders: &mut HashMap<u64, Vec<u64>>, part: u64, endpoint: u64) {
    if let Some(of_part) = holders.get_mut(&part) {
        of_part.retain(|holder| *holder != endpoint);
        if of_part.is_empty() {
            holders.remove(&part);
        }
    }
}
