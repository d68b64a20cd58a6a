//! Takes one open job from its lease to its recorded result.
//!
//! The lease only keeps entries from doing the same work twice at a time. What keeps a second result away is the open
//! row's version: every write of the holder is conditional on the version it wrote last. So a holder whose lease
//! lapsed while it was paused, or while the table was down, may go on: either nobody took the job over, and its result
//! counts, or its next write conflicts, and it stops.

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

/// How jobs are run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// How long a lease stands without renewal.
    pub lease: Duration,
    /// How many runs a job gets before it is given up; a run that certainly did not run is not counted.
    pub max_runs: u64,
    /// The wait between two tries of a write, and before a job that did not run is taken again.
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

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Completion {
    /// With a whole answer.
    Answered(Answer),
    /// Without one, and it certainly did not run.
    NotRun,
    /// Not at all: the request cannot be made here, as its service or its body is not known.
    Unsendable,
    /// Without one, and it may have run.
    Unknown,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The job is to be run here.
    Take,
    /// The last transaction ended.
    Written(Ending),
    /// The last read brought the record and the open row.
    Rows(Result<[Option<Row>; 2], Unreachable>),
    /// The run that [`Action::Start`] began ended.
    Completed(Completion),
    /// The entry leaves: the job is to go elsewhere.
    Leave,
    /// The time of the last [`Action::Wake`] has come.
    Woke,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Carry out a transaction; [`Event::Written`] tells how it ended.
    Transact(Vec<Write>),
    /// Read the record and the open row consistently; [`Event::Rows`] brings them.
    Read([Key; 2]),
    /// Run the request; through a claim under the job's own id if it is not repeatable.
    Start(Box<Record>),
    /// Break the run off; [`Event::Completed`] does not matter any more.
    Stop,
    /// Wake the runner after this time; replaces the earlier one.
    Wake(Instant),
}

/// What the runner is about to write, or has written last.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Goal {
    Take,
    Renew,
    /// Leave the job to whoever is there first.
    Release,
    /// Leave the job to whoever is there first after the backoff, and take the run back from the count.
    Pause,
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
    /// The open row as this runner wrote it last.
    open: Open,
    version: u64,
    run: attempt::Id,
    record: Option<Box<Record>>,
    goal: Goal,
    phase: Phase,
    running: bool,
    due: Instant,
    /// How the run ended while a write was on its way.
    next: Option<Goal>,
}

impl Runner {
    /// Makes a runner for an open job that was listed at `version`; `run` is drawn at random for it alone.
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
            running: false,
            due: Instant::ZERO,
            next: None,
        }
    }

    /// Returns the job.
    pub const fn id(&self) -> Id {
        self.id
    }

    /// Returns the number of this run of the job; higher than those of all earlier runs that may have run.
    pub const fn fence(&self) -> u64 {
        self.open.fence
    }

    /// Returns whether nothing is left to do.
    pub const fn is_closed(&self) -> bool {
        matches!(self.phase, Phase::Closed)
    }

    /// Takes an event in and returns what is to be done about it, in order.
    pub fn on(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match (event, self.phase) {
            (_, Phase::Closed) => Vec::new(),
            (Event::Take, Phase::Idle) => self.write(),
            (Event::Written(ending), Phase::Writing) => self.written(now, &ending),
            (Event::Rows(rows), Phase::Reading) => self.rows(now, rows),
            (Event::Completed(ran), _) if self.running => self.ended(ran),
            (Event::Leave, _) if self.running => self.leave(),
            (Event::Woke, Phase::Waiting) if now >= self.due => self.write(),
            _ => Vec::new(),
        }
    }

    fn write(&mut self) -> Vec<Action> {
        self.phase = Phase::Writing;
        let condition = Condition::Version(self.version);
        let writes = match (&self.goal, &self.record) {
            (Goal::Close(state), Some(record)) => record.close(state.clone(), self.version),
            (Goal::Release, _) => vec![self.released().write(self.id, condition)],
            (Goal::Pause, _) => vec![self.paused().write(self.id, condition)],
            _ => vec![self.open.write(self.id, condition)],
        };
        vec![Action::Transact(writes)]
    }

    fn released(&self) -> Open {
        Open {
            lease: None,
            ..self.open.clone()
        }
    }

    /// Returns the row of a job that did not run.
    ///
    /// While its service has no endpoint, a job is taken over and over. Counted and free at once, it would be given up
    /// within a few looks, though its endpoint may be back a second later. A lease that nobody renews keeps every
    /// entry away for the backoff, by each entry's own clock, so nothing more has to be remembered.
    fn paused(&self) -> Open {
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
            // The job is out of this runner's hands, or another entry was faster and nothing was started here.
            (Ending::Applied, Goal::Release | Goal::Pause | Goal::Close(_))
            | (Ending::Conflict(_) | Ending::Refused, Goal::Take) => self.close(),
            (Ending::Refused, _) => self.wait(now, self.settings.backoff),
            (Ending::Conflict(_) | Ending::Unknown, _) => self.read(),
        }
    }

    fn rows(&mut self, now: Instant, rows: Result<[Option<Row>; 2], Unreachable>) -> Vec<Action> {
        let Ok([record, open]) = rows else {
            return self.wait(now, self.settings.backoff);
        };
        let open = open.and_then(|row| Some((row.version, Open::decode(&row.body).ok()?)));
        let Some((version, _)) = open.filter(|(_, open)| open.is_held_by(self.run)) else {
            // The job is closed or somebody else's: a result of this run would be a second one.
            return self.lost();
        };
        let settled = version != self.version || self.goal == Goal::Take;
        self.version = version;
        if self.goal == Goal::Take {
            let Some(record) = record.and_then(|row| Record::decode(&row.body).ok()) else {
                return self.lost();
            };
            return self.start(now, record);
        }
        // The write that was lost took effect if the version moved on. A pause leaves the row held too: written once
        // more, it begins anew and harms nobody.
        if settled && self.goal == Goal::Renew {
            return self.renewed(now);
        }
        self.write()
    }

    fn start(&mut self, now: Instant, record: Record) -> Vec<Action> {
        self.record = Some(Box::new(record.clone()));
        self.running = true;
        self.goal = Goal::Renew;
        let mut actions = vec![Action::Start(Box::new(record))];
        actions.extend(self.wait(now, self.settings.lease / 3));
        actions
    }

    fn renewed(&mut self, now: Instant) -> Vec<Action> {
        match self.next.take() {
            Some(goal) => {
                self.goal = goal;
                self.write()
            }
            None => self.wait(now, self.settings.lease / 3),
        }
    }

    fn ended(&mut self, ran: Completion) -> Vec<Action> {
        self.running = false;
        let repeatable = self.record.as_ref().is_some_and(|record| record.repeatable);
        let run = self.run;
        let spent = self.open.fence >= self.settings.max_runs;
        let goal = match ran {
            Completion::Answered(answer) => Goal::Close(State::Done { run, answer }),
            Completion::NotRun => Goal::Pause,
            Completion::Unsendable if !spent => Goal::Release,
            Completion::Unsendable => Goal::Close(State::Failed {
                run,
                outcome: Outcome::NotRun,
            }),
            Completion::Unknown if repeatable && !spent => Goal::Release,
            Completion::Unknown => Goal::Close(State::Failed {
                run,
                outcome: Outcome::Unknown,
            }),
        };
        self.turn_to(goal)
    }

    fn leave(&mut self) -> Vec<Action> {
        // What is not repeatable may be running at an endpoint: its claim would only tell the next entry that.
        if !self.record.as_ref().is_some_and(|record| record.repeatable) {
            return Vec::new();
        }
        self.running = false;
        let mut actions = vec![Action::Stop];
        actions.extend(self.turn_to(Goal::Release));
        actions
    }

    /// Writes the goal, after the renewal that may be on its way.
    fn turn_to(&mut self, goal: Goal) -> Vec<Action> {
        if self.phase == Phase::Waiting {
            self.goal = goal;
            return self.write();
        }
        self.next = Some(goal);
        Vec::new()
    }

    fn lost(&mut self) -> Vec<Action> {
        let stop = core::mem::take(&mut self.running);
        self.phase = Phase::Closed;
        if stop { vec![Action::Stop] } else { Vec::new() }
    }

    fn close(&mut self) -> Vec<Action> {
        self.phase = Phase::Closed;
        Vec::new()
    }
}
