//! How a job's runs are counted and spaced.

use core::time::Duration;

use bergamotshift_claim::job;
use bergamotshift_claim::job::Action;
use bergamotshift_claim::job::Completion;
use bergamotshift_claim::job::Event;
use bergamotshift_claim::job::Runner;
use bergamotshift_claim::prelude::*;
use bergamotshift_core::attempt;
use bergamotshift_core::clock::Instant;
use bergamotshift_core::outcome::Outcome;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Row;
use bergamotshift_core::table::Write;
use bergamotshift_core::urgency::Urgency;

const ID: job::Id = job::Id::new(5);

const SETTINGS: job::Settings = job::Settings {
    lease: Duration::from_mins(1),
    max_runs: 8,
    backoff: Duration::from_secs(2),
};

/// One entry that takes a job whenever it is free, over a table that never fails.
struct Place {
    now: Instant,
    watch: job::Watch,
    /// The open row, until the job is closed.
    open: Option<Row>,
    record: job::Record,
    runs: u128,
}

impl Place {
    fn new() -> Self {
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
        Self {
            now: Instant::ZERO,
            watch: job::Watch::default(),
            open: Some(row(1, open.encode())),
            record,
            runs: 0,
        }
    }

    /// Looks once for the job, and if it is free, takes it and lets its run end so.
    fn look(&mut self, ran: &Completion) -> bool {
        let Some(open) = self.open.clone() else { return false };
        let Some(candidate) = self.watch.update(self.now, ID.shard(), &[(ID, open)]).pop() else {
            return false;
        };
        self.runs += 1;
        let run = attempt::Id::new(self.runs);
        let mut runner = Runner::new(SETTINGS, ID, &candidate.open, candidate.version, "e".into(), run);
        let mut actions = runner.on(self.now, Event::Take);
        while !runner.is_closed() {
            let events = actions.drain(..).filter_map(|action| self.carry_out(action, ran));
            let events = events.collect::<Vec<_>>();
            for event in events {
                actions.extend(runner.on(self.now, event));
            }
        }
        true
    }

    fn carry_out(&mut self, action: Action, ran: &Completion) -> Option<Event> {
        match action {
            Action::Transact(writes) => {
                self.apply(&writes);
                Some(Event::Written(Ending::Applied))
            }
            Action::Read(_) => {
                let record = row(1, self.record.encode());
                Some(Event::Rows(Ok([Some(record), self.open.clone()])))
            }
            Action::Start(_) => Some(Event::Completed(ran.clone())),
            Action::Stop | Action::Wake(_) => None,
        }
    }

    fn apply(&mut self, writes: &[Write]) {
        for write in writes {
            let version = self.open.as_ref().map_or(0, |row| row.version);
            match (&write.change, write.key == ID.open_row()) {
                (Change::Put(body), true) => self.open = Some(row(version + 1, body.clone())),
                (Change::Put(body), false) => self.record = job::Record::decode(body).unwrap(),
                (Change::Delete, _) => self.open = None,
                (Change::Check, _) => {}
            }
        }
    }
}

fn row(version: u64, body: Vec<u8>) -> Row {
    Row { version, body }
}

// A service's only endpoint restarts. A rebuild that waits for it is taken again and again meanwhile, and never runs.
// It used to be given up after eight such turns, within a second when the entry looks often, and the caller of a job
// that had been accepted read that it had not run.
#[test]
fn turns_that_did_not_run_use_up_no_run() {
    let mut place = Place::new();
    for _ in 0..100 {
        assert!(place.look(&Completion::NotRun));
        assert!(!place.look(&Completion::NotRun));
        place.now = place.now + SETTINGS.backoff;
    }
    assert_eq!(place.record.state, job::State::Open);
    assert!(place.look(&Completion::Answered(Answer::default())));
    assert!(matches!(place.record.state, job::State::Done { .. }));
}

// The same rebuild must not be taken with each look: that would write to the table some hundred times a second for
// nothing. Whoever looks leaves it for the backoff, and no longer.
#[test]
fn a_job_that_did_not_run_is_left_for_the_backoff() {
    let mut place = Place::new();
    assert!(place.look(&Completion::NotRun));
    assert!(!place.look(&Completion::NotRun));
    place.now = place.now + SETTINGS.backoff.saturating_sub(Duration::from_millis(1));
    assert!(!place.look(&Completion::NotRun));
    place.now = place.now + Duration::from_millis(1);
    assert!(place.look(&Completion::NotRun));
}

// An endpoint dies of a request each time it gets it. Each of these runs may have had an effect, and a job that kills
// endpoints must not go round for ever.
#[test]
fn runs_that_may_have_run_are_bounded() {
    let mut place = Place::new();
    let turns = (0..100).filter(|_| place.look(&Completion::Unknown)).count();
    assert_eq!(turns, 8);
    let run = attempt::Id::new(8);
    let outcome = Outcome::Unknown;
    assert_eq!(place.record.state, job::State::Failed { run, outcome });
}

// The operators remove a service whose jobs still wait. No endpoint will ever run them: their callers must be told.
#[test]
fn a_request_that_nobody_can_send_is_given_up() {
    let mut place = Place::new();
    let turns = (0..100).filter(|_| place.look(&Completion::Unsendable)).count();
    assert_eq!(turns, 8);
    let run = attempt::Id::new(8);
    let outcome = Outcome::NotRun;
    assert_eq!(place.record.state, job::State::Failed { run, outcome });
}
