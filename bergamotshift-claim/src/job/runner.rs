//! State machine that runs one open job, from taking its lease to recording its result.
//!
//! The lease only prevents entries from doing the same work at the same time. The version of the open row prevents a
//! second result: each write of the holder is conditional on the version that it wrote last. A holder whose lease
//! expired while it was paused, or while the table was unavailable, may therefore continue. If no other entry took the
//! job over, its result is recorded; otherwise its next write conflicts, and it stops.

use core::time::Duration;

use bergamotshift_core::attempt;
use bergamotshift_core::clock::Instant;
use bergamotshift_core::name;
use bergamotshift_core::outcome::Outcome;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;

use super::Id;
use super::Lease;
use super::Open;
use super::Record;
use super::State;
use crate::answer::Answer;
use crate::driver::Unreachable;

/// Settings of a [`Runner`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Time for which a lease is valid without renewal.
    pub lease: Duration,
    /// Maximum number of runs before a job is given up; a run that certainly did not execute the request is not
    /// counted.
    pub max_runs: u64,
    /// Wait between two tries of a write, and before a job whose request was not executed is taken again.
    pub backoff: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Duration::from_mins(1),
            max_runs: 8,
            backoff: Duration::from_secs(2),
        }
    }
}

/// Result of a run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Completion {
    /// A complete answer was received.
    Answered(Answer),
    /// The request was certainly not executed.
    NotRun,
    /// The request cannot be sent from this entry, because its service or its body is unknown.
    Unsendable,
    /// The request may have been executed, and its answer is lost.
    Unknown,
}

/// Input of a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The job is to be run by this entry.
    Take,
    /// The last transaction ended.
    Written(Ending),
    /// The last read ended, with the record and the open row.
    Rows(Result<[Option<Row>; 2], Unreachable>),
    /// The run started by [`Action::Start`] ended.
    Completed(Completion),
    /// The entry is leaving, so another one should run the job.
    Leave,
    /// The time of the last [`Action::Wake`] was reached.
    Woke,
}

/// Action that the runner requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Performs a transaction; [`Event::Written`] reports the ending.
    Transact(Vec<Write>),
    /// Reads the record and the open row with consistent reads; [`Event::Rows`] reports them.
    Read([Key; 2]),
    /// Runs the request, through a claim under the job's id if it is not repeatable; [`Event::Completed`] reports the
    /// result.
    Start(Box<Record>),
    /// Cancels the run; a later [`Event::Completed`] is ignored.
    Stop,
    /// Sets the timer for [`Event::Woke`], replacing an earlier one.
    Wake(Instant),
}

/// Change that the runner is about to write, or wrote last.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Goal {
    /// Takes the lease.
    Take,
    /// Renews the lease.
    Renew,
    /// Removes the lease, so that any entry can take the job at once.
    Release,
    /// Sets the lease's length to the backoff, after which any entry can take the job, and does not count the run.
    Postpone,
    /// Deletes the open row and records the final state.
    Close(State),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    Writing,
    Reading,
    Waiting,
    Closed,
}

/// Runs one job at one entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Runner {
    settings: Settings,
    id: Id,
    /// Open row with this runner's lease.
    open: Open,
    version: u64,
    run: attempt::Id,
    record: Option<Box<Record>>,
    goal: Goal,
    phase: Phase,
    is_running: bool,
    due: Instant,
    /// Goal to write after the renewal in flight.
    next_goal: Option<Goal>,
}

impl Runner {
    /// Creates a runner for an open job that was listed at `version`; `run` is generated at random for it alone.
    pub fn new(settings: Settings, id: Id, listed: &Open, version: u64, holder: name::Entry, run: attempt::Id) -> Self {
        let length = u32::try_from(settings.lease.as_millis()).unwrap_or(u32::MAX);
        let open = Open {
            fence: listed.fence + 1,
            lease: Some(Lease { holder, run, length }),
            ..listed.clone()
        };
        Self {
            settings,
            id,
            open,
            version,
            run,
            record: None,
            goal: Goal::Take,
            phase: Phase::Idle,
            is_running: false,
            due: Instant::ZERO,
            next_goal: None,
        }
    }

    /// Returns the job's identifier.
    pub const fn id(&self) -> Id {
        self.id
    }

    /// Returns the fencing number of this run, which is higher than those of all earlier runs that may have executed
    /// the request.
    pub const fn fence(&self) -> u64 {
        self.open.fence
    }

    /// Returns whether the runner has finished.
    pub const fn is_closed(&self) -> bool {
        matches!(self.phase, Phase::Closed)
    }

    /// Handles an event and returns the actions to perform, in order.
    pub fn on(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match (event, self.phase) {
            (_, Phase::Closed) => Vec::new(),
            (Event::Take, Phase::Idle) => self.write(),
            (Event::Written(ending), Phase::Writing) => self.written(now, &ending),
            (Event::Rows(rows), Phase::Reading) => self.rows_read(now, rows),
            (Event::Completed(completion), _) if self.is_running => self.completed(completion),
            (Event::Leave, _) if self.is_running => self.leave(),
            (Event::Woke, Phase::Waiting) if now >= self.due => self.write(),
            _ => Vec::new(),
        }
    }

    /// Writes the current goal.
    fn write(&mut self) -> Vec<Action> {
        self.phase = Phase::Writing;
        let condition = Condition::Version(self.version);
        let writes = match (&self.goal, &self.record) {
            (Goal::Close(state), Some(record)) => record.close(state.clone(), self.version),
            (Goal::Release, _) => vec![self.released().write(self.id, condition)],
            (Goal::Postpone, _) => vec![self.postponed().write(self.id, condition)],
            _ => vec![self.open.write(self.id, condition)],
        };
        vec![Action::Transact(writes)]
    }

    /// Returns the open row without a lease.
    fn released(&self) -> Open {
        Open {
            lease: None,
            ..self.open.clone()
        }
    }

    /// Returns the open row of a job whose request was not executed.
    ///
    /// While its service has no endpoint, a job is taken repeatedly. If these runs were counted and the job were
    /// available at once, it would be given up within a few scans, although an endpoint may return a second later. The
    /// lease is therefore limited to the backoff and not renewed, so that no entry takes the job earlier, by that
    /// entry's own clock. This needs no further state.
    fn postponed(&self) -> Open {
        let length = u32::try_from(self.settings.backoff.as_millis()).unwrap_or(u32::MAX);
        Open {
            fence: self.open.fence - 1,
            lease: self.open.lease.clone().map(|lease| Lease { length, ..lease }),
            ..self.open.clone()
        }
    }

    fn read(&mut self) -> Vec<Action> {
        self.phase = Phase::Reading;
        vec![Action::Read([self.id.record_row(), self.id.open_row()])]
    }

    fn wait(&mut self, now: Instant, time: Duration) -> Vec<Action> {
        self.phase = Phase::Waiting;
        self.due = now + time;
        vec![Action::Wake(self.due)]
    }

    fn written(&mut self, now: Instant, ending: &Ending) -> Vec<Action> {
        match (ending, &self.goal) {
            (Ending::Applied, Goal::Take) => {
                self.version += 1;
                self.read()
            }
            (Ending::Applied, Goal::Renew) => {
                self.version += 1;
                self.renewed(now)
            }
            // This runner does not hold the job any more, or another entry took it first and no run was started here.
            (Ending::Applied, Goal::Release | Goal::Postpone | Goal::Close(_))
            | (Ending::Conflict(_) | Ending::Refused, Goal::Take) => self.close(),
            (Ending::Refused, _) => self.wait(now, self.settings.backoff),
            (Ending::Conflict(_) | Ending::Unknown, _) => self.read(),
        }
    }

    fn rows_read(&mut self, now: Instant, rows: Result<[Option<Row>; 2], Unreachable>) -> Vec<Action> {
        let Ok([record, open]) = rows else {
            return self.wait(now, self.settings.backoff);
        };
        let open = open.and_then(|row| Some((row.version, Open::decode(&row.body).ok()?)));
        let Some((version, _)) = open.filter(|(_, open)| open.is_held_by(self.run)) else {
            // The job is closed or held by another run, so a result of this run would be a second one.
            return self.abandon();
        };
        let has_taken_effect = version != self.version || self.goal == Goal::Take;
        self.version = version;
        if self.goal == Goal::Take {
            let Some(record) = record.and_then(|row| Record::decode(&row.body).ok()) else {
                return self.abandon();
            };
            return self.start(now, record);
        }
        // A write with an unknown ending took effect if the version changed. A postponed job's row is held by this run
        // as well; writing it again only restarts the backoff.
        if has_taken_effect && self.goal == Goal::Renew {
            return self.renewed(now);
        }
        self.write()
    }

    fn start(&mut self, now: Instant, record: Record) -> Vec<Action> {
        self.record = Some(Box::new(record.clone()));
        self.is_running = true;
        self.goal = Goal::Renew;
        let mut actions = vec![Action::Start(Box::new(record))];
        actions.extend(self.wait(now, self.settings.lease / 3));
        actions
    }

    fn renewed(&mut self, now: Instant) -> Vec<Action> {
        match self.next_goal.take() {
            Some(goal) => {
                self.goal = goal;
                self.write()
            }
            None => self.wait(now, self.settings.lease / 3),
        }
    }

    /// Writes the result of the run.
    fn completed(&mut self, completion: Completion) -> Vec<Action> {
        self.is_running = false;
        let repeatable = self.record.as_ref().is_some_and(|record| record.repeatable);
        let run = self.run;
        let is_exhausted = self.open.fence >= self.settings.max_runs;
        let goal = match completion {
            Completion::Answered(answer) => Goal::Close(State::Done { run, answer }),
            Completion::NotRun => Goal::Postpone,
            Completion::Unsendable if !is_exhausted => Goal::Release,
            Completion::Unsendable => Goal::Close(State::Failed {
                run,
                outcome: Outcome::NotRun,
            }),
            Completion::Unknown if repeatable && !is_exhausted => Goal::Release,
            Completion::Unknown => Goal::Close(State::Failed {
                run,
                outcome: Outcome::Unknown,
            }),
        };
        self.pursue(goal)
    }

    /// Cancels the run and releases the job, if its request is repeatable.
    fn leave(&mut self) -> Vec<Action> {
        // A non-repeatable request may be running at an endpoint. The next entry could not run it, as its claim exists.
        if !self.record.as_ref().is_some_and(|record| record.repeatable) {
            return Vec::new();
        }
        self.is_running = false;
        let mut actions = vec![Action::Stop];
        actions.extend(self.pursue(Goal::Release));
        actions
    }

    /// Writes the goal, or keeps it until the renewal in flight has ended.
    fn pursue(&mut self, goal: Goal) -> Vec<Action> {
        if self.phase == Phase::Waiting {
            self.goal = goal;
            return self.write();
        }
        self.next_goal = Some(goal);
        Vec::new()
    }

    /// Cancels the run, if there is one, and closes the runner without a write.
    fn abandon(&mut self) -> Vec<Action> {
        let stop = core::mem::take(&mut self.is_running);
        self.phase = Phase::Closed;
        if stop { vec![Action::Stop] } else { Vec::new() }
    }

    fn close(&mut self) -> Vec<Action> {
        self.phase = Phase::Closed;
        Vec::new()
    }
}
