//! Events of the prefix cache, which come late and with gaps.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::cache::Block;
use super::cache::Changes;

/// How many events an engine keeps for those who ask.
const KEPT: usize = 4096;

/// What happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// It was kept.
    Stored,
    /// It was evicted.
    Removed,
}

/// One event of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Event {
    /// Counts the engine's events from 1; a missing number is a lost event.
    pub sequence: u64,
    /// What happened.
    pub kind: Kind,
    /// The block, by its content and all blocks before it.
    pub block: u64,
    /// The attempt whose prompt the block belongs to, when it was stored for one.
    pub attempt: Option<SmolStr>,
}

/// The events of one engine.
#[derive(Debug, Default)]
pub(super) struct Log {
    last: u64,
    events: VecDeque<Event>,
    /// How many further events are lost.
    losing: u32,
}

impl Log {
    /// Writes down what changed.
    pub(super) fn push(&mut self, changes: &Changes, attempt: Option<&SmolStr>) {
        for block in &changes.stored {
            self.push_one(Kind::Stored, *block, attempt.cloned());
        }
        for block in &changes.removed {
            self.push_one(Kind::Removed, *block, None);
        }
    }

    /// Loses the next events; their numbers are left out.
    pub(super) fn lose(&mut self, count: u32) {
        self.losing = count;
    }

    /// Returns the events after a number, without the `late` newest numbers.
    pub(super) fn since(&self, sequence: u64, late: u64) -> Vec<Event> {
        let shown = self.last.saturating_sub(late);
        let events = self
            .events
            .iter()
            .filter(|event| event.sequence > sequence && event.sequence <= shown);
        events.cloned().collect()
    }

    fn push_one(&mut self, kind: Kind, block: Block, attempt: Option<SmolStr>) {
        self.last += 1;
        if self.losing > 0 {
            self.losing -= 1;
            return;
        }
        if self.events.len() == KEPT {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            sequence: self.last,
            kind,
            block: block.get(),
            attempt,
        });
    }
}
