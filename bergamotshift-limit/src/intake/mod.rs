//! Memory for the bodies of requests, shared by all clients of a process.
//!
//! A body takes room before its bytes are stored, and holds it until its request has ended. Small bodies have a part of the
//! room that large ones cannot take. When there is no room, unfinished bodies yield: first those that hold much and do
//! not go on, and those of a source that holds more than half of the room. If none can yield, the body that asks is refused.
//!
//! ```
//! use bergamotshift_core::prelude::*;
//! use bergamotshift_limit::intake::{Growth, Intake, Settings};
//!
//! let mut intake = Intake::new(Settings { capacity: 4 << 20, ..Settings::default() });
//! let now = Instant::from_secs(1);
//! let stalled = intake.open(now, 1, 0);
//! assert_eq!(intake.grow(now, stalled, 2 << 20, 1), Growth::Granted(Vec::new()));
//! let next = intake.open(now, 2, 0);
//! assert_eq!(intake.grow(now, next, 2 << 20, 1), Growth::Refused, "both bodies go on");
//! let later = now + intake.settings().min_idle;
//! assert_eq!(intake.grow(later, next, 2 << 20, 1), Growth::Granted(vec![stalled]));
//! ```

use core::cmp::Reverse;
use core::time::Duration;

use bergamotshift_core::prelude::*;
use rustc_hash::FxHashMap;
use slotmap::SlotMap;
use slotmap::new_key_type;

new_key_type! {
    /// Key of a body.
    pub struct Key;
}

/// Settings of an [`Intake`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Room for all bodies, in bytes.
    pub capacity: usize,
    /// Size up to which a body is small, in bytes.
    pub small: usize,
    /// Bytes that a body has to receive to count as going on.
    pub min_progress: usize,
    /// Time without that progress after which an unfinished body may have to yield.
    pub min_idle: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self::for_memory(256 << 20)
    }
}

impl Settings {
    /// Share of a machine's memory that bodies may take.
    const SHARE: usize = 3;

    /// Share of the room that only small bodies may take.
    const SMALL_SHARE: usize = 4;

    /// Returns the settings for a process that may use `memory` bytes.
    pub const fn for_memory(memory: usize) -> Self {
        Self {
            capacity: memory / Self::SHARE,
            small: 64 << 10,
            min_progress: 16 << 10,
            min_idle: Duration::from_millis(250),
        }
    }

    /// Returns the room for large bodies, in bytes.
    pub const fn large_capacity(&self) -> usize {
        self.capacity - self.capacity / Self::SMALL_SHARE
    }
}

/// Answer to a body that needs room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Growth {
    /// It has the room; these bodies have lost theirs and must be dropped.
    Granted(Vec<Key>),
    /// There is no room, or it has lost what it held.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Body {
    source: u64,
    /// Bytes that reading it takes beside its own.
    overhead: usize,
    size: usize,
    /// Both, from its first growth on.
    held: usize,
    /// Time of its last progress, or of its beginning.
    progressed: Instant,
    /// Bytes that it had received then.
    received: usize,
    /// Whether its request is under way, so that it cannot yield.
    is_complete: bool,
}

/// Room for the bodies of requests.
#[derive(Debug)]
pub struct Intake {
    settings: Settings,
    bodies: SlotMap<Key, Body>,
    held: usize,
    /// Part of it that large bodies hold.
    held_large: usize,
    by_source: FxHashMap<u64, usize>,
}

impl Intake {
    /// Creates empty room.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            bodies: SlotMap::with_key(),
            held: 0,
            held_large: 0,
            by_source: FxHashMap::default(),
        }
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the bytes that are held.
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Begins a body of a source, which holds nothing yet. From its first growth on, it also holds `overhead` bytes for what
    /// reading it takes.
    pub fn open(&mut self, now: Instant, source: u64, overhead: usize) -> Key {
        self.bodies.insert(Body {
            source,
            overhead,
            size: 0,
            held: 0,
            progressed: now,
            received: 0,
            is_complete: false,
        })
    }

    /// Grows a body to `size` bytes, of which `received` have arrived.
    pub fn grow(&mut self, now: Instant, key: Key, size: usize, received: usize) -> Growth {
        let Some(body) = self.bodies.get(key).copied() else {
            return Growth::Refused;
        };
        let mut yielding = Vec::new();
        let (mut freed, mut freed_large) = (0, 0);
        if !self.fits(&body, size, 0, 0) {
            for (victim, other) in self.candidates(now, key, body.source, size) {
                freed += other.held;
                freed_large += self.large_part(other.held, other.size);
                yielding.push(victim);
                if self.fits(&body, size, freed, freed_large) {
                    break;
                }
            }
            if !self.fits(&body, size, freed, freed_large) {
                return Growth::Refused;
            }
        }
        for victim in &yielding {
            self.close(*victim);
        }
        self.set(key, body.overhead + size, size);
        if let Some(body) = self.bodies.get_mut(key)
            && received >= body.received + self.settings.min_progress
        {
            (body.progressed, body.received) = (now, received);
        }
        Growth::Granted(yielding)
    }

    /// Records that a body is complete, so its request is under way and it no longer yields.
    pub fn complete(&mut self, key: Key) {
        if let Some(body) = self.bodies.get_mut(key) {
            body.is_complete = true;
        }
    }

    /// Returns whether a body still has its room.
    pub fn is_open(&self, key: Key) -> bool {
        self.bodies.contains_key(key)
    }

    /// Frees what a body holds.
    pub fn close(&mut self, key: Key) {
        self.set(key, 0, 0);
        self.bodies.remove(key);
    }

    /// Returns whether a body may grow to `size` bytes once others have freed some.
    fn fits(&self, body: &Body, size: usize, freed: usize, freed_large: usize) -> bool {
        let wanted = body.overhead + size;
        let large = self.large_part(wanted, size);
        let held = self.held - body.held - freed + wanted;
        let held_large = self.held_large - self.large_part(body.held, body.size) - freed_large + large;
        held <= self.settings.capacity && (large == 0 || held_large <= self.settings.large_capacity())
    }

    /// Returns the unfinished bodies that may have to yield to one that grows to `size` bytes, the first one first.
    ///
    /// Large bodies do not yield for small ones alone: those have a part of the room to themselves.
    fn candidates(&self, now: Instant, key: Key, source: u64, size: usize) -> impl Iterator<Item = (Key, Body)> {
        let is_for_large = size > self.settings.small;
        let dominant = |other: u64| {
            self.by_source
                .get(&other)
                .is_some_and(|held| *held > self.settings.capacity / 2)
        };
        let asks_dominant = dominant(source);
        let mut candidates: Vec<_> = self
            .bodies
            .iter()
            .filter(|(other, body)| *other != key && !body.is_complete && body.held > 0)
            .filter(|(_, body)| (body.size > self.settings.small) == is_for_large)
            .filter_map(|(other, body)| {
                let idle = now.since(body.progressed);
                let is_idle = idle >= self.settings.min_idle;
                let is_dominant = dominant(body.source) && !asks_dominant;
                let weight = body.held as u128 * idle.as_millis();
                (is_idle || is_dominant).then_some((Reverse((is_dominant, is_idle, weight)), other, *body))
            })
            .collect();
        candidates.sort_unstable_by_key(|(order, other, _)| (*order, *other));
        candidates.into_iter().map(|(_, other, body)| (other, body))
    }

    /// Returns how much of what a body holds counts as large: all or nothing.
    const fn large_part(&self, held: usize, size: usize) -> usize {
        if size > self.settings.small { held } else { 0 }
    }

    /// Sets the bytes that a body holds, and how many of them are its own.
    fn set(&mut self, key: Key, held: usize, size: usize) {
        let Some(body) = self.bodies.get_mut(key) else {
            return;
        };
        let former = *body;
        (body.held, body.size) = (held, size);
        self.held = self.held - former.held + held;
        self.held_large = self.held_large - self.large_part(former.held, former.size) + self.large_part(held, size);
        let source = former.source;
        let total = self.by_source.entry(source).or_default();
        *total = *total - former.held + held;
        if *total == 0 {
            self.by_source.remove(&source);
        }
    }
}
