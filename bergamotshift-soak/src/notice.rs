//! What is promised to endpoints that say something of themselves, checked against what was seen.

use core::time::Duration;
use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::endpoint::Notice;
use crate::ledger::Arrival;
use crate::ledger::Book;
use crate::ledger::Disruption;
use crate::ledger::Exchange;
use crate::ledger::Outcome;
use crate::ledger::Place;
use crate::ledger::Saying;
use crate::promise::Broken;
use crate::promise::most_within;

/// How often endpoints may reject more than they tolerate in one time in which their service announces that: for each of
/// them, and beyond that.
const FALLS: (f64, f64) = (0.1, 2.0);

/// The time within which all endpoints of a service begin to announce the same.
const SAME_STEP: Duration = Duration::from_millis(500);

/// The span in which an endpoint's rejections are counted.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);

/// How long after an entry has passed on an answer that says that its endpoint leaves a request may still be sent there.
const DRAINED: Duration = Duration::from_secs(2);

/// How long after an endpoint began to name a rate that holds.
const SETTLED: Duration = Duration::from_secs(3);

/// How long after an entry has passed on an answer its requests count.
const TOLD: Duration = Duration::from_millis(500);

/// The window in which an endpoint's requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The share of the rate that a window may hold, and the requests beyond that.
const MOST: (f64, f64) = (1.5, 5.0);

/// The requests that may reach an endpoint while it wants nothing.
const STRAYS: usize = 2;

/// How long after a freeze an entry is excused.
const THAWED: Duration = Duration::from_secs(4);

/// One start of an entry.
type Life = (usize, u32);

/// A request at an endpoint, with the exchange that it was for.
struct Sight<'a> {
    arrival: &'a Arrival,
    exchange: &'a Exchange,
    /// Whether the request reached no other endpoint, so that what its caller got is this one's answer.
    is_only: bool,
}

impl Sight<'_> {
    const fn life(&self) -> Life {
        (self.exchange.entry, self.exchange.life)
    }
}

/// Returns the promises that were broken.
pub fn check(book: &Book) -> Vec<Broken> {
    let exchanges: BTreeMap<&SmolStr, &Exchange> = book.exchanges.iter().map(|one| (&one.id, one)).collect();
    let mut arrivals: BTreeMap<&SmolStr, usize> = BTreeMap::new();
    for arrival in &book.arrivals {
        *arrivals.entry(&arrival.id).or_default() += 1;
    }
    let sights = book.arrivals.iter().filter_map(|arrival| {
        let exchange = exchanges.get(&arrival.id)?;
        let is_only = arrivals.get(&arrival.id) == Some(&1);
        Some(Sight {
            arrival,
            exchange,
            is_only,
        })
    });
    let mut endpoints: BTreeMap<&SmolStr, Vec<Sight<'_>>> = BTreeMap::new();
    for sight in sights {
        endpoints.entry(&sight.arrival.endpoint).or_default().push(sight);
    }
    let mut broken = Vec::new();
    for sights in endpoints.values() {
        broken.extend(after_leaving(sights));
        broken.extend(while_paused(sights));
    }
    for saying in &book.sayings {
        let sights = endpoints.get(&saying.endpoint).map_or(&[][..], Vec::as_slice);
        broken.extend(beyond_rate(book, saying, sights));
    }
    broken.extend(beyond_tolerance(book));
    broken
}

/// Returns when each life of an entry first passed on an answer of an endpoint that says what `says` looks for.
fn told(sights: &[Sight<'_>], says: impl Fn(Notice) -> bool) -> BTreeMap<Life, Duration> {
    let mut told = BTreeMap::new();
    let passed = sights
        .iter()
        .filter(|sight| sight.is_only && sight.arrival.ran && sight.exchange.outcome == Outcome::Answered(200));
    for sight in passed.filter(|sight| says(sight.arrival.said)) {
        let at = told.entry(sight.life()).or_insert(sight.exchange.ended);
        *at = (*at).min(sight.exchange.ended);
    }
    told
}

fn after_leaving(sights: &[Sight<'_>]) -> Option<Broken> {
    let told = told(sights, |notice| notice == Notice::Leaves);
    let is_late = |sight: &&Sight<'_>| {
        let at = told.get(&sight.life());
        at.is_some_and(|at| sight.exchange.sent > *at + DRAINED)
    };
    let late = sights.iter().find(is_late)?;
    Some(Broken {
        promise: "an endpoint whose answers say that it leaves gets no more requests",
        what: format!("{:?}: {:?}, told {told:?}", late.exchange, late.arrival),
    })
}

fn while_paused(sights: &[Sight<'_>]) -> Option<Broken> {
    sights.iter().find_map(|turned| {
        let Notice::Pause(pause) = turned.arrival.said else {
            return None;
        };
        if turned.arrival.ran || !matches!(turned.exchange.outcome, Outcome::Answered(_)) {
            return None;
        }
        let until = turned.arrival.at + pause;
        let is_stray = |sight: &&Sight<'_>| {
            sight.life() == turned.life()
                && sight.exchange.sent > turned.exchange.ended.max(turned.arrival.at + TOLD)
                && sight.arrival.at < until
        };
        let strays = sights.iter().filter(is_stray).count();
        (strays > STRAYS).then(|| Broken {
            promise: "an endpoint that turned a request away for a time gets none until then",
            what: format!("{strays} after {:?}: {:?}", turned.exchange, turned.arrival),
        })
    })
}

/// Finds times in which the endpoints of a service rejected more requests in a second than they announced to tolerate, more
/// often than is allowed.
fn beyond_tolerance(book: &Book) -> Vec<Broken> {
    let tolerant = book.sayings.iter().filter_map(|saying| match saying.notice {
        Notice::Tolerates(tolerated) => Some((saying, tolerated as usize)),
        _ => None,
    });
    let mut episodes: BTreeMap<&str, Vec<Vec<(&Saying, usize)>>> = BTreeMap::new();
    for (saying, tolerated) in tolerant {
        let service = saying.endpoint.split('-').next().unwrap_or_default();
        let episodes = episodes.entry(service).or_default();
        let last = episodes.last_mut();
        match last.filter(|last| last[0].0.from + SAME_STEP > saying.from) {
            Some(last) => last.push((saying, tolerated)),
            None => episodes.push(vec![(saying, tolerated)]),
        }
    }
    let broken = episodes.into_values().flatten().filter_map(|sayings| {
        let falls = sayings
            .iter()
            .flat_map(|(saying, tolerated)| falls(book, saying, *tolerated));
        let falls: Vec<_> = falls.collect();
        let (share, more) = FALLS;
        let most = sayings.len() as f64 * share + more;
        (falls.len() as f64 > most).then(|| Broken {
            promise: "endpoints reject no more requests than they announce to tolerate",
            what: format!("{} times of {} tolerated: {falls:?}", falls.len(), sayings[0].1),
        })
    });
    broken.collect()
}

/// Returns the seconds in which an endpoint rejected more than it tolerates, none of which overlap.
fn falls(book: &Book, saying: &Saying, tolerated: usize) -> Vec<(SmolStr, Duration)> {
    let span = saying.from + SETTLED..saying.until.unwrap_or(Duration::MAX);
    let rejected = book
        .arrivals
        .iter()
        .filter(|arrival| arrival.endpoint == saying.endpoint && !arrival.ran && span.contains(&arrival.at));
    let mut times: Vec<Duration> = rejected.map(|arrival| arrival.at).collect();
    times.sort_unstable();
    let mut falls = Vec::new();
    let mut from = Duration::ZERO;
    for window in times.windows(tolerated + 1) {
        if window[0] >= from && window[tolerated] < window[0] + REJECTION_WINDOW {
            falls.push((saying.endpoint.clone(), window[0]));
            from = window[0] + REJECTION_WINDOW;
        }
    }
    falls
}

fn beyond_rate(book: &Book, saying: &Saying, sights: &[Sight<'_>]) -> Option<Broken> {
    let Notice::Rate(minute) = saying.notice else {
        return None;
    };
    let told = told(sights, |notice| notice == saying.notice);
    let span = saying.from + SETTLED..saying.until.unwrap_or(Duration::MAX);
    let counts = |sight: &&Sight<'_>| {
        let Exchange { entry, sent, ended, .. } = *sight.exchange;
        let froze = |disruption: &Disruption| disruption.place == Place::Entry(entry) && disruption.what == "frozen";
        told.get(&sight.life()).is_some_and(|at| sent > *at + TOLD)
            && span.contains(&sent)
            && book.is_calm(sent.saturating_sub(THAWED), ended, froze)
    };
    let mut times: Vec<Duration> = sights.iter().filter(counts).map(|sight| sight.exchange.sent).collect();
    times.sort_unstable();
    let (share, more) = MOST;
    let most = f64::from(minute) / 60.0 * WINDOW.as_secs_f64() * share + more;
    let (count, from) = most_within(&times, WINDOW);
    (count as f64 > most).then(|| Broken {
        promise: "the rate that an endpoint names holds over all entries",
        what: format!("{count} requests from {from:?} on, {most} allowed: {saying:?}"),
    })
}
