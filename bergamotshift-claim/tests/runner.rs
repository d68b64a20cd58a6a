//! Counting and spacing of a job's runs.

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

/// Entry that takes a job whenever it is free, with a table that never fails.
struct Entry {
    now: Instant,
    watch: job::Watch,
    /// Open row, until the job is closed.
    open: Option<Row>,
    record: job::Record,
    runs: u128,
}

impl Entry {
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

    /// Takes the job if it is free, completes its run with `completion`, and returns whether it was free.
    fn poll(&mut self, completion: &Completion) -> bool {
        let Some(open) = self.open.clone() else { return false };
        let Some(candidate) = self.watch.update(self.now, ID.shard(), &[(ID, open)]).pop() else {
            return false;
        };
        self.runs += 1;
        let run = attempt::Id::new(self.runs);
        let mut runner = Runner::new(SETTINGS, ID, &candidate.open, candidate.version, "e".into(), run);
        let mut actions = runner.on(self.now, Event::Take);
        while !runner.is_closed() {
            let events = actions
                .drain(..)
                .filter_map(|action| self.carry_out(action, completion));
            let events = events.collect::<Vec<_>>();
            for event in events {
                actions.extend(runner.on(self.now, event));
            }
        }
        true
    }

    fn carry_out(&mut self, action: Action, completion: &Completion) -> Option<Event> {
        match action {
            Action::Transact(writes) => {
                self.apply(&writes);
                Some(Event::Written(Ending::Applied))
            }
            Action::Read(_) => {
                let record = row(1, self.record.encode());
                Some(Event::Rows(Ok([Some(record), self.open.clone()])))
            }
            Action::Start(_) => Some(Event::Completed(completion.clone())),
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

// While the only endpoint of a service restarts, a waiting job is taken repeatedly without being executed. If these
// runs were counted, the job would fail after eight of them, within a second if the entry polls often, although it was
// accepted and could run later.
#[test]
fn runs_that_executed_nothing_are_not_counted() {
    let mut entry = Entry::new();
    for _ in 0..100 {
        assert!(entry.poll(&Completion::NotRun));
        assert!(!entry.poll(&Completion::NotRun));
        entry.now = entry.now + SETTINGS.backoff;
    }
    assert_eq!(entry.record.state, job::State::Open);
    assert!(entry.poll(&Completion::Answered(Answer::default())));
    assert!(matches!(entry.record.state, job::State::Done { .. }));
}

// A job that cannot run yet must not be taken with each poll, which would cause about a hundred useless writes to the
// table per second. It may be taken again after the backoff, and no later.
#[test]
fn a_job_that_did_not_run_waits_for_the_backoff() {
    let mut entry = Entry::new();
    assert!(entry.poll(&Completion::NotRun));
    assert!(!entry.poll(&Completion::NotRun));
    entry.now = entry.now + SETTINGS.backoff.saturating_sub(Duration::from_millis(1));
    assert!(!entry.poll(&Completion::NotRun));
    entry.now = entry.now + Duration::from_millis(1);
    assert!(entry.poll(&Completion::NotRun));
}

// An endpoint crashes each time it receives the request. Each run may have had an effect, and a job that crashes
// endpoints must not be retried forever.
#[test]
fn runs_that_may_have_executed_the_request_are_limited() {
    let mut entry = Entry::new();
    let taken = (0..100).filter(|_| entry.poll(&Completion::Unknown)).count();
    assert_eq!(taken, 8);
    let run = attempt::Id::new(8);
    let outcome = Outcome::Unknown;
    assert_eq!(entry.record.state, job::State::Failed { run, outcome });
}

// The operators remove a service that has waiting jobs. No endpoint will ever run them, so they have to fail instead of
// staying open.
#[test]
fn a_request_that_no_entry_can_send_is_given_up() {
    let mut entry = Entry::new();
    let taken = (0..100).filter(|_| entry.poll(&Completion::Unsendable)).count();
    assert_eq!(taken, 8);
    let run = attempt::Id::new(8);
    let outcome = Outcome::NotRun;
    assert_eq!(entry.record.state, job::State::Failed { run, outcome });
}
