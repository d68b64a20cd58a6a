//! The zone's row in the table, as one of its entries knows it.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_core::table;
use bergamotshift_core::table::Condition;

use crate::accept::record;
use crate::accept::record::Progress;
use crate::accept::record::Proposal;
use crate::accept::record::Stage;

/// The zone's row, as last read or written.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Row {
    /// Its version, 0 for no row; missing when not known.
    version: Option<u64>,
    /// What it says.
    stage: Option<Stage>,
    /// What is being written.
    writing: Option<Stage>,
    /// When the zone shows next that it is live.
    beat_at: Instant,
}

impl Row {
    /// Returns whether the row's version is known.
    pub(super) const fn is_known(&self) -> bool {
        self.version.is_some()
    }

    /// Returns whether a write of it is under way.
    pub(super) const fn is_writing(&self) -> bool {
        self.writing.is_some()
    }

    /// Returns the condition that the row is still as known.
    pub(super) fn condition(&self) -> Condition {
        record::condition(self.version.unwrap_or(0))
    }

    /// Takes the row in.
    pub(super) fn read(&mut self, row: Option<&table::Row>) {
        self.version = Some(row.map_or(0, |row| row.version));
        self.stage = row.and_then(|row| record::decode(row).ok());
    }

    /// Returns whether the zone has said its last word on a proposal, whichever entry said it.
    pub(super) fn has_ended(&self, proposal: &Proposal) -> bool {
        let ended = |stage: &Stage| stage.proposal == *proposal && stage.progress != Progress::Seen;
        self.stage.as_ref().is_some_and(ended)
    }

    /// Returns when the row is to be written again, if a time is set.
    pub(super) fn wake(&self, proposal: &Proposal) -> Option<Instant> {
        let waits = self.is_known() && !self.has_ended(proposal) && !self.is_writing();
        waits.then_some(self.beat_at)
    }

    /// Decides whether to write a stage now, and notes that it is under way.
    pub(super) fn begin(&mut self, now: Instant, beat: Duration, stage: Stage) -> bool {
        if self.stage.as_ref() == Some(&stage) && now < self.beat_at {
            return false;
        }
        self.beat_at = if stage.progress == Progress::Seen {
            now + beat
        } else {
            Instant::ZERO
        };
        self.writing = Some(stage);
        true
    }

    /// Takes the end of the write in; returns whether the row is known now.
    pub(super) fn end(&mut self, applied: bool) -> bool {
        let written = self.writing.take();
        if applied {
            self.version = self.version.map(|version| version + 1);
            self.stage = written;
        } else {
            // Another entry of the zone wrote, or the answer was lost: reading it settles which.
            self.version = None;
        }
        applied
    }
}
