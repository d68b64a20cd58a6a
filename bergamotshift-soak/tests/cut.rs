//! The promise of entries that are cut off is found broken in a book that breaks it, and in no other.

use core::time::Duration;

use bergamotshift_soak::cut;
use bergamotshift_soak::cut::CUT_OFF;
use bergamotshift_soak::ledger::Book;
use bergamotshift_soak::ledger::Disruption;
use bergamotshift_soak::ledger::Exchange;
use bergamotshift_soak::ledger::Outcome;
use bergamotshift_soak::ledger::Place;
use bergamotshift_soak::site::Kind;
use bergamotshift_soak::site::Tenant;

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn harm(what: &'static str, from: Duration, until: Duration) -> Disruption {
    Disruption {
        place: Place::Entry(0),
        what,
        is_planned: false,
        from,
        until: Some(until),
    }
}

/// Returns a book of two entries, of which the first is cut off from all endpoints until 9 s; from `begins` on, it serves so
/// many of its callers and fails the others.
fn book(begins: u64, served: usize, failed: usize) -> Book {
    let mut book = Book::default();
    let outcomes = (0..served + failed).map(|number| if number < served { 200 } else { 503 });
    for (number, status) in outcomes.enumerate() {
        for (entry, status) in [(0, status), (1, 200)] {
            let sent = at(begins + number as u64 * 10);
            book.exchanges.push(Exchange {
                id: format!("r-{entry}-{number}").into(),
                entry,
                life: 1,
                kind: Kind::Checkin,
                tenant: Tenant::Free,
                is_first: false,
                sent,
                ended: sent + at(5),
                outcome: Outcome::Answered(status),
            });
        }
    }
    book.disruptions.push(harm(CUT_OFF, at(0), at(9_000)));
    book
}

#[test]
fn callers_of_an_entry_that_is_cut_off_are_served() {
    assert_eq!(cut::check(&book(3_500, 20, 80)).len(), 1);
    assert_eq!(cut::check(&book(3_500, 80, 20)), [], "nearly as often as the others");
    assert_eq!(cut::check(&book(3_500, 0, 10)), [], "as few as may fail");
    assert_eq!(cut::check(&book(0, 20, 80)), [], "before it can know");
}

#[test]
fn an_entry_that_did_not_run_all_the_while_is_excused() {
    let mut book = book(3_500, 0, 100);
    book.disruptions.push(harm("frozen", at(3_000), at(6_000)));
    assert_eq!(cut::check(&book), []);
}
