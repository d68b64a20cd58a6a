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
pub struct Reading {
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
    fn hold(&mut self, part: Part, at: Instant) {
        let held = Held {
            tokens: part.tokens,
            at,
        };
        if let Some(before) = self.parts.insert(part.id, held) {
            self.tokens -= u64::from(before.tokens);
        }
        self.tokens += u64::from(part.tokens);
    }

    /// Drops what was used longest ago until no more than `room` tokens are held.
    fn fit(&mut self, room: u64) {
        while self.tokens > room || self.parts.len() > MOST_PARTS {
            let oldest = self.parts.iter().min_by_key(|(_, held)| held.at);
            let Some(id) = oldest.map(|(id, _)| *id) else {
                return;
            };
            self.drop(id);
        }
    }

    fn expire(&mut self, now: Instant) {
        let old = self.parts.iter().filter(|(_, held)| now.since(held.at) >= MEMORY);
        let old: Vec<u64> = old.map(|(id, _)| *id).collect();
        for id in old {
            self.drop(id);
        }
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
pub struct Recall {
    caches: HashMap<u64, Cache>,
    told: VecDeque<(Instant, Reading)>,
    /// The tokens that one endpoint's cache holds.
    room: u64,
}

impl Default for Recall {
    fn default() -> Self {
        Self {
            caches: HashMap::new(),
            told: VecDeque::new(),
            room: u64::MAX,
        }
    }
}

impl Recall {
    /// Sets the tokens that one engine's memory holds.
    pub fn bound(&mut self, memory: u64) {
        self.room = (memory as f64 * CACHED) as u64;
    }

    /// Notes that an endpoint reads these parts by this entry's choice; the last one is the request's own and told to nobody,
    /// and so is what the endpoint held already.
    pub fn note(&mut self, now: Instant, endpoint: u64, parts: &[Part]) {
        for (place, part) in parts.iter().enumerate() {
            let reading = Reading { endpoint, part: *part };
            let is_news = !self.holds(part.id, endpoint);
            self.hear(now, reading);
            if is_news && place + 1 < parts.len() {
                self.told.push_back((now, reading));
            }
        }
        while self.told.len() > MOST_TOLD {
            self.told.pop_front();
        }
    }

    /// Notes that an endpoint reads a part.
    pub fn hear(&mut self, now: Instant, reading: Reading) {
        let cache = self.caches.entry(reading.endpoint).or_default();
        cache.hold(reading.part, now);
        cache.fit(self.room);
    }

    /// Returns what this entry had read lately, for the other entries.
    pub fn told(&mut self, now: Instant) -> Vec<Reading> {
        self.told.retain(|(at, _)| now.since(*at) < TOLD);
        self.told.iter().map(|(_, reading)| *reading).collect()
    }

    /// Returns how many tokens at the beginning of a prompt an endpoint holds.
    pub fn held(&self, parts: &[Part], endpoint: u64) -> u64 {
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
        self.caches.values().any(|cache| cache.parts.contains_key(&part))
    }

    /// Forgets what has not been used for long, and what endpoints hold that are gone.
    pub fn expire(&mut self, now: Instant, is_there: impl Fn(u64) -> bool) {
        for cache in self.caches.values_mut() {
            cache.expire(now);
        }
        self.caches
            .retain(|endpoint, cache| !cache.parts.is_empty() && is_there(*endpoint));
    }
}
