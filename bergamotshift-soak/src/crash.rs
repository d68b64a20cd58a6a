//! What is promised of requests that crash endpoints, checked against what was seen.

use core::time::Duration;
use std::collections::BTreeSet;

use smol_str::SmolStr;

use crate::ledger::Arrival;
use crate::ledger::Book;
use crate::ledger::Disruption;
use crate::ledger::Place;
use crate::promise::Broken;
use crate::site::Kind;

/// How long after the last crash that is allowed all entries know of it.
const KNOWN: Duration = Duration::from_secs(4);

/// How often the request may go on after that.
const MOST: usize = 3;

/// Returns the promises that were broken.
pub fn check(book: &Book) -> Vec<Broken> {
    let whole = check_kind(book, Kind::Crash, 3).map(|what| Broken {
        promise: "a request that crashed three endpoints goes on at most three times",
        what,
    });
    let part = check_kind(book, Kind::Part, 5).map(|what| Broken {
        promise: "requests with a part that crashed five endpoints go on at most three times",
        what,
    });
    whole.into_iter().chain(part).collect()
}

/// Returns how often requests of a kind went on too long after so many crashes, if that was too often.
fn check_kind(book: &Book, kind: Kind, crashes: usize) -> Option<String> {
    let crashing = book.exchanges.iter().filter(|one| one.kind == kind);
    let ids: BTreeSet<&SmolStr> = crashing.map(|one| &one.id).collect();
    let arrivals: Vec<&Arrival> = book
        .arrivals
        .iter()
        .filter(|one| one.ran && ids.contains(&one.id))
        .collect();
    let forgotten = times_when_nobody_knew(book);
    let mut from = Duration::ZERO;
    for until in forgotten.into_iter().chain([Duration::MAX]) {
        let times = arrivals
            .iter()
            .map(|one| one.at)
            .filter(|at| (from..until).contains(at));
        let mut times: Vec<Duration> = times.collect();
        times.sort_unstable();
        let late = |last: &Duration| {
            times
                .iter()
                .filter(|at| **at > *last + KNOWN && is_calm(book, **at))
                .count()
        };
        let late = times.get(crashes - 1).map_or(0, late);
        if late > MOST {
            return Some(format!("{late} times since {from:?}: {times:?}"));
        }
        from = until;
    }
    None
}

/// Returns whether no entry started, ended or stood still for a while.
fn is_calm(book: &Book, at: Duration) -> bool {
    let forgets = |disruption: &Disruption| matches!(disruption.what, "killed" | "stop" | "start" | "frozen");
    book.is_calm(at.saturating_sub(KNOWN), at, forgets)
}

/// Returns when the last entry that knew of crashes was killed or stopped: no other one ran then, and none that starts
/// later knows of them.
fn times_when_nobody_knew(book: &Book) -> Vec<Duration> {
    let is_end = |disruption: &&Disruption| matches!(disruption.what, "killed" | "stop");
    let ends: Vec<&Disruption> = book.disruptions.iter().filter(is_end).collect();
    let entries: BTreeSet<usize> = book.exchanges.iter().map(|exchange| exchange.entry).collect();
    let is_down = |entry: &usize, at: Duration| {
        ends.iter()
            .any(|end| end.place == Place::Entry(*entry) && end.from <= at && end.until.is_none_or(|until| until >= at))
    };
    let starts = ends.iter().map(|end| end.from);
    starts
        .filter(|at| entries.iter().all(|entry| is_down(entry, *at)))
        .collect()
}
