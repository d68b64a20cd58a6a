//! Each promise to an endpoint that says something of itself is found broken in a book that breaks it, and in no other.

use core::time::Duration;

use bergamotshift_soak::endpoint::Notice;
use bergamotshift_soak::ledger::Arrival;
use bergamotshift_soak::ledger::Book;
use bergamotshift_soak::ledger::Exchange;
use bergamotshift_soak::ledger::Outcome;
use bergamotshift_soak::ledger::Saying;
use bergamotshift_soak::notice;
use bergamotshift_soak::site::Kind;
use bergamotshift_soak::site::Tenant;

const PAUSE: Notice = Notice::Pause(Duration::from_secs(3));

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Notes a request that reached the endpoint over an entry in one of its lives.
fn ask(book: &mut Book, life: u32, millis: u64, said: Notice) {
    let id = format!("r-{}", book.exchanges.len());
    let is_refused = matches!(said, Notice::Pause(_));
    book.exchanges.push(Exchange {
        id: id.as_str().into(),
        entry: 0,
        life,
        kind: Kind::Checkin,
        tenant: Tenant::Free,
        is_first: false,
        sent: at(millis),
        ended: at(millis + 20),
        outcome: Outcome::Answered(if is_refused { 503 } else { 200 }),
    });
    book.arrivals.push(Arrival {
        id: id.as_str().into(),
        endpoint: "alpha-1".into(),
        service: "alpha",
        organisation: None,
        has_key: false,
        ran: !is_refused,
        said,
        at: at(millis + 5),
    });
}

fn book(asks: &[(u32, u64, Notice)]) -> Book {
    let mut book = Book::default();
    for (life, millis, said) in asks {
        ask(&mut book, *life, *millis, *said);
    }
    book
}

#[test]
fn a_request_after_an_answer_that_says_leaving_is_found() {
    let leaves = Notice::Leaves;
    assert_eq!(notice::check(&book(&[(1, 100, leaves), (1, 2_200, leaves)])).len(), 1);
    assert_eq!(notice::check(&book(&[(1, 100, leaves), (1, 2_000, leaves)])), []);
    assert_eq!(notice::check(&book(&[(1, 100, leaves), (2, 9_000, leaves)])), []);
}

#[test]
fn requests_in_the_time_for_which_nothing_is_wanted_are_found() {
    let quiet = Notice::Quiet;
    let three = [(1, 100, PAUSE), (1, 900, quiet), (1, 1_200, quiet), (1, 2_900, quiet)];
    assert_eq!(notice::check(&book(&three)).len(), 1);
    assert_eq!(notice::check(&book(&three[..3])), []);
    let later = [(1, 100, PAUSE), (1, 900, quiet), (1, 1_200, quiet), (1, 3_200, quiet)];
    assert_eq!(notice::check(&book(&later)), []);
    let restarted = [(1, 100, PAUSE), (2, 900, quiet), (2, 1_200, quiet), (2, 2_900, quiet)];
    assert_eq!(notice::check(&book(&restarted)), []);
}

#[test]
fn more_requests_than_the_rate_are_found() {
    let rate = Notice::Rate(60);
    let saying = Saying {
        endpoint: "alpha-1".into(),
        notice: rate,
        from: at(0),
        until: None,
    };
    let asked = |gap: u64| {
        let asks: Vec<_> = (0..40).map(|number| (1, 100 + number * gap, rate)).collect();
        let mut book = book(&asks);
        book.sayings.push(saying.clone());
        notice::check(&book).len()
    };
    assert_eq!(asked(300), 1, "13 or more in four seconds");
    assert_eq!(asked(400), 0, "10 in four seconds");
}

#[test]
fn more_rejections_than_endpoints_tolerate_are_found() {
    let tolerates = Notice::Tolerates(4);
    let rejected = |bursts: u64, size: u64, begins: u64| {
        let mut book = Book::default();
        for number in 0..bursts * size {
            let millis = begins + number / size * 1_500 + number % size * 10;
            ask(&mut book, 1, millis, tolerates);
            book.arrivals.last_mut().expect("it was noted").ran = false;
        }
        for endpoint in ["alpha-1", "alpha-2"] {
            book.sayings.push(Saying {
                endpoint: endpoint.into(),
                notice: tolerates,
                from: at(0),
                until: None,
            });
        }
        notice::check(&book).len()
    };
    assert_eq!(rejected(3, 5, 3_100), 1, "more than tolerated, three times");
    assert_eq!(rejected(2, 5, 3_100), 0, "as often as is allowed");
    assert_eq!(rejected(9, 4, 3_100), 0, "as many as are tolerated");
    assert_eq!(rejected(2, 9, 0), 0, "before all entries know");
}
