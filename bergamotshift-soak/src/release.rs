//! What is promised to callers who take up streams while versions change, checked against what was seen.

use core::time::Duration;

use smol_str::SmolStr;

use crate::ledger::Book;
use crate::ledger::Exchange;
use crate::ledger::Outcome;
use crate::ledger::Place;
use crate::ledger::Resumption;
use crate::ledger::Serving;
use crate::promise::Broken;
use crate::site::Kind;
use crate::site::SERVICES;
use crate::site::Tenant;

/// How long after the trouble of an entry or of the store streams may still be refused.
const SETTLED: Duration = Duration::from_secs(5);

/// How soon entries know of an endpoint.
const KNOWN: Duration = Duration::from_secs(2);

/// Streams taken up that may fail by chance beyond the share of new ones that do.
const CHANCE: f64 = 5.0;

/// What became of the streams that callers took up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// The attempts that did.
    pub taken_up: usize,
    /// Those that brought events.
    pub went_on: usize,
    /// Those that were answered without any.
    pub refused: usize,
    /// Those that brought events that do not fit.
    pub joined: usize,
    /// Those without trouble near whose version served, and those of them that went on.
    pub calm: (usize, usize),
    /// New streams without trouble near, and those of them that were served.
    pub new: (usize, usize),
}

impl Summary {
    /// Counts what became of them.
    pub fn of(book: &Book) -> Self {
        let mut summary = Self::default();
        let streams = book.exchanges.iter().filter(|one| one.tenant == Tenant::Free);
        for exchange in streams.filter(|one| matches!(one.kind, Kind::Draft | Kind::Schedule)) {
            let resumption = book.resumptions.iter().find(|one| one.id == exchange.id);
            let has_path = is_open(book, exchange, resumption);
            let went_on = match resumption {
                Some(one) => one.went_on,
                None => matches!(exchange.outcome, Outcome::Answered(200) | Outcome::Left),
            };
            if resumption.is_some() {
                summary.taken_up += 1;
                let is_joined = matches!(exchange.outcome, Outcome::Wrong(_));
                summary.joined += usize::from(is_joined);
                summary.went_on += usize::from(went_on && !is_joined);
                summary.refused += usize::from(!went_on && matches!(exchange.outcome, Outcome::Answered(_)));
                if has_path {
                    summary.calm.0 += 1;
                    summary.calm.1 += usize::from(went_on);
                }
            } else if has_path {
                summary.new.0 += 1;
                summary.new.1 += usize::from(went_on);
            }
        }
        summary
    }
}

/// Returns whether a stream was asked for without trouble near, and what it needs served: an endpoint of its version, or for a
/// new one an endpoint of each service.
fn is_open(book: &Book, exchange: &Exchange, resumption: Option<&Resumption>) -> bool {
    let began = resumption.map_or(exchange.sent, |one| one.began);
    let since = began.min(exchange.sent.saturating_sub(SETTLED));
    let is_calm = book.is_calm(since, exchange.ended, |disruption| {
        !matches!(disruption.place, Place::Endpoint(_))
    });
    is_calm
        && resumption.map_or_else(
            || SERVICES.iter().all(|service| serves(book, exchange, service, None)),
            |one| serves(book, exchange, one.service, Some(&one.version)),
        )
}

/// Returns whether an endpoint of a service, and of a version if one is given, served unharmed from long before an exchange on.
fn serves(book: &Book, exchange: &Exchange, service: &str, version: Option<&SmolStr>) -> bool {
    let since = exchange.sent.saturating_sub(KNOWN);
    let is_own = |one: &&Serving| one.service == service && version.is_none_or(|version| one.version == *version);
    let lasts = |one: &&Serving| one.from <= since && one.until.is_none_or(|until| until > exchange.ended);
    let mut whole = book.serving.iter().filter(is_own).filter(lasts);
    whole.any(|one| {
        let place = book.places.get(&one.endpoint).map(|place| Place::Endpoint(*place));
        book.is_calm(since, exchange.ended, |disruption| Some(disruption.place) == place)
    })
}

/// Returns whether an exchange takes up a stream that may have been forgotten, or whose version may have gone.
pub(crate) fn is_excused(book: &Book, exchange: &Exchange) -> bool {
    let resumption = book.resumptions.iter().find(|one| one.id == exchange.id);
    resumption.is_some_and(|one| !is_open(book, exchange, Some(one)))
}

/// Returns whether an exchange takes up a stream of whose version no endpoint served all the while.
pub(crate) fn lacks_version(book: &Book, exchange: &Exchange) -> bool {
    let resumption = book.resumptions.iter().find(|one| one.id == exchange.id);
    resumption.is_some_and(|one| !serves(book, exchange, one.service, Some(&one.version)))
}

/// Returns the promises that were broken.
pub fn check(book: &Book) -> Vec<Broken> {
    let Summary { calm, new, .. } = Summary::of(book);
    let refused = (calm.0 - calm.1) as f64;
    let share = (new.0 - new.1) as f64 / new.0.max(1) as f64;
    let broken = (refused > share * calm.0 as f64 + CHANCE).then(|| Broken {
        promise: "streams that are taken up go on as often as new ones are served",
        what: format!("{} of {} taken up, {} of {} new ones", calm.1, calm.0, new.1, new.0),
    });
    broken.into_iter().collect()
}
