//! The job protocol: entries that take one job over from each other, with a faulty table and runs that end late.

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

/// A fault put into the test's own wrapper around the runner, to show that the properties can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Defect {
    None,
    /// Results are written whatever the open row's version is.
    ClosesUnconditionally,
    /// Only the record's version guards the result.
    ClosesWithoutLease,
    /// The lease is taken whatever the open row's version is.
    TakesUnconditionally,
    /// A result is written a second time, whatever the versions are.
    RepeatsResults,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Message {
    Transact(usize, Vec<Write>),
    /// A transaction whose sender has been told that the answer was lost.
    Late(Vec<Write>),
    Written(usize, Ending),
    Read(usize),
    Rows(usize, Option<[Option<Row>; 2]>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Holder {
    pub(super) runner: Runner,
    pub(super) running: bool,
    pub(super) wakes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct World {
    pub(super) record: Option<Row>,
    pub(super) open: Option<Row>,
    /// Runners in the order in which they listed the job; a crashed one is gone.
    pub(super) holders: Vec<Option<Holder>>,
    pub(super) messages: Vec<Message>,
    pub(super) faults: u8,
    pub(super) crashes: u8,
    /// How often the job was closed.
    pub(super) closed: u8,
    /// Fencing numbers under which a run was started.
    pub(super) started: Vec<u64>,
    pub(super) stale_result: bool,
    pub(super) twice_under_a_number: bool,
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

    /// Carries a transaction out as the table does.
    pub(super) fn apply(&mut self, writes: &[Write]) -> Ending {
        let mut broken = Vec::new();
        for (place, write) in writes.iter().enumerate() {
            let version = self.row(&write.key).as_ref().map(|row| row.version);
            let holds = match write.condition {
                Condition::Absent => version.is_none(),
                Condition::Version(wanted) => version == Some(wanted),
                Condition::Any => true,
            };
            if !holds {
                broken.push(place);
            }
        }
        if !broken.is_empty() {
            return Ending::Conflict(broken);
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
                self.note_closed(holder.as_ref());
            }
        }
        Ending::Applied
    }

    fn note_closed(&mut self, holder: Option<&job::Open>) {
        self.closed += 1;
        let record = Record::of(self);
        let run = match record {
            job::State::Done { run, .. } | job::State::Failed { run, .. } => run,
            job::State::Open | job::State::Cancelled => return,
        };
        let held = holder.is_some_and(|open| open.is_held_by(run));
        self.stale_result |= !held;
    }

    /// Notes the number of the run that starts: it must be a new one.
    pub(super) fn note_started(&mut self, place: usize) {
        let Some(holder) = &self.holders[place] else { return };
        let fence = holder.runner.fence();
        self.twice_under_a_number |= self.started.contains(&fence);
        self.started.push(fence);
        self.started.sort_unstable();
    }

    /// Takes back the number of a run that did not run: the next run may have it.
    pub(super) fn note_not_run(&mut self, place: usize) {
        let Some(holder) = &self.holders[place] else { return };
        let fence = holder.runner.fence();
        self.started.retain(|started| *started != fence);
    }

    pub(super) fn post(&mut self, message: Message) {
        self.messages.push(message);
        self.tidy();
    }

    /// Brings states that differ in nothing that matters into one form.
    pub(super) fn tidy(&mut self) {
        let awaits = |place: usize| {
            let holder = self.holders[place].as_ref();
            holder.is_some_and(|holder| !holder.runner.is_closed())
        };
        self.messages.retain(|message| match message {
            Message::Written(place, _) | Message::Rows(place, _) | Message::Read(place) => awaits(*place),
            Message::Transact(..) | Message::Late(_) => true,
        });
        for message in &mut self.messages {
            if let Message::Transact(place, writes) = message
                && !awaits(*place)
            {
                *message = Message::Late(writes.clone());
            }
        }
        self.messages.sort_by_cached_key(search::fingerprint);
    }
}

/// Reads the state out of the job's record.
struct Record;

impl Record {
    fn of(world: &World) -> job::State {
        let row = world.record.as_ref().unwrap();
        job::Record::decode(&row.body).unwrap().state
    }
}

impl Model for Jobs {
    type State = World;

    fn first(&self) -> World {
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
            stale_result: false,
            twice_under_a_number: false,
        }
    }

    fn steps(&self, state: &World, found: &mut dyn FnMut(String, World)) {
        self.process_steps(state, found);
        self.network_steps(state, found);
    }

    fn broken(&self, state: &World) -> Option<&'static str> {
        let cases = [
            (state.closed > 1, "one result"),
            (state.stale_result, "no result of a lease that was taken over"),
            (state.twice_under_a_number, "one run under each number"),
        ];
        cases
            .into_iter()
            .find_map(|(broken, property)| broken.then_some(property))
    }
}

pub(super) fn runner(place: usize, row: &Row) -> Runner {
    let settings = job::Settings {
        lease: Duration::ZERO,
        max_runs: 9,
        backoff: Duration::ZERO,
    };
    let open = job::Open::decode(&row.body).unwrap();
    let run = attempt::Id::new(place as u128 + 1);
    Runner::new(settings, ID, &open, row.version, "e".into(), run)
}

pub(super) const NOW: Instant = Instant::ZERO;
