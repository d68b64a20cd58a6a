//! Remembers which endpoints read which parts of prompts lately.

use core::time::Duration;
use std::collections::HashMap;
use std::collections::VecDeque;

use bergamotshift_core::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::dialect::Part;

/// How long a part is taken to stay in an endpoint's cache after its last use. An engine drops what it used longest
/// ago; a part that nobody asked for in this time is likely gone.
const MEMORY: Duration = Duration::from_mins(1);

/// The most parts remembered; about a hundred bytes each.
const CAPACITY: usize = 16_384;

/// The most endpoints remembered for a part.
const HOLDERS: usize = 6;

/// How long a reading is told to the other entries: several rounds of telling.
const TOLD: Duration = Duration::from_secs(2);

/// The most readings told at once; a kilobyte.
const MOST_TOLD: usize = 64;

/// One part read by one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Reading {
    /// The endpoint, by its hash.
    pub endpoint: u64,
    /// The part.
    pub part: u64,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    endpoint: u64,
    at: Instant,
}

/// Which endpoints read which parts, for this entry and for those that tell it.
#[derive(Debug, Default)]
pub struct Recall {
    parts: HashMap<u64, Vec<Holder>>,
    told: VecDeque<(Instant, Reading)>,
}

impl Recall {
    /// Notes that an endpoint reads these parts for this entry; the last one is the request's own and told to nobody.
    pub fn note(&mut self, now: Instant, endpoint: u64, parts: &[Part]) {
        for (place, part) in parts.iter().enumerate() {
            let reading = Reading {
                endpoint,
                part: part.id,
            };
            self.hear(now, reading);
            if place + 1 < parts.len() {
                self.told.push_back((now, reading));
            }
        }
        while self.told.len() > MOST_TOLD {
            self.told.pop_front();
        }
    }

    /// Notes that an endpoint reads a part.
    pub fn hear(&mut self, now: Instant, reading: Reading) {
        if self.parts.len() >= CAPACITY {
            self.expire(now);
        }
        let holders = self.parts.entry(reading.part).or_default();
        holders.retain(|holder| holder.endpoint != reading.endpoint);
        let holder = Holder {
            endpoint: reading.endpoint,
            at: now,
        };
        holders.insert(0, holder);
        holders.truncate(HOLDERS);
    }

    /// Returns what this entry had read lately, for the other entries.
    pub fn told(&mut self, now: Instant) -> Vec<Reading> {
        self.told.retain(|(at, _)| now.since(*at) < TOLD);
        self.told.iter().map(|(_, reading)| *reading).collect()
    }

    /// Returns how many tokens at the beginning of a prompt an endpoint holds.
    pub fn held(&self, parts: &[Part], endpoint: u64) -> u64 {
        let holds = |part: &&Part| {
            let holders = self.parts.get(&part.id);
            holders.is_some_and(|holders| holders.iter().any(|holder| holder.endpoint == endpoint))
        };
        parts.iter().take_while(holds).map(|part| u64::from(part.tokens)).sum()
    }

    /// Returns whether any endpoint is known to hold a part.
    pub fn is_known(&self, part: u64) -> bool {
        self.parts.contains_key(&part)
    }

    /// Forgets what has not been used for long; when that is not enough, everything.
    pub fn expire(&mut self, now: Instant) {
        self.parts.retain(|_, holders| {
            holders.retain(|holder| now.since(holder.at) < MEMORY);
            !holders.is_empty()
        });
        if self.parts.len() >= CAPACITY {
            self.parts.clear();
        }
    }
}
