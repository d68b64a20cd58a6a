//! Remembers which endpoints hold which parts of prompts.

use core::time::Duration;
use std::collections::HashMap;
use std::collections::VecDeque;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::dialect::Part;

/// How long a part is taken to stay in an endpoint's cache after its last use, whatever room there is.
const MEMORY: Duration = Duration::from_mins(1);

/// The part of an engine's memory that its cache is taken to have; the rest holds requests under way.
const CACHED: f64 = 0.7;

/// The most parts remembered of one endpoint; about fifty bytes each.
const MOST_PARTS: usize = 2_048;

/// How long a reading is told to the other entries: several rounds of telling.
const TOLD: Duration = Duration::from_secs(2);

/// The most readings told at once; some kilobytes, for the keeper of a zone that chooses for dozens of requests a second.
const MOST_TOLD: usize = 256;

/// One part read by one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CachedPart {
    /// The endpoint, by its hash.
    pub endpoint: u64,
    /// The part.
    pub part: Part,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    tokens: u32,
    at: Instant,
}

/// What one endpoint is taken to hold.
#[derive(Debug, Default)]
struct Cache {
    parts: HashMap<u64, Held>,
    tokens: u64,
}

impl Cache {
    /// Notes that a part was used; returns whether it was not held before.
    fn hold(&mut self, part: Part, at: Instant) -> bool {
        let held = Held {
            tokens: part.tokens,
            at,
        };
        let before = self.parts.insert(part.id, held);
        self.tokens -= before.map_or(0, |before| u64::from(before.tokens));
        self.tokens += u64::from(part.tokens);
        before.is_none()
    }

    /// Drops what was used longest ago until no more than `room` tokens are held; returns what was dropped.
    fn fit(&mut self, room: u64) -> Vec<u64> {
        let mut dropped = Vec::new();
        while self.tokens > room || self.parts.len() > MOST_PARTS {
            let oldest = self.parts.iter().min_by_key(|(_, held)| held.at);
            let Some(id) = oldest.map(|(id, _)| *id) else {
                break;
            };
            self.drop(id);
            dropped.push(id);
        }
        dropped
    }

    /// Drops what was not used for a time; returns what was dropped.
    fn expire(&mut self, now: Instant, memory: Duration) -> Vec<u64> {
        let old = self.parts.iter().filter(|(_, held)| now.since(held.at) >= memory);
        let old: Vec<u64> = old.map(|(id, _)| *id).collect();
        for id in &old {
            self.drop(*id);
        }
        old
    }

    fn drop(&mut self, id: u64) {
        if let Some(held) = self.parts.remove(&id) {
            self.tokens -= u64::from(held.tokens);
        }
    }
}

/// Which endpoints hold which parts, for this entry and for those that tell it.
///
/// Failure: engines drop what they used longest ago when their memory is full, and requests go on to where their parts
/// were. Symptom: engines read again what others still hold, and streams begin later than expected. An engine is taken to
/// hold no more than its cache has room for, and to drop what it used longest ago.
#[derive(Debug)]
pub struct CacheIndex {
    caches: HashMap<u64, Cache>,
    /// The endpoints that hold each part.
    holders: HashMap<u64, Vec<u64>>,
    told: VecDeque<(Instant, CachedPart)>,
    /// The tokens that one endpoint's cache holds.
    room: u64,
}

impl Default for CacheIndex {
    fn default() -> Self {
        Self {
            caches: HashMap::new(),
            holders: HashMap::new(),
            told: VecDeque::new(),
            room: u64::MAX,
        }
    }
}

impl CacheIndex {
    /// Sets the tokens that one engine's memory holds.
    pub fn set_memory(&mut self, memory: u64) {
        self.room = (memory as f64 * CACHED) as u64;
    }

    /// Notes that an endpoint reads these parts by this entry's choice; the last one is the request's own and told to nobody,
    /// and so is what the endpoint held already.
    pub fn record_choice(&mut self, now: Instant, endpoint: u64, parts: &[Part]) {
        for (place, part) in parts.iter().enumerate() {
            let reading = CachedPart { endpoint, part: *part };
            let is_news = !self.holds(part.id, endpoint);
            self.record(now, reading);
            if is_news && place + 1 < parts.len() {
                self.told.push_back((now, reading));
            }
        }
        while self.told.len() > MOST_TOLD {
            self.told.pop_front();
        }
    }

    /// Notes that an endpoint reads a part.
    pub fn record(&mut self, now: Instant, reading: CachedPart) {
        let cache = self.caches.entry(reading.endpoint).or_default();
        if cache.hold(reading.part, now) {
            let holders = self.holders.entry(reading.part.id).or_default();
            holders.push(reading.endpoint);
        }
        for dropped in cache.fit(self.room) {
            forget(&mut self.holders, dropped, reading.endpoint);
        }
    }

    /// Returns how many tokens at the beginning of a prompt each endpoint holds that holds any.
    pub fn held_by_endpoint(&self, parts: &[Part]) -> HashMap<u64, u64> {
        let first = parts.first().and_then(|part| self.holders.get(&part.id));
        let holders = first.into_iter().flatten();
        holders
            .map(|endpoint| (*endpoint, self.held_tokens(parts, *endpoint)))
            .collect()
    }

    /// Returns what this entry had read lately, for the other entries.
    pub fn announced(&mut self, now: Instant) -> Vec<CachedPart> {
        self.told.retain(|(at, _)| now.since(*at) < TOLD);
        self.told.iter().map(|(_, reading)| *reading).collect()
    }

    /// Returns how many tokens at the beginning of a prompt an endpoint holds.
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

    /// Forgets what has not been used for long, and what endpoints hold that are gone.
    pub fn expire(&mut self, now: Instant, is_there: impl Fn(u64) -> bool) {
        for (endpoint, cache) in &mut self.caches {
            let memory = if is_there(*endpoint) { MEMORY } else { Duration::ZERO };
            for dropped in cache.expire(now, memory) {
                forget(&mut self.holders, dropped, *endpoint);
            }
        }
        self.caches.retain(|_, cache| !cache.parts.is_empty());
    }
}

/// Takes an endpoint out of those that hold a part.
fn forget(holders: &mut HashMap<u64, Vec<u64>>, part: u64, endpoint: u64) {
    if let Some(of_part) = holders.get_mut(&part) {
        of_part.retain(|holder| *holder != endpoint);
        if of_part.is_empty() {
            holders.remove(&part);
        }
    }
}
