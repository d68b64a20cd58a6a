//! Index of hints about which endpoints have which prompt prefixes cached.
//!
//! A hint can be wrong: cache events arrive late and with gaps, and engines evict blocks at any time. The index is
//! therefore small, lossy and lock-free: a write may overwrite another, and a lookup may miss.

use core::fmt;
use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering;
use core::time::Duration;

use bergamotshift_core::key;
use bergamotshift_core::prelude::Instant;
use slotmap::Key as _;

/// Number of bits of a hint that hold the endpoint's arena index.
pub(crate) const SLOT_BITS: u32 = 14;
const GENERATION_BITS: u32 = 4;
const STAMP_BITS: u32 = 20;
const TAG_BITS: u32 = 64 - SLOT_BITS - GENERATION_BITS - STAMP_BITS;
/// Number of hints per bucket, and so the maximum number of endpoints recorded for one prefix.
const WAYS: usize = 4;
const BUCKETS: usize = 1 << 17;
/// Resolution of a hint's time stamp, in microseconds.
const STAMP_MICROS: u64 = 250_000;

/// Maximum age of a hint; older hints are ignored.
pub const LIFETIME: Duration = Duration::from_mins(10);

/// Maximum number of endpoints that a lookup returns.
pub const MAX_MATCHES: usize = 6;

/// Maximum number of blocks of a prompt that a lookup probes.
const MAX_PROBES: usize = 16;

/// An endpoint's index in the registry's arena together with the low bits of its generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Slot(u32);

impl Slot {
    pub(crate) fn of(key: key::Endpoint) -> Self {
        let bits = key.data().as_ffi();
        let index = bits as u32 & ((1 << SLOT_BITS) - 1);
        let generation = (bits >> 33) as u32 & ((1 << GENERATION_BITS) - 1);
        Self(index | generation << SLOT_BITS)
    }

    pub(crate) const fn arena_index(self) -> usize {
        (self.0 & ((1 << SLOT_BITS) - 1)) as usize
    }
}

/// An endpoint that may have the first blocks of a prompt cached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Match {
    pub(crate) slot: Slot,
    /// Number of leading blocks of the prompt that may be cached.
    pub blocks: u32,
    /// Age of the hint.
    pub age: Duration,
}

/// Results of one lookup.
#[derive(Clone, Copy, Debug, Default)]
pub struct Matches {
    entries: [Option<Match>; MAX_MATCHES],
    len: usize,
}

impl Matches {
    /// Returns the matches, longest prefix first.
    pub fn iter(&self) -> impl Iterator<Item = Match> + '_ {
        self.entries[..self.len].iter().flatten().copied()
    }

    /// Returns whether no endpoint has a hint for any probed block of the prompt.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn push(&mut self, new: Match) {
        let known = self.iter().any(|known| known.slot == new.slot);
        if !known && self.len < MAX_MATCHES {
            self.entries[self.len] = Some(new);
            self.len += 1;
        }
    }

    const fn is_full(&self) -> bool {
        self.len == MAX_MATCHES
    }
}

/// A fixed-size, set-associative table from block hashes to endpoints.
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
    /// Records hints for blocks that the endpoint is about to compute and will then have cached.
    pub fn record(&self, prefix: &[u64], endpoint: key::Endpoint, now: Instant) {
        for &block in prefix {
            self.insert(block, endpoint, now);
        }
    }

    /// Applies a cache event: the endpoint has cached this block.
    ///
    /// Overwrites the endpoint's own hint for the block or an empty one, or else the oldest hint of the bucket.
    pub fn insert(&self, block: u64, endpoint: key::Endpoint, now: Instant) {
        let new = Hint::new(block, Slot::of(endpoint), now);
        let bucket = self.bucket(block);
        let mut victim = 0;
        let mut oldest = 0;
        for (way, cell) in bucket.iter().enumerate() {
            let hint = Hint(cell.load(Ordering::Relaxed));
            if hint.same_entry(new) || hint.is_empty() {
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

    /// Applies a cache event: the endpoint has evicted this block.
    pub fn remove(&self, block: u64, endpoint: key::Endpoint) {
        let removed = Hint::new(block, Slot::of(endpoint), Instant::ZERO);
        for cell in self.bucket(block) {
            let bits = cell.load(Ordering::Relaxed);
            if Hint(bits).same_entry(removed) {
                // The exchange fails if another thread renewed the hint in the meantime, and the renewed hint stays.
                let _renewed = cell.compare_exchange(bits, 0, Ordering::Relaxed, Ordering::Relaxed);
            }
        }
    }

    /// Returns the endpoints that may have the longest prefixes of a prompt cached.
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

/// Returns the blocks to probe, each with the number of blocks that its hash covers, longest first.
///
/// Long prompts are probed at multiples of a stride counted from the front, so that the next, longer prompt of a
/// session probes the same blocks.
fn probes(prefix: &[u64]) -> impl Iterator<Item = (u32, &u64)> {
    let stride = prefix.len().div_ceil(MAX_PROBES).max(1);
    let whole = prefix.len() / stride * stride;
    prefix[..whole]
        .iter()
        .enumerate()
        .rev()
        .step_by(stride)
        .map(|(index, block)| (index as u32 + 1, block))
}

const fn tag(block: u64) -> u64 {
    block >> (64 - TAG_BITS)
}

/// A hint packed into 64 bits: block tag, time stamp and endpoint slot. Zero marks an empty hint.
#[derive(Clone, Copy)]
struct Hint(u64);

impl Hint {
    const STAMP_SHIFT: u32 = SLOT_BITS + GENERATION_BITS;
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

    /// Returns whether both hints are about the same block and endpoint.
    const fn same_entry(self, other: Self) -> bool {
        self.tag() == other.tag() && self.slot().0 == other.slot().0
    }

    /// Returns the age in units of [`STAMP_MICROS`]. The stamp wraps after three days, well beyond a hint's lifetime.
    const fn age(self, now: Instant) -> u64 {
        let stamp = self.0 >> Self::STAMP_SHIFT & Self::STAMP_MASK;
        (now.as_micros() / STAMP_MICROS).wrapping_sub(stamp) & Self::STAMP_MASK
    }
}
