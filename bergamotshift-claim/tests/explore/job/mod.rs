//! Model of the job protocol: entries that take one job over from each other, with a faulty table and runs that end
//! late.

mod steps;
mod tests;

use core::time::Duration;

use bergamotshift_claim::job;
use bergamotshift_claim::job::Runner;
use bergamotshift_claim::prelude::*;
use bergamotshift_core::attempt;
use bergamotshift_core::clock::Instant;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;
use bergamotshift_core::urgency::Urgency;

use crate::search;
use crate::search::Model;

/// Defect injected by the test's wrapper around the runner, which shows that the properties can be violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Defect {
    None,
    /// Results are written regardless of the open row's version.
    ClosesUnconditionally,
    /// Results are written on condition of the record's version only.
    ClosesWithoutLease,
    /// The lease is taken regardless of the open row's version.
    TakesUnconditionally,
    /// A result is written a second time, regardless of the versions.
    RepeatsResults,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Message {
    Transact(usize, Vec<Write>),
    /// Transaction in flight whose sender does not await its ending.
    Late(Vec<Write>),
    Written(usize, Ending),
    Read(usize),
    Rows(usize, Option<[Option<Row>; 2]>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Holder {
    pub(super) runner: Runner,
    pub(super) is_running: bool,
    pub(super) wakes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct World {
    pub(super) record: Option<Row>,
    pub(super) open: Option<Row>,
    /// Runners in the order in which they took the job; `None` for a crashed one.
    pub(super) holders: Vec<Option<Holder>>,
    pub(super) messages: Vec<Message>,
    pub(super) faults: u8,
    pub(super) crashes: u8,
    /// Number of times that the job was closed.
    pub(super) closed: u8,
    /// Fencing numbers under which runs were started.
    pub(super) started: Vec<u64>,
    pub(super) has_stale_result: bool,
    pub(super) has_reused_number: bool,
}

pub(super) struct Jobs {
    pub(super) holders: usize,
    pub(super) wakes: u8,
    pub(super) faults: u8,
    pub(super) crashes: u8,
    pub(super) defect: Defect,
}

pub(super) const ID: job::Id = job::Id::new(5);

impl World {
    fn row(&mut self, key: &Key) -> &mut Option<Row> {
        if *key == ID.open_row() {
            &mut self.open
        } else {
            &mut self.record
        }
    }

    /// Applies a transaction as the table does.
    pub(super) fn apply(&mut self, writes: &[Write]) -> Ending {
        let mut conflicting = Vec::new();
        for (index, write) in writes.iter().enumerate() {
            let version = self.row(&write.key).as_ref().map(|row| row.version);
            let holds = match write.condition {
                Condition::Absent => version.is_none(),
                Condition::Version(required) => version == Some(required),
                Condition::Any => true,
            };
            if !holds {
                conflicting.push(index);
            }
        }
        if !conflicting.is_empty() {
            return Ending::Conflict(conflicting);
        }
        let holder = self.open.as_ref().map(|row| job::Open::decode(&row.body).unwrap());
        for write in writes {
            let row = self.row(&write.key);
            let version = row.as_ref().map_or(0, |row| row.version) + 1;
            *row = match &write.change {
                Change::Put(body) => Some(Row {
                    version,
                    body: body.clone(),
                }),
                Change::Delete => None,
                Change::Check => row.take(),
            };
            if write.key == ID.record_row() {
                self.record_closed(holder.as_ref());
            }
        }
        Ending::Applied
    }

    fn record_closed(&mut self, holder: Option<&job::Open>) {
        self.closed += 1;
        let record = Record::of(self);
        let run = match record {
            job::State::Done { run, .. } | job::State::Failed { run, .. } => run,
            job::State::Open | job::State::Cancelled => return,
        };
        let is_held = holder.is_some_and(|open| open.is_held_by(run));
        self.has_stale_result |= !is_held;
    }

    /// Records the fencing number of a run that starts, and whether it was used before.
    pub(super) fn record_started(&mut self, index: usize) {
        let Some(holder) = &self.holders[index] else { return };
        let fence = holder.runner.fence();
        self.has_reused_number |= self.started.contains(&fence);
        self.started.push(fence);
        self.started.sort_unstable();
    }

    /// Removes the fencing number of a run that executed nothing, as the next run may reuse it.
    pub(super) fn record_not_run(&mut self, index: usize) {
        let Some(holder) = &self.holders[index] else { return };
        let fence = holder.runner.fence();
        self.started.retain(|started| *started != fence);
    }

    pub(super) fn post(&mut self, message: Message) {
        self.messages.push(message);
        self.normalise();
    }

    /// Converts equivalent states into the same form.
    pub(super) fn normalise(&mut self) {
        let is_awaiting = |index: usize| {
            let holder = self.holders[index].as_ref();
            holder.is_some_and(|holder| !holder.runner.is_closed())
        };
        self.messages.retain(|message| match message {
            Message::Written(index, _) | Message::Rows(index, _) | Message::Read(index) => is_awaiting(*index),
            Message::Transact(..) | Message::Late(_) => true,
        });
        for message in &mut self.messages {
            if let Message::Transact(index, writes) = message
                && !is_awaiting(*index)
            {
                *message = Message::Late(writes.clone());
            }
        }
        self.messages.sort_by_cached_key(search::fingerprint);
    }
}

/// Reader of the state in the job's record.
struct Record;

impl Record {
    fn of(world: &World) -> job::State {
        let row = world.record.as_ref().unwrap();
        job::Record::decode(&row.body).unwrap().state
    }
}

impl Model for Jobs {
    type State = World;

    fn initial(&self) -> World {
        let record = job::Record {
            id: ID,
            organisation: "o".into(),
            service: "s".into(),
            digest: Digest::default(),
            request: job::Request::default(),
            key: None,
            repeatable: true,
            accepted: 0,
            state: job::State::Open,
        };
        let open = job::Open {
            urgency: Urgency::Deferrable,
            deadline: 0,
            fence: 0,
            lease: None,
        };
        World {
            record: Some(Row {
                version: 1,
                body: record.encode(),
            }),
            open: Some(Row {
                version: 1,
                body: open.encode(),
            }),
            holders: Vec::new(),
            messages: Vec::new(),
            faults: self.faults,
            crashes: self.crashes,
            closed: 0,
            started: Vec::new(),
            has_stale_result: false,
            has_reused_number: false,
        }
    }

    fn steps(&self, state: &World, emit: &mut dyn FnMut(String, World)) {
        self.process_steps(state, emit);
        self.network_steps(state, emit);
    }

    fn violated(&self, state: &World) -> Option<&'static str> {
        let cases = [
            (state.closed > 1, "one result"),
            (state.has_stale_result, "no result of a lease that was taken over"),
            (state.has_reused_number, "one run under each number"),
        ];
        cases
            .into_iter()
            .find_map(|(is_violated, property)| is_violated.then_some(property))
    }
}

pub(super) fn runner(index: usize, row: &Row) -> Runner {
    let settings = job::Settings {
        lease: Duration::ZERO,
        max_runs: 9,
        backoff: Duration::ZERO,
    };
    let open = job::Open::decode(&row.body).unwrap();
    let run = attempt::Id::new(index as u128 + 1);
    Runner::new(settings, ID, &open, row.version, "e".into(), run)
}

pub(super) const NOW: Instant = Instant::ZERO;
