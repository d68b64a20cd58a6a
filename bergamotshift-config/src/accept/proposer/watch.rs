//! Which zones a proposer waits for.

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

/// How a zone stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    /// Its row moved lately, and it has not staged the proposal.
    Waiting,
    /// It staged the proposal.
    Staged,
    /// It can't use the proposal.
    Refused(SmolStr),
}

/// A zone's row as last read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Seen {
    row: u64,
    since: Instant,
    state: State,
}

/// The zones whose word counts, as their rows show them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Watch {
    proposal: Proposal,
    zones: BTreeMap<name::Zone, Option<Seen>>,
}

impl Watch {
    pub(super) fn new(proposal: Proposal, zones: impl IntoIterator<Item = name::Zone>) -> Self {
        Self {
            proposal,
            zones: zones.into_iter().map(|zone| (zone, None)).collect(),
        }
    }

    /// Returns the keys of the zones' rows.
    pub(super) fn keys(&self) -> impl Iterator<Item = Key> {
        self.zones.keys().map(record::stage_key)
    }

    /// Takes the rows in, in the order of the keys.
    pub(super) fn update(&mut self, now: Instant, rows: &[Option<Row>]) {
        for (seen, row) in self.zones.values_mut().zip(rows) {
            let version = row.as_ref().map_or(0, |row| row.version);
            let since = match seen {
                Some(seen) if seen.row == version => seen.since,
                _ => now,
            };
            let state = row.as_ref().map_or(State::Waiting, |row| state(self.proposal, row));
            *seen = Some(Seen {
                row: version,
                since,
                state,
            });
        }
    }

    /// Returns a zone that can't use the proposal, and why.
    pub(super) fn refusal(&self) -> Option<(name::Zone, SmolStr)> {
        self.zones.iter().find_map(|(zone, seen)| match seen {
            Some(Seen {
                state: State::Refused(reason),
                ..
            }) => Some((zone.clone(), reason.clone())),
            _ => None,
        })
    }

    /// Returns the zones that still have to stage.
    pub(super) fn lagging(&self, now: Instant, lapse: Duration) -> Vec<name::Zone> {
        self.select(|seen| seen.is_none_or(|seen| seen.state != State::Staged && now.since(seen.since) < lapse))
    }

    /// Returns the zones that no longer count: their rows have not moved for `lapse`.
    pub(super) fn lapsed(&self, now: Instant, lapse: Duration) -> Vec<name::Zone> {
        self.select(|seen| seen.is_some_and(|seen| seen.state != State::Staged && now.since(seen.since) >= lapse))
    }

    /// Returns the checks that every zone's row is still as it was judged.
    ///
    /// The failure: a zone held for cut off comes back between the reading and the acceptance; it is live and has not
    /// staged, yet the version is accepted. The check on its row is enough, because a zone that comes back writes its
    /// row first, and so the transaction does not take effect.
    pub(super) fn checks(&self) -> impl Iterator<Item = Write> {
        self.zones.iter().map(|(zone, seen)| Write {
            key: record::stage_key(zone),
            condition: record::condition(seen.as_ref().map_or(0, |seen| seen.row)),
            change: Change::Check,
        })
    }

    fn select(&self, mut wanted: impl FnMut(Option<&Seen>) -> bool) -> Vec<name::Zone> {
        let zones = self.zones.iter().filter(|(_, seen)| wanted(seen.as_ref()));
        zones.map(|(zone, _)| zone.clone()).collect()
    }
}

/// Returns how a zone stands to a proposal; what it says of another proposal says nothing.
fn state(proposal: Proposal, row: &Row) -> State {
    match record::decode::<Stage>(row) {
        Ok(stage) if stage.proposal == proposal => match stage.progress {
            Progress::Seen => State::Waiting,
            Progress::Staged => State::Staged,
            Progress::Refused(reason) => State::Refused(reason),
        },
        _ => State::Waiting,
    }
}
