//! The prefix cache: blocks of prompts, limited in tokens, the least recently used evicted first.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Names a block by its content and all blocks before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Block(u64);

impl Block {
    pub(super) const fn get(self) -> u64 {
        self.0
    }
}

/// The blocks that an engine keeps.
#[derive(Debug, Default)]
pub(super) struct Cache {
    /// When each block was last used.
    blocks: BTreeMap<Block, u64>,
    uses: u64,
}

/// What an insertion changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Changes {
    pub(super) stored: Vec<Block>,
    pub(super) removed: Vec<Block>,
}

/// Returns the whole blocks of a prompt.
pub(super) fn blocks(words: &[u64], block_tokens: u32) -> Vec<Block> {
    let mut parent = 0;
    let whole = words.chunks_exact(block_tokens.max(1) as usize);
    whole
        .map(|block| {
            let bytes: Vec<_> = block.iter().flat_map(|word| word.to_le_bytes()).collect();
            parent = xxh3_64_with_seed(&bytes, parent);
            Block(parent)
        })
        .collect()
}

impl Cache {
    /// Returns how many of a prompt's first blocks are kept.
    pub(super) fn hits(&self, blocks: &[Block]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.blocks.contains_key(block))
            .count()
    }

    /// Returns how many blocks are kept.
    pub(super) fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Uses a prompt's blocks and keeps at most `most` blocks in all.
    pub(super) fn insert(&mut self, blocks: &[Block], most: usize) -> Changes {
        let mut changes = Changes::default();
        // Later blocks of a prompt count as used earlier: without its beginning a block is worth nothing.
        for block in blocks.iter().rev() {
            self.uses += 1;
            if self.blocks.insert(*block, self.uses).is_none() {
                changes.stored.push(*block);
            }
        }
        changes.stored.reverse();
        while self.blocks.len() > most {
            let oldest = self
                .blocks
                .iter()
                .min_by_key(|(_, used)| **used)
                .map(|(block, _)| *block);
            let Some(oldest) = oldest else { break };
            self.blocks.remove(&oldest);
            changes.removed.push(oldest);
        }
        changes
    }
}
