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

/// How long after the third crash all entries know of it.
const KNOWN: Duration = Duration::from_secs(4);

/// How often the request may go on after that.
const MOST: usize = 3;

/// Returns the promise that was broken, if it was.
pub fn check(book: &Book) -> Option<Broken> {
    let crashing = book.exchanges.iter().filter(|one| one.kind == Kind::Crash);
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
        let late = |third: &Duration| {
            times
                .iter()
                .filter(|at| **at > *third + KNOWN && is_calm(book, **at))
                .count()
        };
        let late = times.get(2).map_or(0, late);
        if late > MOST {
            return Some(Broken {
                promise: "a request that crashed three endpoints goes on at most three times",
                what: format!("{late} times since {from:?}: {times:?}"),
            });
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
