//! Remembers which endpoints read which parts of prompts lately.

use core::time::Duration;
use std::collections::HashMap;

use bergamotshift_core::prelude::*;

use crate::dialect::Part;

/// How long a part is taken to stay in an endpoint's cache after its last use. An engine drops what it used longest
/// ago; a part that nobody asked for in this time is likely gone.
const MEMORY: Duration = Duration::from_secs(30);

/// The most parts remembered; about a hundred bytes each.
const CAPACITY: usize = 8_192;

/// The most endpoints remembered for a part.
const HOLDERS: usize = 6;

#[derive(Clone, Copy, Debug)]
struct Holder {
    endpoint: u64,
    at: Instant,
}

/// Which endpoints this entry made read which parts.
#[derive(Debug, Default)]
pub struct Recall {
    parts: HashMap<u64, Vec<Holder>>,
}

impl Recall {
    /// Notes that an endpoint reads these parts.
    pub fn note(&mut self, now: Instant, endpoint: u64, parts: &[Part]) {
        if self.parts.len() >= CAPACITY {
            self.expire(now);
        }
        for part in parts {
            let holders = self.parts.entry(part.id).or_default();
            holders.retain(|holder| holder.endpoint != endpoint);
            holders.insert(0, Holder { endpoint, at: now });
            holders.truncate(HOLDERS);
        }
    }

    /// Returns whether an endpoint holds a part; `None` when no endpoint is known to.
    pub fn holds(&self, part: u64, endpoint: u64) -> Option<bool> {
        let holders = self.parts.get(&part)?;
        Some(holders.iter().any(|holder| holder.endpoint == endpoint))
    }

    /// Forgets an endpoint that is gone, with what its cache held.
    pub fn forget(&mut self, endpoint: u64) {
        self.parts.retain(|_, holders| {
            holders.retain(|holder| holder.endpoint != endpoint);
            !holders.is_empty()
        });
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
