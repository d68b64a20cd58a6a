//! Stage row of a zone, as one of the zone's entries knows it.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_core::table;
use bergamotshift_core::table::Condition;

use crate::accept::record;
use crate::accept::record::Progress;
use crate::accept::record::Proposal;
use crate::accept::record::Stage;

/// Stage row of the zone, as last read or written.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Row {
    /// Version of the row, 0 if the row does not exist, or `None` if the version is not known.
    version: Option<u64>,
    /// Body of the row.
    stage: Option<Stage>,
    /// Stage that is being written.
    writing: Option<Stage>,
    /// Time from which an unchanged stage is written again, to show that the zone is live.
    heartbeat_at: Instant,
}

impl Row {
    /// Returns whether the row's version is known.
    pub(super) const fn is_known(&self) -> bool {
        self.version.is_some()
    }

    /// Returns whether a write of the row is in flight.
    pub(super) const fn is_writing(&self) -> bool {
        self.writing.is_some()
    }

    /// Returns the condition that the row still has the known version.
    pub(super) fn condition(&self) -> Condition {
        record::condition(self.version.unwrap_or(0))
    }

    /// Stores the row that a read returned.
    pub(super) fn update(&mut self, row: Option<&table::Row>) {
        self.version = Some(row.map_or(0, |row| row.version));
        self.stage = row.and_then(|row| record::decode(row).ok());
    }

    /// Returns whether any entry of the zone has staged or refused a proposal.
    pub(super) fn is_decided(&self, proposal: &Proposal) -> bool {
        let decided = |stage: &Stage| stage.proposal == *proposal && stage.progress != Progress::Seen;
        self.stage.as_ref().is_some_and(decided)
    }

    /// Returns the time at which the row is due to be written, if a write is needed and possible.
    pub(super) fn due_at(&self, proposal: &Proposal) -> Option<Instant> {
        let pending = self.is_known() && !self.is_decided(proposal) && !self.is_writing();
        pending.then_some(self.heartbeat_at)
    }

    /// Begins to write a stage and returns true, unless the row has it already and the heartbeat is not due.
    pub(super) fn begin_write(&mut self, now: Instant, heartbeat_interval: Duration, stage: Stage) -> bool {
        if self.stage.as_ref() == Some(&stage) && now < self.heartbeat_at {
            return false;
        }
        self.heartbeat_at = if stage.progress == Progress::Seen {
            now + heartbeat_interval
        } else {
            Instant::ZERO
        };
        self.writing = Some(stage);
        true
    }

    /// Finishes the write; returns whether the version of the row is known.
    pub(super) fn finish_write(&mut self, applied: bool) -> bool {
        let written = self.writing.take();
        if applied {
            self.version = self.version.map(|version| version + 1);
            self.stage = written;
        } else {
            // Another entry of the zone wrote the row, or the response was lost. The next read shows which.
            self.version = None;
        }
        applied
    }
}
