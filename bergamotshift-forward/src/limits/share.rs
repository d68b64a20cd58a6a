//! Works out this entry's share of a limit from what all entries ask for.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;

/// How demand and silence are judged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Over what time demand is averaged.
    pub memory: Duration,
    /// How long an entry may be silent until its share is left as it is.
    pub silence: Duration,
    /// The part of the limit that is dealt out evenly, whatever the demand: a caller that comes to another entry must
    /// find room there at once.
    pub even: f64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            memory: Duration::from_secs(3),
            silence: Duration::from_millis(1_500),
            even: 0.25,
        }
    }
}

/// Averages what is asked for, in units per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand(f64);

impl Demand {
    /// Takes in what was asked for in the last `span`.
    pub fn note(&mut self, timing: &Timing, units: u64, span: Duration) {
        let seconds = span.as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        let weight = (seconds / timing.memory.as_secs_f64()).min(1.0);
        self.0 += (units as f64 / seconds - self.0) * weight;
    }

    /// Returns the units per second.
    pub const fn get(self) -> f64 {
        self.0
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Other {
    demand: f64,
    share: f64,
    heard: Instant,
}

/// This entry's share of one organisation's limit.
#[derive(Clone, Debug, Default)]
pub struct Share {
    others: BTreeMap<name::Entry, Other>,
    own: Option<f64>,
}

impl Share {
    /// Takes in what another entry says: its demand, and the share that it uses by its own reckoning.
    pub fn heard(&mut self, now: Instant, entry: &name::Entry, demand: f64, share: f64) {
        let other = Other {
            demand,
            share,
            heard: now,
        };
        self.others.insert(entry.clone(), other);
    }

    /// Forgets an entry that is gone for good.
    pub fn forget(&mut self, entry: &name::Entry) {
        self.others.remove(entry);
    }

    /// Returns this entry's share, between 0 and 1, among `members` entries in all.
    ///
    /// Failure: two halves of the fleet that do not hear each other both deal out the whole limit. Symptom: the
    /// organisation uses twice its limit. An entry that is not heard keeps what it last said it used, and only the
    /// rest is dealt out anew; no half can take what the other one holds.
    pub fn next(&mut self, now: Instant, timing: &Timing, demand: Demand, members: usize) -> f64 {
        let is_heard = |other: &&Other| now.since(other.heard) < timing.silence;
        let heard: Vec<&Other> = self.others.values().filter(is_heard).collect();
        let kept: f64 = self
            .others
            .values()
            .filter(|other| !is_heard(other))
            .map(|other| other.share)
            .sum();
        let silent = members.saturating_sub(1).saturating_sub(self.others.len());
        // An entry that was never heard of may use as much as an even share.
        let unknown = silent as f64 / members.max(1) as f64;
        let free = (1.0 - kept - unknown).max(0.0);
        let count = heard.len() as f64 + 1.0;
        let total = demand.get() + heard.iter().map(|other| other.demand).sum::<f64>();
        let fair = if total > 0.0 { demand.get() / total } else { 1.0 / count };
        let wanted = free * (timing.even / count + (1.0 - timing.even) * fair);
        // A share that grows waits until the others are heard to use less, so that the sum stays within the whole.
        let used: f64 = heard.iter().map(|other| other.share).sum();
        let room = (free - used).max(0.0);
        let before = self.own.unwrap_or(0.0);
        let share = if wanted <= before {
            wanted
        } else {
            wanted.min(before.max(room))
        };
        self.own = Some(share);
        share
    }
}
