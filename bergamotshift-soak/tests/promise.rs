//! Each promise is found broken in a book that breaks it, and in no other.

use core::time::Duration;
use std::collections::BTreeMap;
use std::time::Instant;

use bergamotshift_metadata_standin::Report;
use bergamotshift_soak::endpoint::Notice;
use bergamotshift_soak::ledger::Arrival;
use bergamotshift_soak::ledger::Book;
use bergamotshift_soak::ledger::Disruption;
use bergamotshift_soak::ledger::Exchange;
use bergamotshift_soak::ledger::Leave;
use bergamotshift_soak::ledger::Ledger;
use bergamotshift_soak::ledger::Outcome;
use bergamotshift_soak::ledger::Place;
use bergamotshift_soak::ledger::Version;
use bergamotshift_soak::promise;
use bergamotshift_soak::site::Kind;
use bergamotshift_soak::site::Tenant;

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn exchange(id: &str, kind: Kind, sent: u64, outcome: Outcome) -> Exchange {
    Exchange {
        id: id.into(),
        entry: 0,
        life: 1,
        kind,
        tenant: Tenant::Free,
        is_first: false,
        sent: at(sent),
        ended: at(sent + 20),
        outcome,
    }
}

fn arrival(id: &str, endpoint: &str, service: &'static str, millis: u64) -> Arrival {
    Arrival {
        id: id.into(),
        endpoint: endpoint.into(),
        service,
        organisation: Tenant::Free.name().map(Into::into),
        has_key: false,
        ran: true,
        said: Notice::Quiet,
        at: at(millis),
    }
}

fn version(service: &'static str, millis: u64) -> Version {
    Version {
        service,
        sent: at(millis),
        acknowledged: at(millis),
    }
}

fn disruption(place: Place, what: &'static str, is_planned: bool, from: u64, until: u64) -> Disruption {
    Disruption {
        place,
        what,
        is_planned,
        from: at(from),
        until: Some(at(until)),
    }
}

/// A book in which one checkin is served.
fn book() -> Book {
    Book {
        arrivals: vec![arrival("a", "alpha-1", "alpha", 10_005)],
        exchanges: vec![exchange("a", Kind::Checkin, 10_000, Outcome::Answered(200))],
        versions: vec![version("beta", 0)],
        ..Book::default()
    }
}

/// Returns the promises that a book breaks whose fleet reports usage as it should.
fn broken(book: &Book) -> Vec<&'static str> {
    let start = Instant::now();
    let reports: Vec<Report> = (0..20)
        .map(|window| Report {
            holder: "entry-0".into(),
            number: 1,
            window,
            counts: BTreeMap::new(),
            at: start + Duration::from_secs(5 * window),
        })
        .collect();
    broken_with(book, &reports)
}

fn broken_with(book: &Book, reports: &[Report]) -> Vec<&'static str> {
    let found = promise::check(&Ledger::default(), book, reports);
    found.into_iter().map(|broken| broken.promise).collect()
}

#[test]
fn a_book_in_which_all_is_well_breaks_nothing() {
    assert_eq!(broken(&book()), [""; 0]);
}

#[test]
fn another_callers_answer_is_found() {
    let mut book = book();
    book.exchanges[0].outcome = Outcome::Wrong("it belongs to another request".to_owned());
    assert_eq!(broken(&book), ["an answer is whole and its caller's own"]);
}

#[test]
fn a_second_run_of_what_runs_once_is_found() {
    let mut book = book();
    book.exchanges[0].kind = Kind::Confirm;
    assert_eq!(broken(&book), [""; 0]);
    book.arrivals.push(arrival("a", "alpha-2", "alpha", 10_008));
    assert_eq!(broken(&book), ["what must not be repeated runs once"]);
}

#[test]
fn a_refusal_of_what_ran_is_found() {
    let mut book = book();
    book.exchanges[0].kind = Kind::Confirm;
    book.exchanges[0].outcome = Outcome::Answered(503);
    assert_eq!(broken(&book), ["what was refused did not run"]);
}

#[test]
fn a_denial_of_what_is_allowed_is_found_in_trouble_too() {
    let mut book = book();
    book.arrivals.clear();
    book.exchanges[0].outcome = Outcome::Answered(401);
    book.disruptions = vec![disruption(Place::Entry(0), "killed", false, 9_000, 9_900)];
    assert_eq!(broken(&book), ["what every document allows is not denied"]);
}

#[test]
fn an_answer_to_an_unknown_key_is_found() {
    let mut book = book();
    book.exchanges[0].tenant = Tenant::Stranger;
    book.arrivals[0].organisation = None;
    assert_eq!(broken(&book), ["an unknown key gets nothing"]);
}

#[test]
fn a_wrong_organisation_and_a_key_passed_on_are_found() {
    let mut first = book();
    first.arrivals[0].organisation = Tenant::Limited.name().map(Into::into);
    let mut second = book();
    second.arrivals[0].has_key = true;
    for book in [first, second] {
        assert_eq!(broken(&book), ["endpoints are told the organisation and no key"]);
    }
}

#[test]
fn a_run_that_nobody_asked_for_is_found() {
    let mut book = book();
    book.arrivals.push(arrival("b", "alpha-1", "alpha", 10_006));
    assert_eq!(broken(&book), ["nothing runs that nobody sent"]);
}

#[test]
fn a_refusal_counts_in_calm_times_alone() {
    let mut book = book();
    book.exchanges[0].outcome = Outcome::Answered(503);
    assert_eq!(broken(&book), ["in calm times requests are served"]);
    book.disruptions = vec![disruption(Place::Store, "spell", false, 6_500, 7_000)];
    assert_eq!(broken(&book), [""; 0]);
}

#[test]
fn a_cut_counts_beside_planned_work_alone() {
    let mut book = book();
    book.exchanges[0].outcome = Outcome::Cut;
    book.disruptions = vec![disruption(Place::Entry(0), "stop", true, 9_000, 11_000)];
    assert_eq!(broken(&book), ["planned work cuts no request"]);
    book.disruptions
        .push(disruption(Place::Endpoint(1), "crash", false, 9_000, 9_000));
    assert_eq!(broken(&book), [""; 0]);
}

#[test]
fn a_cut_of_what_was_not_read_counts_only_after_a_while() {
    let mut book = book();
    book.arrivals.clear();
    book.exchanges[0].outcome = Outcome::Cut;
    book.disruptions = vec![disruption(Place::Entry(0), "stop", true, 9_000, 11_000)];
    assert_eq!(broken(&book), [""; 0]);
    book.exchanges[0].ended = at(10_300);
    assert_eq!(broken(&book), ["planned work cuts no request"]);
}

#[test]
fn a_limit_that_is_exceeded_within_one_window_is_found() {
    let mut book = book();
    let most = 280;
    for number in 0..=most {
        let id = format!("l{number}");
        let sent = 20_000 + number * 25;
        let mut exchange = exchange(&id, Kind::Checkin, sent, Outcome::Answered(200));
        exchange.tenant = Tenant::Limited;
        book.exchanges.push(exchange);
        let mut arrival = arrival(&id, "alpha-1", "alpha", sent);
        arrival.organisation = Tenant::Limited.name().map(Into::into);
        book.arrivals.push(arrival);
    }
    assert_eq!(broken(&book), ["an organisation stays within its limit"]);
    book.arrivals.pop();
    assert_eq!(broken(&book), [""; 0]);
}

#[test]
fn too_many_repeated_sends_are_found() {
    let mut book = book();
    for number in 0..=30 {
        let mut arrival = arrival("a", "alpha-1", "alpha", 10_006 + number);
        arrival.ran = false;
        book.arrivals.push(arrival);
    }
    assert_eq!(broken(&book), ["repeated sends stay within their budget"]);
    book.arrivals.pop();
    assert_eq!(broken(&book), [""; 0]);
}

#[test]
fn a_request_at_an_endpoint_that_has_left_is_found() {
    let mut book = book();
    book.leaves = vec![Leave {
        endpoint: "alpha-1".into(),
        acknowledged: at(8_500),
    }];
    assert_eq!(broken(&book), [""; 0]);
    book.leaves[0].acknowledged = at(8_000);
    assert_eq!(broken(&book), ["an endpoint that leaves gets no more requests"]);
    book.disruptions = vec![disruption(Place::Entry(1), "link", false, 7_000, 7_500)];
    assert_eq!(broken(&book), [""; 0]);
}

#[test]
fn an_old_document_is_found_when_its_time_is_over() {
    let mut book = book();
    book.exchanges[0].kind = Kind::Moving;
    book.arrivals[0].service = "beta";
    book.versions = vec![version("beta", 0), version("gamma", 8_500)];
    assert_eq!(broken(&book), [""; 0]);
    book.versions[1] = version("gamma", 7_900);
    assert_eq!(broken(&book), ["a new document is in force in time"]);
}

#[test]
fn an_entry_that_goes_back_is_found_in_trouble_too() {
    let mut book = book();
    book.versions = vec![version("beta", 0), version("gamma", 9_000)];
    book.exchanges = vec![
        exchange("a", Kind::Moving, 10_000, Outcome::Answered(200)),
        exchange("b", Kind::Moving, 10_500, Outcome::Answered(200)),
    ];
    book.arrivals = vec![
        arrival("a", "gamma-1", "gamma", 10_005),
        arrival("b", "beta-1", "beta", 10_505),
    ];
    book.disruptions = vec![disruption(Place::Store, "spell", false, 9_000, 12_000)];
    assert_eq!(broken(&book), ["no entry goes back to an older document"]);
    // Another start of the entry knows nothing of the one before.
    book.exchanges[1].life = 2;
    assert_eq!(broken(&book), [""; 0]);
}

#[test]
fn two_counts_of_a_window_and_numbers_that_fall_are_found() {
    let report = |holder: &str, number, window, count| Report {
        holder: holder.into(),
        number,
        window,
        counts: BTreeMap::from([("horeca".to_owned(), count)]),
        at: Instant::now(),
    };
    let cases: [(&[Report], &[&str]); 5] = [
        (&[report("entry-0", 1, 7, 3), report("entry-1", 2, 8, 3)], &[]),
        (&[report("entry-0", 1, 7, 3), report("entry-1", 2, 7, 3)], &[]),
        (
            &[report("entry-0", 1, 7, 3), report("entry-1", 2, 7, 4)],
            &["a window is reported once"],
        ),
        (
            &[report("entry-0", 1, 7, 3), report("entry-1", 1, 8, 3)],
            &["a fencing number is one holder's"],
        ),
        (
            &[report("entry-1", 2, 7, 3), report("entry-0", 1, 8, 3)],
            &["fencing numbers grow"],
        ),
    ];
    for (reports, expected) in cases {
        assert_eq!(broken_with(&book(), reports), expected, "{reports:?}");
    }
}

/// Nobody reports usage for twenty seconds. That is found, unless the store was away for most of them.
#[test]
fn a_time_without_reports_is_found() {
    let mut book = book();
    book.exchanges[0].ended = at(20_000);
    assert_eq!(
        broken_with(&book, &[]),
        ["usage is reported while the store is in order"]
    );
    book.disruptions
        .push(disruption(Place::Store, "refuses", false, 2_000, 9_000));
    assert_eq!(broken_with(&book, &[]), [""; 0]);
}

/// Guards against a gap that is excused although an entry could have reported, and one that counts while none ran.
#[test]
fn a_time_in_which_no_entry_runs_is_no_time_without_reports() {
    let mut book = book();
    book.exchanges[0].ended = at(20_000);
    book.exchanges.push(Exchange {
        entry: 1,
        ..exchange("b", Kind::Checkin, 10_000, Outcome::Answered(200))
    });
    let killed = |entry| disruption(Place::Entry(entry), "killed", false, 2_000, 9_000);
    book.disruptions.push(killed(0));
    let gap = "usage is reported while the store is in order";
    assert_eq!(broken_with(&book, &[]), [gap]);
    book.disruptions.push(killed(1));
    assert_eq!(broken_with(&book, &[]), [""; 0]);
}

#[test]
fn a_daemon_that_ends_by_itself_is_found() {
    let mut book = book();
    book.faults.push("entry 0 ended".to_owned());
    assert_eq!(broken(&book), ["a daemon ends when it is asked to, and only then"]);
}

/// A book in which a request of a kind crashes an endpoint at each of these times, in milliseconds.
fn crashes_of(kind: Kind, times: &[u64]) -> Book {
    let mut crashing = book();
    for (number, millis) in times.iter().enumerate() {
        let id = format!("crash-{number}");
        crashing.exchanges.push(exchange(&id, kind, *millis, Outcome::Cut));
        crashing
            .arrivals
            .push(arrival(&id, &format!("alpha-{number}"), "alpha", *millis + 5));
    }
    crashing
}

fn crashes(times: &[u64]) -> Book {
    crashes_of(Kind::Crash, times)
}

#[test]
fn a_crashing_part_that_goes_on_is_found() {
    let found = |times: &[u64]| !bergamotshift_soak::crash::check(&crashes_of(Kind::Part, times)).is_empty();
    let mut times = vec![1_000, 1_100, 1_200, 1_300, 2_000, 6_500, 7_000, 8_000];
    assert!(!found(&times));
    times.push(9_000);
    assert!(found(&times));
}

#[test]
fn a_crashing_request_that_goes_on_is_found() {
    let found = |book: &Book| !bergamotshift_soak::crash::check(book).is_empty();
    let mut times = vec![1_000, 1_100, 1_200, 1_300, 2_000, 3_000];
    assert!(!found(&crashes(&times)), "entries may not know of it yet");
    times.extend([6_000, 7_000, 8_000]);
    assert!(!found(&crashes(&times)));
    times.push(9_000);
    assert!(found(&crashes(&times)));
}

#[test]
fn a_crashing_request_is_excused_by_the_end_of_all_who_knew_it() {
    let mut book = crashes(&[1_000, 1_100, 1_200, 20_000, 20_100, 20_200, 20_300]);
    assert!(!bergamotshift_soak::crash::check(&book).is_empty());
    book.disruptions
        .push(disruption(Place::Entry(0), "killed", false, 10_000, 11_000));
    assert_eq!(bergamotshift_soak::crash::check(&book), []);
}
