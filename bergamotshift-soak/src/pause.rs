//! What is promised to callers whose endpoints pause, checked against what was seen.

use core::time::Duration;
use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::caller::BEYOND;
use crate::cut::CUT_OFF;
use crate::ledger::Book;
use crate::ledger::Disruption;
use crate::ledger::Exchange;
use crate::ledger::Outcome;
use crate::ledger::Place;
use crate::promise::Broken;
use crate::promise::UNREAD;
use crate::site::ENGINES;
use crate::site::Kind;
use crate::site::SERVICES;

/// What the soak notes of an endpoint that pauses.
pub const PAUSED: &str = "paused";

/// How long an endpoint that was harmed or leaves may still break a request that is sent later.
const HARMED: Duration = Duration::from_secs(3);

/// Returns the promises that were broken.
pub fn check(book: &Book) -> Vec<Broken> {
    let mut runs: BTreeMap<&SmolStr, Vec<usize>> = BTreeMap::new();
    for arrival in book.arrivals.iter().filter(|arrival| arrival.ran) {
        let place = book.places.get(&arrival.endpoint).copied();
        runs.entry(&arrival.id).or_default().extend(place);
    }
    // A caller that returns has less time left.
    let left: BTreeMap<&SmolStr, Duration> = book.attempts.iter().map(|one| (&one.id, one.left)).collect();
    let asked = book.exchanges.iter().filter(|exchange| !exchange.kind.is_crashing());
    let broken = asked.filter_map(|exchange| {
        let limit = left.get(&exchange.id).copied().unwrap_or(exchange.kind.patience());
        let lasted = exchange.ended.saturating_sub(exchange.sent);
        let promise = match exchange.outcome {
            Outcome::Cut | Outcome::Answered(502) if lasted < limit => "a pause alone cuts no answer",
            _ if lasted > limit + BEYOND => "a request whose endpoint pauses ends by its time limit",
            _ => return None,
        };
        let ran = runs.get(&exchange.id);
        // A request that was not passed on may be cut at once.
        if ran.is_none() && lasted <= UNREAD {
            return None;
        }
        let places = ran.cloned().unwrap_or_else(|| places(book, exchange.kind));
        is_pause_alone(book, exchange, &places).then(|| Broken {
            promise,
            what: format!("{exchange:?}, endpoints {places:?}, lasted {lasted:?}"),
        })
    });
    broken.collect()
}

/// Returns the places of all endpoints that may get requests of a kind.
fn places(book: &Book, kind: Kind) -> Vec<usize> {
    let services: &[&str] = match kind {
        Kind::Moving => &SERVICES,
        Kind::Generate => &[ENGINES],
        _ => &SERVICES[..1],
    };
    let serves = |id: &str| id.split('-').next().is_some_and(|service| services.contains(&service));
    let own = book.places.iter().filter(|(id, _)| serves(id));
    own.map(|(_, place)| *place).collect()
}

/// Returns whether one of an exchange's endpoints paused, and neither they nor its entry were harmed in another way.
fn is_pause_alone(book: &Book, exchange: &Exchange, places: &[usize]) -> bool {
    let Exchange { entry, sent, ended, .. } = *exchange;
    let is_own =
        |disruption: &Disruption| matches!(disruption.place, Place::Endpoint(place) if places.contains(&place));
    let pauses = |disruption: &Disruption| is_own(disruption) && disruption.what == PAUSED;
    let harms = |disruption: &Disruption| is_own(disruption) && disruption.what != PAUSED;
    let ends = |disruption: &Disruption| {
        disruption.place == Place::Entry(entry) && matches!(disruption.what, "killed" | "stop" | "frozen" | CUT_OFF)
    };
    !book.is_calm(sent, ended, pauses)
        && book.is_calm(sent.saturating_sub(HARMED), ended, harms)
        && book.is_calm(sent, ended, ends)
}
