//! Hints about which endpoints have which prompt prefixes in their cache.
//!
//! A hint is never proof: cache events come late and with gaps, and the engine evicts without asking. The index is
//! therefore small, lossy and free of locks: a write may overwrite another, and a lookup may miss.

use core::fmt;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering;
use core::time::Duration;

use bergamotshift_core::key;
use bergamotshift_core::prelude::Instant;
use slotmap::Key as _;

/// Bits that an endpoint's arena slot takes in a hint.
pub(crate) const SLOT_BITS: u32 = 14;
const LIFE_BITS: u32 = 4;
const STAMP_BITS: u32 = 20;
const TAG_BITS: u32 = 64 - SLOT_BITS - LIFE_BITS - STAMP_BITS;
/// Hints per bucket: how many endpoints one prefix is remembered at.
const WAYS: usize = 4;
const BUCKETS: usize = 1 << 17;
/// One unit of a hint's time stamp.
const STAMP_MICROS: u64 = 250_000;

/// The age at which a hint is worth nothing.
pub const LIFETIME: Duration = Duration::from_mins(10);

/// How many endpoints a lookup returns at most.
pub const MATCHES: usize = 6;

/// How many blocks of a prompt a lookup probes at most.
const PROBES: usize = 16;

/// An endpoint's place in its arena with a few bits of its generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Slot(u32);

impl Slot {
    pub(crate) fn of(key: key::Endpoint) -> Self {
        let bits = key.data().as_ffi();
        let place = bits as u32 & ((1 << SLOT_BITS) - 1);
        let life = (bits >> 33) as u32 & ((1 << LIFE_BITS) - 1);
        Self(place | life << SLOT_BITS)
    }

    pub(crate) const fn place(self) -> usize {
        (self.0 & ((1 << SLOT_BITS) - 1)) as usize
    }
}

/// An endpoint that may hold the first blocks of a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Match {
    pub(crate) slot: Slot,
    /// How many of the prompt's blocks it may hold.
    pub blocks: u32,
    /// How old the hint is.
    pub age: Duration,
}

/// The matches of one lookup.
#[derive(Clone, Copy, Debug, Default)]
pub struct Matches {
    found: [Option<Match>; MATCHES],
    len: usize,
}

impl Matches {
    /// Returns the matches, longest prefix first.
    pub fn iter(&self) -> impl Iterator<Item = Match> + '_ {
        self.found[..self.len].iter().flatten().copied()
    }

    /// Returns whether no endpoint is known to hold any of the prompt.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn push(&mut self, new: Match) {
        let known = self.iter().any(|known| known.slot == new.slot);
        if !known && self.len < MATCHES {
            self.found[self.len] = Some(new);
            self.len += 1;
        }
    }

    const fn is_full(&self) -> bool {
        self.len == MATCHES
    }
}

/// A fixed-size table from block hashes to endpoints.
pub struct Index {
    buckets: Box<[[AtomicU64; WAYS]]>,
}

impl Default for Index {
    fn default() -> Self {
        Self {
            buckets: (0..BUCKETS).map(|_| Default::default()).collect(),
        }
    }
}

impl Index {
    /// Remembers that the endpoint computes these blocks, so that they are in its cache soon.
    pub fn record(&self, prefix: &[u64], endpoint: key::Endpoint, now: Instant) {
        for &block in prefix {
            self.insert(block, endpoint, now);
        }
    }

    /// Takes a cache event: the endpoint holds this block.
    pub fn insert(&self, block: u64, endpoint: key::Endpoint, now: Instant) {
        let new = Hint::new(block, Slot::of(endpoint), now);
        let bucket = self.bucket(block);
        let mut victim = 0;
        let mut oldest = 0;
        for (way, cell) in bucket.iter().enumerate() {
            let hint = Hint(cell.load(Ordering::Relaxed));
            if hint.same_place(new) || hint.is_empty() {
                victim = way;
                break;
            }
            let age = hint.age(now);
            if age >= oldest {
                oldest = age;
                victim = way;
            }
        }
        bucket[victim].store(new.0, Ordering::Relaxed);
    }

    /// Takes a cache event: the endpoint evicted this block.
    pub fn remove(&self, block: u64, endpoint: key::Endpoint) {
        let gone = Hint::new(block, Slot::of(endpoint), Instant::ZERO);
        for cell in self.bucket(block) {
            let bits = cell.load(Ordering::Relaxed);
            if Hint(bits).same_place(gone) {
                // A hint that another thread renewed meanwhile stays: the exchange then fails.
                let _renewed = cell.compare_exchange(bits, 0, Ordering::Relaxed, Ordering::Relaxed);
            }
        }
    }

    /// Finds the endpoints that may hold the longest prefixes of a prompt.
    pub fn lookup(&self, prefix: &[u64], now: Instant) -> Matches {
        let mut matches = Matches::default();
        for (blocks, &block) in probes(prefix) {
            for cell in self.bucket(block) {
                let hint = Hint(cell.load(Ordering::Relaxed));
                let age = Duration::from_micros(hint.age(now) * STAMP_MICROS);
                if !hint.is_empty() && hint.tag() == tag(block) && age < LIFETIME {
                    let slot = hint.slot();
                    matches.push(Match { slot, blocks, age });
                }
            }
            if matches.is_full() {
                break;
            }
        }
        matches
    }

    fn bucket(&self, block: u64) -> &[AtomicU64; WAYS] {
        &self.buckets[block as usize & (BUCKETS - 1)]
    }
}

impl fmt::Debug for Index {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Index").field("buckets", &self.buckets.len()).finish()
    }
}

/// Returns the blocks to probe with how many blocks each covers, longest first.
///
/// The places of long prompts are multiples of a stride counted from the front, so that a session's next and longer
/// prompt probes the same ones.
fn probes(prefix: &[u64]) -> impl Iterator<Item = (u32, &u64)> {
    let stride = prefix.len().div_ceil(PROBES).max(1);
    let whole = prefix.len() / stride * stride;
    prefix[..whole]
        .iter()
        .enumerate()
        .rev()
        .step_by(stride)
        .map(|(place, block)| (place as u32 + 1, block))
}

const fn tag(block: u64) -> u64 {
    block >> (64 - TAG_BITS)
}

/// One remembered block, packed: tag, time stamp, endpoint. Zero is empty.
#[derive(Clone, Copy)]
struct Hint(u64);

impl Hint {
    const STAMP_SHIFT: u32 = SLOT_BITS + LIFE_BITS;
    const TAG_SHIFT: u32 = Self::STAMP_SHIFT + STAMP_BITS;
    const STAMP_MASK: u64 = (1 << STAMP_BITS) - 1;

    fn new(block: u64, slot: Slot, now: Instant) -> Self {
        let stamp = (now.as_micros() / STAMP_MICROS) & Self::STAMP_MASK;
        Self(tag(block) << Self::TAG_SHIFT | stamp << Self::STAMP_SHIFT | u64::from(slot.0))
    }

    const fn is_empty(self) -> bool {
        self.0 == 0
    }

    const fn tag(self) -> u64 {
        self.0 >> Self::TAG_SHIFT
    }

    const fn slot(self) -> Slot {
        Slot(self.0 as u32 & ((1 << Self::STAMP_SHIFT) - 1))
    }

    const fn same_place(self, other: Self) -> bool {
        self.tag() == other.tag() && self.slot().0 == other.slot().0
    }

    /// Returns the age in units of the stamp; the stamp wraps after three days, long past a hint's lifetime.
    const fn age(self, now: Instant) -> u64 {
        let stamp = self.0 >> Self::STAMP_SHIFT & Self::STAMP_MASK;
        (now.as_micros() / STAMP_MICROS).wrapping_sub(stamp) & Self::STAMP_MASK
    }
}
