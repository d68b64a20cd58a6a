//! The promise of endpoints that pause is found broken in a book that breaks it, and in no other.

use core::time::Duration;

use bergamotshift_soak::endpoint::Notice;
use bergamotshift_soak::ledger::Arrival;
use bergamotshift_soak::ledger::Attempt;
use bergamotshift_soak::ledger::Book;
use bergamotshift_soak::ledger::Disruption;
use bergamotshift_soak::ledger::Exchange;
use bergamotshift_soak::ledger::Outcome;
use bergamotshift_soak::ledger::Place;
use bergamotshift_soak::pause;
use bergamotshift_soak::pause::PAUSED;
use bergamotshift_soak::site::Kind;
use bergamotshift_soak::site::Tenant;

const CUTS: &str = "a pause alone cuts no answer";
const LATE: &str = "a request whose endpoint pauses ends by its time limit";

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn harm(place: Place, what: &'static str, from: u64, until: u64) -> Disruption {
    Disruption {
        place,
        what,
        is_planned: false,
        from: at(from),
        until: Some(at(until)),
    }
}

/// Returns a book of a schedule that is sent at 10 s, runs at the first of four endpoints, which pauses from 11 to 13 s, and
/// ends so many milliseconds later.
fn book(lasted: u64, outcome: Outcome) -> Book {
    Book {
        exchanges: vec![Exchange {
            id: "a".into(),
            entry: 0,
            life: 1,
            kind: Kind::Schedule,
            tenant: Tenant::Free,
            is_first: true,
            sent: at(10_000),
            ended: at(10_000 + lasted),
            outcome,
        }],
        arrivals: vec![Arrival {
            id: "a".into(),
            endpoint: "alpha-1".into(),
            service: "alpha",
            organisation: Tenant::Free.name().map(Into::into),
            has_key: false,
            ran: true,
            said: Notice::Quiet,
            at: at(10_005),
        }],
        places: [("alpha-1".into(), 0), ("alpha-2".into(), 3)].into(),
        disruptions: vec![harm(Place::Endpoint(0), PAUSED, 11_000, 13_000)],
        ..Book::default()
    }
}

fn broken(book: &Book) -> Vec<&'static str> {
    pause::check(book).into_iter().map(|broken| broken.promise).collect()
}

#[test]
fn an_answer_cut_in_a_pause_is_found() {
    assert_eq!(broken(&book(3_000, Outcome::Cut)), [CUTS]);
    assert_eq!(broken(&book(3_000, Outcome::Answered(502))), [CUTS]);
    assert_eq!(broken(&book(5_999, Outcome::Cut)), [CUTS]);
    assert_eq!(broken(&book(6_000, Outcome::Cut)), [""; 0], "at the time limit");
    assert_eq!(broken(&book(4_500, Outcome::Answered(200))), [""; 0]);
}

#[test]
fn an_answer_that_outlasts_its_time_limit_in_a_pause_is_found() {
    assert_eq!(broken(&book(7_001, Outcome::Silent)), [LATE]);
    assert_eq!(broken(&book(7_001, Outcome::Answered(200))), [LATE]);
    assert_eq!(broken(&book(6_900, Outcome::Answered(504))), [""; 0]);
}

#[test]
fn a_request_that_ran_nowhere_may_have_gone_to_any_endpoint() {
    let mut book = book(3_000, Outcome::Cut);
    book.arrivals.clear();
    assert_eq!(broken(&book), [CUTS]);
    book.disruptions.push(harm(Place::Endpoint(3), "crash", 9_000, 9_000));
    assert_eq!(broken(&book), [""; 0]);
}

#[test]
fn a_cut_is_excused_by_what_else_harmed_its_endpoint_or_its_entry() {
    let cases = [
        (harm(Place::Endpoint(0), "crash", 12_000, 12_000), true),
        (harm(Place::Endpoint(0), "link", 9_000, 9_500), true),
        (harm(Place::Endpoint(3), "crash", 12_000, 12_000), false),
        (harm(Place::Entry(0), "killed", 12_900, 14_000), true),
        (harm(Place::Entry(0), "reload", 12_000, 12_000), false),
        (harm(Place::Entry(1), "killed", 12_900, 14_000), false),
        (harm(Place::Store, "spell", 10_000, 13_000), false),
    ];
    for (harm, excuses) in cases {
        let mut book = book(3_000, Outcome::Cut);
        book.disruptions.push(harm.clone());
        assert_eq!(broken(&book).is_empty(), excuses, "{harm:?}");
    }
}

#[test]
fn a_cut_without_a_pause_is_another_promise() {
    let mut book = book(3_000, Outcome::Cut);
    book.disruptions.clear();
    assert_eq!(broken(&book), [""; 0]);
}

/// Guards against a limit that is taken for the kind's, although a caller that returns has less time left.
#[test]
fn the_time_that_a_returning_caller_has_left_is_its_limit() {
    let mut book = book(3_000, Outcome::Cut);
    let attempt = |left| Attempt {
        id: "a".into(),
        request: "b".into(),
        left: at(left),
        retry_after: None,
    };
    book.attempts = vec![attempt(3_001)];
    assert_eq!(broken(&book), [CUTS]);
    book.attempts = vec![attempt(3_000)];
    assert_eq!(broken(&book), [""; 0]);
    book.attempts = vec![attempt(1_999)];
    assert_eq!(broken(&book), [LATE]);
}
