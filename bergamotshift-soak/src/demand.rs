//! The demand for model engines, and what is promised to its callers, checked against what was seen.

use core::time::Duration;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use smol_str::SmolStr;

use crate::ledger::Attempt;
use crate::ledger::Book;
use crate::ledger::Disruption;
use crate::ledger::Exchange;
use crate::ledger::Outcome;
use crate::ledger::Overload;
use crate::ledger::Place;
use crate::promise::Broken;
use crate::site::Kind;
use crate::site::TEAMS;
use crate::site::Tenant;

/// The callers of an organisation in usual times. All together ask for about 70 % of what the engines can do.
pub const CALLERS: usize = 26;

/// How many times its usual requests an overloading organisation sends.
pub const TIMES: usize = 6;

/// The longest time to return, as a part of the time that the caller has left.
pub const LONGEST: u32 = 3;

/// How often an organisation with normal load is served, as a share of how often the overloading one is.
const SHARE: f64 = 0.75;

/// How many more of a single organisation's requests may fail by chance: it sends about 30 in one overload.
const UNSERVED: f64 = 5.0;

/// How long after an entry started or was harmed its callers are left out.
const SETTLED: Duration = Duration::from_secs(1);

/// How much later than it was decided a caller may get a refusal, on a machine that has other work.
const DELAY: Duration = Duration::from_millis(300);

/// The resolution of a time to return.
const RESOLUTION: Duration = Duration::from_millis(1);

/// Which organisation overloads the model engines at the moment.
#[derive(Debug, Default)]
pub struct Demand(Mutex<Option<usize>>);

impl Demand {
    /// Returns the organisation that overloads them.
    pub fn overload(&self) -> Option<usize> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_overload(&self, team: Option<usize>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = team;
    }
}

/// What became of the attempts at model engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// All attempts.
    pub attempts: usize,
    /// Those of callers that returned.
    pub returns: usize,
    /// Those that got a whole stream.
    pub served: usize,
    /// Those that were refused.
    pub refused: usize,
}

impl Summary {
    /// Counts what a book holds.
    pub fn of(book: &Book) -> Self {
        let asked = book.exchanges.iter().filter(|exchange| exchange.kind == Kind::Generate);
        let count = |wanted: &[u16]| {
            let ended = asked.clone().map(|exchange| &exchange.outcome);
            ended
                .filter(|outcome| matches!(outcome, Outcome::Answered(status) if wanted.contains(status)))
                .count()
        };
        let returns = book.attempts.iter().filter(|attempt| attempt.id != attempt.request);
        Self {
            attempts: book.attempts.len(),
            returns: returns.count(),
            served: count(&[200]),
            refused: count(&[429, 503]),
        }
    }
}

/// What callers got.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: f64,
    served: f64,
}

/// Returns the promises that were broken.
pub fn check(book: &Book) -> Vec<Broken> {
    let exchanges = book.exchanges.iter().map(|exchange| (&exchange.id, exchange));
    let exchanges: BTreeMap<_, _> = exchanges.collect();
    let attempts = book.attempts.iter();
    let attempts: Vec<_> = attempts
        .filter_map(|attempt| Some((attempt, *exchanges.get(&attempt.id)?)))
        .collect();
    let mut broken: Vec<Broken> = attempts
        .iter()
        .filter_map(|(attempt, exchange)| check_return(book, attempt, exchange))
        .collect();
    let mut requests: BTreeMap<&SmolStr, Vec<&Exchange>> = BTreeMap::new();
    for (attempt, exchange) in attempts {
        requests.entry(&attempt.request).or_default().push(exchange);
    }
    broken.extend(
        book.overloads
            .iter()
            .flat_map(|one| check_overload(book, one, &requests)),
    );
    broken
}

/// Checks a time to return against the time that the caller had left when it was decided.
fn check_return(book: &Book, attempt: &Attempt, exchange: &Exchange) -> Option<Broken> {
    let is_refused = matches!(exchange.outcome, Outcome::Answered(429 | 503));
    let after = attempt.retry_after.filter(|_| is_refused)?;
    let frozen =
        |disruption: &Disruption| disruption.place == Place::Entry(exchange.entry) && disruption.what == "frozen";
    let passed = if book.is_calm(exchange.sent, exchange.ended, frozen) {
        exchange.ended.saturating_sub(exchange.sent + DELAY)
    } else {
        Duration::ZERO
    };
    let left = attempt.left.saturating_sub(passed);
    (after > left / LONGEST + RESOLUTION).then(|| Broken {
        promise: "no time to return exceeds a third of the time that the caller has left",
        what: format!("{after:?} with {left:?} left: {exchange:?}"),
    })
}

/// Checks that other organisations are served while one overloads the engines: each alone, and all together.
fn check_overload(book: &Book, overload: &Overload, requests: &BTreeMap<&SmolStr, Vec<&Exchange>>) -> Vec<Broken> {
    let span = overload.from..overload.until.unwrap_or(Duration::MAX);
    let tally = |counts: &dyn Fn(Tenant) -> bool| {
        let counted = requests.values().filter(|tries| {
            counts(tries[0].tenant)
                && span.contains(&tries[0].sent)
                && tries.iter().all(|exchange| ran_calmly(book, exchange))
        });
        counted.fold(Tally::default(), |tally, tries| {
            let is_served = tries.iter().any(|one| one.outcome == Outcome::Answered(200));
            Tally {
                sent: tally.sent + 1.0,
                served: tally.served + f64::from(u8::from(is_served)),
            }
        })
    };
    let overloading = tally(&|tenant| tenant == overload.tenant);
    let least = SHARE * overloading.served / overloading.sent.max(1.0);
    let teams = (0..TEAMS.len())
        .map(Tenant::Team)
        .filter(|team| *team != overload.tenant);
    let mut tallies: Vec<_> = teams
        .map(|team| {
            (
                team.name().unwrap_or_default(),
                tally(&|tenant| tenant == team),
                UNSERVED,
            )
        })
        .collect();
    tallies.push(("all others", tally(&|tenant| tenant != overload.tenant), 0.0));
    let starved = tallies
        .into_iter()
        .filter(|(_, own, more)| own.served + more < least * own.sent);
    let broken = starved.map(|(name, own, _)| Broken {
        promise: "organisations with normal load are not starved by one that overloads the engines",
        what: format!("{name}: {own:?}, {overload:?}: {overloading:?}"),
    });
    broken.collect()
}

/// Returns whether an exchange's entry ran all the while, and was not harmed shortly before.
fn ran_calmly(book: &Book, exchange: &Exchange) -> bool {
    let harms = |disruption: &Disruption| disruption.place == Place::Entry(exchange.entry);
    book.is_calm(exchange.sent.saturating_sub(SETTLED), exchange.ended, harms)
}
