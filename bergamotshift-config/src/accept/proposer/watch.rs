//! Zones that a proposer waits for.

use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;
use core::time::Duration;
use smol_str::SmolStr;

use crate::accept::record;
use crate::accept::record::Progress;
use crate::accept::record::Proposal;
use crate::accept::record::Stage;

/// State of a zone with the proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    /// The zone has neither staged nor refused the proposal.
    Waiting,
    /// The zone staged the proposal.
    Staged,
    /// The zone cannot use the proposal, for this reason.
    Refused(SmolStr),
}

/// Stage row of a zone as last read: its version, the time since which it has that version, and its state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Observation {
    row: u64,
    since: Instant,
    state: State,
}

/// Zones of a proposal and the state that their stage rows show.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Watch {
    proposal: Proposal,
    zones: BTreeMap<name::Zone, Option<Observation>>,
}

impl Watch {
    pub(super) fn new(proposal: Proposal, zones: impl IntoIterator<Item = name::Zone>) -> Self {
        Self {
            proposal,
            zones: zones.into_iter().map(|zone| (zone, None)).collect(),
        }
    }

    /// Returns the keys of the zones' stage rows.
    pub(super) fn keys(&self) -> impl Iterator<Item = Key> {
        self.zones.keys().map(record::stage_key)
    }

    /// Stores the rows that a read returned, in the order of the keys.
    pub(super) fn update(&mut self, now: Instant, rows: &[Option<Row>]) {
        for (observed, row) in self.zones.values_mut().zip(rows) {
            let version = row.as_ref().map_or(0, |row| row.version);
            let since = match observed {
                Some(observed) if observed.row == version => observed.since,
                _ => now,
            };
            let state = row
                .as_ref()
                .map_or(State::Waiting, |row| zone_state(self.proposal, row));
            *observed = Some(Observation {
                row: version,
                since,
                state,
            });
        }
    }

    /// Returns the first zone that refused the proposal, with its reason.
    pub(super) fn refusal(&self) -> Option<(name::Zone, SmolStr)> {
        self.zones.iter().find_map(|(zone, observed)| match observed {
            Some(Observation {
                state: State::Refused(reason),
                ..
            }) => Some((zone.clone(), reason.clone())),
            _ => None,
        })
    }

    /// Returns the live zones that have not staged the proposal yet.
    pub(super) fn lagging(&self, now: Instant, timeout: Duration) -> Vec<name::Zone> {
        self.select(|observed| {
            observed.is_none_or(|observed| observed.state != State::Staged && now.since(observed.since) < timeout)
        })
    }

    /// Returns the zones that have not staged the proposal and whose rows have not changed for `timeout`.
    pub(super) fn timed_out(&self, now: Instant, timeout: Duration) -> Vec<name::Zone> {
        self.select(|observed| {
            observed.is_some_and(|observed| observed.state != State::Staged && now.since(observed.since) >= timeout)
        })
    }

    /// Returns the checks that every zone's stage row still has the version that was read.
    ///
    /// Without them, a version could be accepted although a live zone has not staged it: one that was considered cut off
    /// and comes back between the read and the acceptance. Checking its row suffices, because a zone that comes back
    /// writes its row first, and then the transaction does not take effect.
    pub(super) fn checks(&self) -> impl Iterator<Item = Write> {
        self.zones.iter().map(|(zone, observed)| Write {
            key: record::stage_key(zone),
            condition: record::condition(observed.as_ref().map_or(0, |observed| observed.row)),
            change: Change::Check,
        })
    }

    fn select(&self, mut predicate: impl FnMut(Option<&Observation>) -> bool) -> Vec<name::Zone> {
        let zones = self.zones.iter().filter(|(_, observed)| predicate(observed.as_ref()));
        zones.map(|(zone, _)| zone.clone()).collect()
    }
}

/// Returns the state that a stage row shows for a proposal. A row about another proposal counts as waiting.
fn zone_state(proposal: Proposal, row: &Row) -> State {
    match record::decode::<Stage>(row) {
        Ok(stage) if stage.proposal == proposal => match stage.progress {
            Progress::Seen => State::Waiting,
            Progress::Staged => State::Staged,
            Progress::Refused(reason) => State::Refused(reason),
        },
        _ => State::Waiting,
    }
}
