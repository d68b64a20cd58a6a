//! Table of promises to refused callers.

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;
use rustc_hash::FxHashMap;

/// Parameters of promises.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Maximum number of promises.
    pub promises: usize,
    /// Share of the capacity that is reserved for returning callers; the rest is for new ones.
    pub reserved: f64,
    /// Part of the promised delay by which a caller may return early, since clocks and networks differ.
    pub early: f64,
    /// Time after which a slot that was not taken expires.
    pub expiry: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            promises: 4_096,
            reserved: 0.5,
            early: 0.1,
            expiry: Duration::from_secs(1),
        }
    }
}

/// Refused request whose caller is to be told when to return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Asked {
    /// Fingerprint of the request, by which a caller that returns is identified.
    pub key: Fingerprint,
    /// Urgency, where 0 comes first.
    pub urgency: u8,
    /// Work of the request, as engine time.
    pub work: Duration,
    /// Time until the wait is short enough for the request.
    pub excess: Duration,
    /// Number of engines that serve the demand for which promises are made here.
    pub engines: f64,
    /// Longest time that the caller may be told.
    pub longest: Duration,
}

/// Whether a caller was promised capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Returned {
    /// The caller returned at its time.
    Kept,
    /// The caller returned before its time; its promise remains.
    Early {
        /// Remaining time.
        left: Duration,
    },
    /// No promise is known.
    Unknown,
}

/// Promise of a slot.
#[derive(Clone, Copy, Debug)]
struct Promise {
    /// Time at which the slot begins.
    at: Instant,
    /// Earliest time at which the caller may take it.
    opens: Instant,
    urgency: u8,
    /// Work of the request, as engine time.
    work: Duration,
}

/// Promises to the refused callers of one service.
#[derive(Debug)]
pub struct Book {
    settings: Settings,
    promises: FxHashMap<Fingerprint, Promise>,
    by_time: BTreeSet<(Instant, Fingerprint)>,
    /// End of the last slot of each urgency.
    ends: BTreeMap<u8, Instant>,
    lapsed: u64,
}

impl Book {
    /// Creates a book without promises.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            promises: FxHashMap::default(),
            by_time: BTreeSet::new(),
            ends: BTreeMap::new(),
            lapsed: 0,
        }
    }

    /// Returns the time after which a refused caller may return, and reserves a slot for that time if there is one.
    ///
    /// A caller that has a promise already is told the remaining time.
    pub fn promise(&mut self, now: Instant, asked: &Asked) -> Duration {
        self.expire(now);
        if let Some(promise) = self.promises.get(&asked.key) {
            return promise.at.since(now).min(asked.longest);
        }
        let ends = self.ends.range(..=asked.urgency).map(|(_, end)| *end);
        let at = ends.fold(now + asked.excess, Instant::max);
        let delay = at.since(now);
        if delay > asked.longest || self.promises.len() >= self.settings.promises {
            return asked.longest;
        }
        let rate = (asked.engines * self.settings.reserved).max(f64::MIN_POSITIVE);
        let length = Duration::try_from_secs_f64(asked.work.as_secs_f64() / rate).unwrap_or(asked.longest);
        self.ends.insert(asked.urgency, at + length);
        self.by_time.insert((at, asked.key));
        let promise = Promise {
            at,
            opens: at - delay.mul_f64(self.settings.early),
            urgency: asked.urgency,
            work: asked.work,
        };
        self.promises.insert(asked.key, promise);
        delay
    }

    /// Takes the slot of a caller that returns at its time.
    pub fn redeem(&mut self, now: Instant, key: Fingerprint) -> Returned {
        self.expire(now);
        match self.promises.get(&key) {
            None => Returned::Unknown,
            Some(promise) if now < promise.opens => Returned::Early {
                left: promise.at.since(now),
            },
            Some(_) => {
                self.withdraw(key);
                Returned::Kept
            }
        }
    }

    /// Removes the promise of a caller that needs it no longer.
    pub fn withdraw(&mut self, key: Fingerprint) {
        if let Some(promise) = self.promises.remove(&key) {
            self.by_time.remove(&(promise.at, key));
        }
    }

    /// Returns the work, as engine time, of promises that are at least as urgent as `urgency` and fall due within a
    /// time.
    pub fn due(&self, now: Instant, within: Duration, urgency: u8) -> Duration {
        let until = now + within;
        let first = self.by_time.iter().take_while(|(at, _)| *at <= until);
        let promises = first.filter_map(|(_, key)| self.promises.get(key));
        let due = promises.filter(|promise| promise.urgency <= urgency && promise.at + self.settings.expiry > now);
        due.map(|promise| promise.work).sum()
    }

    /// Removes slots that were not taken.
    fn expire(&mut self, now: Instant) {
        while let Some((at, key)) = self.by_time.first().copied()
            && at + self.settings.expiry <= now
        {
            self.withdraw(key);
            self.lapsed += 1;
        }
        self.ends.retain(|_, end| *end > now);
    }

    /// Returns the number of slots that expired since the last call.
    pub fn take_lapsed(&mut self) -> u64 {
        core::mem::take(&mut self.lapsed)
    }

    /// Returns the number of promises that stand.
    pub fn len(&self) -> usize {
        self.promises.len()
    }

    /// Returns whether no promise stands.
    pub fn is_empty(&self) -> bool {
        self.promises.is_empty()
    }
}
