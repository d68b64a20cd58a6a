//! Replies of a driver when the key's row exists already, and the records that it writes.

use bergamotshift_claim::answer;
use bergamotshift_claim::codec;
use bergamotshift_claim::prelude::*;
use bergamotshift_claim::record::State;
use bergamotshift_core::attempt;
use bergamotshift_core::clock::Instant;
use bergamotshift_core::outcome::Outcome;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Row;
use driver::Action;
use driver::Completion;
use driver::Driver;
use driver::Event;
use driver::Op;
use driver::Reply;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::quickcheck;

const DEADLINE: Instant = Instant::from_secs(30);

fn request() -> driver::Request {
    driver::Request {
        scope: Scope::new("oranjehal", "staff-app", "shift-17"),
        digest: Digest::of("POST", "/confirm", b"cook"),
        attempt: attempt::Id::new(1),
        holder: "entry-1".into(),
        deadline: DEADLINE,
        wall_clock: Clock::new(Instant::ZERO, 1_000_000),
    }
}

fn existing(state: State) -> Record {
    Record {
        scope: request().scope,
        digest: request().digest,
        attempt: attempt::Id::new(2),
        holder: "entry-2".into(),
        until: 1_010_000,
        state,
    }
}

fn op_of(actions: &[Action]) -> Op {
    match actions.first() {
        Some(Action::Write { op, .. } | Action::Read { op, .. } | Action::Store { op, .. }) => *op,
        other => panic!("no operation: {other:?}"),
    }
}

/// Starts a driver whose key has the row `record` at version 4, and returns the actions after it read the row.
fn reply_to_existing(record: &Record, now: Instant) -> Vec<Action> {
    let body = record.encode();
    let mut driver = Driver::new(request(), driver::Settings::default());
    let op = op_of(&driver.on(now, Event::Ask));
    let ending = Ending::Conflict(vec![0]);
    let op = op_of(&driver.on(now, Event::Written { op, ending }));
    let row = Ok(Some(Row { version: 4, body }));
    driver.on(now, Event::Rows { op, row })
}

fn answer(body: &[u8]) -> Answer {
    Answer {
        status: 201,
        headers: Vec::new(),
        body: answer::Body::Inline(body.to_vec()),
    }
}

#[test]
fn an_existing_row_determines_the_reply() {
    let other = Digest::of("POST", "/confirm", b"waiter");
    let soon = Instant::from_secs(1);
    let late = Instant::from_secs(11);
    let cases = [
        (existing(State::Sent), soon, 409, Outcome::Unknown),
        (existing(State::Sent), late, 502, Outcome::Unknown),
        (existing(State::Unknown), soon, 502, Outcome::Unknown),
        (existing(State::Done(answer(b"ok"))), soon, 201, Outcome::Ran),
        (
            Record {
                digest: other,
                ..existing(State::Sent)
            },
            soon,
            422,
            Outcome::NotRun,
        ),
        (
            Record {
                digest: other,
                ..existing(State::Done(answer(b"ok")))
            },
            soon,
            422,
            Outcome::NotRun,
        ),
    ];
    for (record, now, status, outcome) in cases {
        let actions = reply_to_existing(&record, now);
        let [Action::Reply(reply)] = actions.as_slice() else {
            panic!("{record:?}: {actions:?}");
        };
        assert_eq!((reply.status(), reply.outcome()), (status, outcome), "{record:?}");
    }
}

#[test]
fn a_withdrawn_key_is_claimed_again_over_its_version() {
    let actions = reply_to_existing(&existing(State::Withdrawn), Instant::ZERO);
    let [Action::Write { write, .. }] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!(write.condition, Condition::Version(4));
}

// A later release wrote the row in a layout that this one cannot read. The row may belong to a request that was
// executed, so the reply must not be `not-run`.
#[test]
fn an_unreadable_row_is_unknown() {
    let mut driver = Driver::new(request(), driver::Settings::default());
    let op = op_of(&driver.on(Instant::ZERO, Event::Ask));
    let ending = Ending::Conflict(vec![0]);
    let op = op_of(&driver.on(Instant::ZERO, Event::Written { op, ending }));
    let body = vec![200, 1, 2];
    let row = Ok(Some(Row { version: 1, body }));
    assert_eq!(
        driver.on(Instant::ZERO, Event::Rows { op, row }),
        [Action::Reply(Reply::Unknown)]
    );
}

#[test]
fn a_long_body_goes_to_the_object_store_first() {
    for (is_stored, dropped) in [(true, false), (false, true)] {
        let mut driver = Driver::new(
            request(),
            driver::Settings {
                max_inline_bytes: 3,
                ..driver::Settings::default()
            },
        );
        let op = op_of(&driver.on(Instant::ZERO, Event::Ask));
        let ending = Ending::Applied;
        assert_eq!(driver.on(Instant::ZERO, Event::Written { op, ending }), [Action::Send]);
        let completion = Completion::Answered(answer(b"long"));
        let actions = driver.on(Instant::ZERO, Event::Completed(completion));
        assert_eq!(actions[0], Action::Reply(Reply::Answer(answer(b"long"))));
        let op = op_of(&actions[1..]);
        let actions = driver.on(Instant::ZERO, Event::Stored { op, is_stored });
        let [Action::Write { write, .. }] = actions.as_slice() else {
            panic!("{actions:?}");
        };
        let Change::Put(body) = &write.change else {
            panic!("{write:?}");
        };
        let State::Done(recorded) = Record::decode(body).unwrap().state else {
            panic!("not done");
        };
        assert_eq!(recorded.body == answer::Body::Dropped, dropped);
    }
}

impl Arbitrary for Sample {
    fn arbitrary(g: &mut Gen) -> Self {
        let header = |g: &mut Gen| answer::Header {
            name: String::arbitrary(g).into(),
            value: Vec::arbitrary(g),
        };
        let body = match u8::arbitrary(g) % 3 {
            0 => answer::Body::Inline(Vec::arbitrary(g)),
            1 => answer::Body::Object {
                key: String::arbitrary(g).into(),
                length: u64::arbitrary(g),
            },
            _ => answer::Body::Dropped,
        };
        let answer = Answer {
            status: u16::arbitrary(g),
            headers: vec![header(g)],
            body,
        };
        let states = [State::Sent, State::Unknown, State::Withdrawn, State::Done(answer)];
        let text = |g: &mut Gen| String::arbitrary(g);
        Self(Record {
            scope: Scope::new(text(g), text(g), text(g)),
            digest: Digest::of(&text(g), &text(g), &Vec::arbitrary(g)),
            attempt: attempt::Id::new(u128::arbitrary(g)),
            holder: text(g).as_str().into(),
            until: u64::arbitrary(g),
            state: g.choose(&states).unwrap().clone(),
        })
    }
}

#[derive(Clone, Debug)]
struct Sample(Record);

quickcheck! {
    fn records_are_unchanged_by_encoding_and_decoding(record: Sample) -> bool {
        Record::decode(&record.0.encode()) == Ok(record.0)
    }

    fn any_bytes_decode_or_are_an_error(bytes: Vec<u8>) -> bool {
        !matches!(Record::decode(&bytes), Err(codec::Error::Empty)) || bytes.is_empty()
    }

    fn a_truncated_record_is_an_error(record: Sample, cut: usize) -> bool {
        let bytes = record.0.encode();
        Record::decode(&bytes[..cut % bytes.len()]).is_err()
    }

    fn scopes_split_differently_have_different_rows(organisation: String, service: String, key: String) -> bool {
        let whole = Scope::new(&organisation, &service, &key);
        let moved = Scope::new(format!("{organisation}{service}"), "", &key);
        whole == moved || whole.row() != moved.row()
    }

    // With any events in any order, a driver sends at most once, replies at most once, and never sends after its reply.
    fn any_events_cause_at_most_one_send_and_one_reply(events: Vec<(u8, u8, u16)>) -> bool {
        let settings = driver::Settings { claim_tries: 3, ..driver::Settings::default() };
        let mut driver = Driver::new(request(), settings);
        let mut ops = vec![];
        let mut sends = 0;
        let mut replies = 0;
        let mut now = Instant::ZERO;
        let mut is_valid = true;
        for (kind, choice, wait) in events {
            now = now + core::time::Duration::from_millis(u64::from(wait) / 8);
            for action in driver.on(now, event(kind, choice, &ops)) {
                match action {
                    Action::Write { op, .. } | Action::Read { op, .. } | Action::Store { op, .. } => ops.push(op),
                    Action::Send => { sends += 1; is_valid &= replies == 0; }
                    Action::Reply(_) => replies += 1,
                    Action::Wake(_) => {}
                }
            }
        }
        is_valid && sends <= 1 && replies <= 1
    }
}

fn event(kind: u8, choice: u8, ops: &[Op]) -> Event {
    let Some(op) = ops.get(usize::from(choice) % ops.len().max(1)).or(ops.last()).copied() else {
        return Event::Ask;
    };
    let ending = [
        Ending::Applied,
        Ending::Conflict(vec![0]),
        Ending::Refused,
        Ending::Unknown,
    ][usize::from(choice % 4)]
    .clone();
    let own = Record {
        attempt: request().attempt,
        ..existing(State::Sent)
    };
    let row = match choice % 4 {
        0 => Ok(None),
        1 => Err(driver::Unreachable),
        2 => Ok(Some(Row {
            version: 1,
            body: own.encode(),
        })),
        _ => Ok(Some(Row {
            version: 1,
            body: existing(State::Withdrawn).encode(),
        })),
    };
    match kind % 8 {
        0 => Event::Ask,
        1 | 2 => Event::Written { op, ending },
        3 | 4 => Event::Rows { op, row },
        5 => Event::Woke,
        6 => Event::Completed(
            [
                Completion::Answered(answer(b"x")),
                Completion::Refused,
                Completion::Lost,
            ][usize::from(choice % 3)]
            .clone(),
        ),
        _ => Event::Cancel,
    }
}
