//! The promises to callers of model engines are found broken in a book that breaks them, and in no other.

use core::time::Duration;

use bergamotshift_soak::demand;
use bergamotshift_soak::demand::Summary;
use bergamotshift_soak::endpoint::Notice;
use bergamotshift_soak::engine::Engine;
use bergamotshift_soak::ledger::Arrival;
use bergamotshift_soak::ledger::Attempt;
use bergamotshift_soak::ledger::Book;
use bergamotshift_soak::ledger::Disruption;
use bergamotshift_soak::ledger::Exchange;
use bergamotshift_soak::ledger::Ledger;
use bergamotshift_soak::ledger::Outcome;
use bergamotshift_soak::ledger::Overload;
use bergamotshift_soak::ledger::Place;
use bergamotshift_soak::promise;
use bergamotshift_soak::site::ENGINES;
use bergamotshift_soak::site::Kind;
use bergamotshift_soak::site::Tenant;

const OVERLOADING: usize = 0;

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Adds an attempt that lasts 20 ms and is told to return after a time in milliseconds, with two seconds left.
fn push(book: &mut Book, (id, request): (&str, &str), team: usize, sent: u64, status: u16, after: Option<u64>) {
    book.exchanges.push(Exchange {
        id: id.into(),
        entry: 0,
        life: 1,
        kind: Kind::Generate,
        tenant: Tenant::Team(team),
        is_first: true,
        sent: at(sent),
        ended: at(sent + 20),
        outcome: Outcome::Answered(status),
    });
    book.attempts.push(Attempt {
        id: id.into(),
        request: request.into(),
        left: at(2_000),
        retry_after: after.map(at),
    });
}

fn refusal(after: u64) -> Book {
    let mut book = Book::default();
    push(&mut book, ("a", "a"), 1, 1_000, 503, Some(after));
    book
}

/// A book of an overload in which the first organisation sends 60 requests and each other one 20, of which so many are
/// served.
fn overload(served: [u64; 4]) -> Book {
    let mut book = Book::default();
    for (team, served) in served.into_iter().enumerate() {
        for number in 0..if team == OVERLOADING { 60 } else { 20 } {
            let id = format!("t{team}-{number}");
            let status = if number < served { 200 } else { 503 };
            push(&mut book, (&id, &id), team, 2_000 + number * 50, status, None);
        }
    }
    book.overloads = vec![Overload {
        tenant: Tenant::Team(OVERLOADING),
        from: at(2_000),
        until: Some(at(7_000)),
    }];
    book
}

fn broken(book: &Book) -> Vec<&'static str> {
    demand::check(book).into_iter().map(|broken| broken.promise).collect()
}

fn frozen(from: u64, until: u64) -> Disruption {
    Disruption {
        place: Place::Entry(0),
        what: "frozen",
        is_planned: false,
        from: at(from),
        until: Some(at(until)),
    }
}

const STARVED: &str = "organisations with normal load are not starved by one that overloads the engines";

const TOO_LONG: &str = "no time to return exceeds a third of the time that the caller has left";

/// Guards against capacity that goes by demand alone, so that the organisation that asks for most gets it.
#[test]
fn starved_organisations_are_found() {
    assert_eq!(broken(&overload([40, 14, 14, 14])), [""; 0]);
    assert_eq!(
        broken(&overload([40, 10, 10, 10])),
        [""; 0],
        "exactly three quarters as often"
    );
    assert_eq!(broken(&overload([40, 10, 10, 9])), [STARVED]);
    assert_eq!(
        broken(&overload([10, 3, 3, 3])),
        [""; 0],
        "the overloading one is served less"
    );
}

/// Guards against one organisation that is starved while the others make up for it.
#[test]
fn one_starved_organisation_is_found() {
    assert_eq!(broken(&overload([60, 20, 20, 9])), [STARVED]);
    assert_eq!(
        broken(&overload([60, 20, 20, 10])),
        [""; 0],
        "as few as may fail by chance"
    );
}

#[test]
fn organisations_are_compared_during_the_overload_and_at_entries_that_run() {
    let mut book = overload([60, 0, 0, 0]);
    assert_eq!(broken(&book).len(), 4, "each alone, and all together");
    book.overloads[0].from = at(6_000);
    assert_eq!(broken(&book), [""; 0]);
    let mut book = overload([60, 0, 0, 0]);
    book.disruptions = vec![frozen(1_500, 7_000)];
    assert_eq!(broken(&book), [""; 0]);
}

#[test]
fn a_caller_that_is_served_when_it_returns_counts_as_served() {
    let mut book = overload([40, 10, 10, 9]);
    push(&mut book, ("again", "t3-19"), 3, 3_500, 200, None);
    assert_eq!(broken(&book), [""; 0]);
    let summary = Summary {
        attempts: 121,
        returns: 1,
        served: 70,
        refused: 51,
    };
    assert_eq!(Summary::of(&book), summary);
}

/// Guards against callers that are told to return when too little time is left to serve them.
#[test]
fn a_time_to_return_that_is_too_long_is_found() {
    assert_eq!(broken(&refusal(667)), [""; 0]);
    assert_eq!(broken(&refusal(670)), [TOO_LONG]);
    let mut book = refusal(670);
    book.exchanges[0].outcome = Outcome::Answered(200);
    assert_eq!(broken(&book), [""; 0], "no refusal");
}

/// Guards against a refusal after a wait whose time to return is taken from what the caller had left before the wait.
#[test]
fn a_time_to_return_is_compared_with_what_is_left_when_it_comes() {
    let mut book = refusal(667);
    book.exchanges[0].ended = at(2_500);
    assert_eq!(broken(&book), [TOO_LONG]);
    book.disruptions = vec![frozen(1_200, 2_000)];
    assert_eq!(broken(&book), [""; 0]);
}

/// Guards against a refusal that says that a stream did not run although an engine had begun it.
#[test]
fn a_refused_stream_that_ran_is_found() {
    let mut book = refusal(500);
    let found = |book: &Book| -> Vec<&'static str> {
        let found = promise::check(&Ledger::default(), book, &[]);
        found.into_iter().map(|broken| broken.promise).collect()
    };
    assert_eq!(found(&book), [""; 0]);
    book.arrivals.push(Arrival {
        id: "a".into(),
        endpoint: "engines-1".into(),
        service: ENGINES,
        organisation: Tenant::Team(1).name().map(Into::into),
        has_key: false,
        ran: true,
        said: Notice::Quiet,
        at: at(1_010),
    });
    assert_eq!(found(&book), ["what was refused did not run"]);
    book.arrivals[0].ran = false;
    assert_eq!(found(&book), [""; 0]);
}

#[test]
fn an_engine_states_its_pace_and_reads_what_is_wanted() {
    let engine = Engine::new(50);
    assert_eq!(engine.load(3), "3,0,64,50");
    engine.set_slow(true);
    assert_eq!(engine.load(70), "64,6,64,125");
    assert_eq!(engine.time(at(8)), at(10));
    assert!(engine.read(400, || true, || ()));
    assert!(!engine.read(400, || false, || ()));
    assert!(engine.read(400, || true, || ()), "the turn passes on");
}
