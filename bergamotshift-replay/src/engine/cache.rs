//! A prefix cache of limited size, which forgets the least recently used block.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

/// What changed in a cache since its last event was published.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Blocks that are in the cache now.
    pub added: Vec<u64>,
    /// Blocks that were evicted.
    pub evicted: Vec<u64>,
}

/// The blocks that one engine holds.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    capacity: usize,
    clock: u64,
    used: FxHashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    change: Change,
}

impl Cache {
    /// Makes an empty cache for this many blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Returns how many leading blocks are held, and counts them as used.
    pub fn hit(&mut self, blocks: impl Iterator<Item = u64>) -> u32 {
        let mut held = 0;
        for block in blocks {
            if !self.used.contains_key(&block) {
                break;
            }
            self.touch(block);
            held += 1;
        }
        held
    }

    /// Takes computed blocks in.
    pub fn insert(&mut self, blocks: impl Iterator<Item = u64>) {
        for block in blocks {
            if !self.used.contains_key(&block) {
                self.change.added.push(block);
            }
            self.touch(block);
        }
        while self.used.len() > self.capacity {
            let Some((_, block)) = self.order.pop_first() else {
                break;
            };
            self.used.remove(&block);
            self.change.evicted.push(block);
        }
    }

    /// Returns what changed since the last call.
    pub fn take_change(&mut self) -> Change {
        core::mem::take(&mut self.change)
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(before) = self.used.insert(block, self.clock) {
            self.order.remove(&before);
        }
        self.order.insert(self.clock, block);
    }
}
