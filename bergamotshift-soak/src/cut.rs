//! What is promised of entries that are cut off from all endpoints, checked against what was seen.

use core::time::Duration;

use crate::ledger::Book;
use crate::ledger::Disruption;
use crate::ledger::Exchange;
use crate::ledger::Outcome;
use crate::ledger::Place;
use crate::promise::Broken;
use crate::site::Tenant;

/// What the soak notes of an entry that is cut off from all endpoints.
pub const CUT_OFF: &str = "cut off from endpoints";

/// How long after the cut began its requests pass through other entries.
const SETTLED: Duration = Duration::from_secs(3);

/// How often callers are served at such an entry, as a share of how often they are at the others.
const SHARE: f64 = 2.0 / 3.0;

/// How many callers may not be served there: a share of all of them, and beyond that.
const UNSERVED: (f64, f64) = (0.02, 10.0);

/// What callers got.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: usize,
    served: usize,
}

impl Tally {
    fn of<'a>(exchanges: impl Iterator<Item = &'a Exchange>) -> Self {
        exchanges.fold(Self::default(), |tally, exchange| Self {
            sent: tally.sent + 1,
            served: tally.served + usize::from(is_served(exchange)),
        })
    }

    fn share(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

fn is_served(exchange: &Exchange) -> bool {
    match exchange.outcome {
        Outcome::Answered(200 | 401) => true,
        Outcome::Answered(429) => exchange.tenant == Tenant::Limited,
        _ => false,
    }
}

/// Returns the promises that were broken.
pub fn check(book: &Book) -> Vec<Broken> {
    let cuts = book.disruptions.iter().filter(|disruption| disruption.what == CUT_OFF);
    cuts.filter_map(|cut| check_cut(book, cut)).collect()
}

fn check_cut(book: &Book, cut: &Disruption) -> Option<Broken> {
    let Place::Entry(entry) = cut.place else {
        return None;
    };
    let span = cut.from + SETTLED..cut.until.unwrap_or(Duration::MAX);
    let counted: Vec<&Exchange> = book
        .exchanges
        .iter()
        .filter(|exchange| span.contains(&exchange.sent) && span.contains(&exchange.ended))
        .filter(|exchange| runs(book, exchange))
        .collect();
    let others = Tally::of(counted.iter().copied().filter(|one| !is_cut_off(book, one)));
    let own = Tally::of(counted.iter().copied().filter(|one| one.entry == entry));
    let (share, more) = UNSERVED;
    let unserved = (own.sent - own.served) as f64;
    let is_broken = own.share() < others.share() * SHARE && unserved > counted.len() as f64 * share + more;
    is_broken.then(|| Broken {
        promise: "an entry that is cut off from all endpoints serves its callers through others",
        what: format!("entry {entry} from {:?} on: {own:?}, the others: {others:?}", cut.from),
    })
}

/// Returns whether an exchange's entry ran all the while, and had time to learn what it needs.
fn runs(book: &Book, exchange: &Exchange) -> bool {
    let harms = |disruption: &Disruption| {
        disruption.place == Place::Entry(exchange.entry)
            && matches!(disruption.what, "killed" | "stop" | "start" | "frozen")
    };
    book.is_calm(exchange.sent.saturating_sub(SETTLED), exchange.ended, harms)
}

/// Returns whether an exchange's entry was cut off from all endpoints.
fn is_cut_off(book: &Book, exchange: &Exchange) -> bool {
    let cuts = |disruption: &Disruption| disruption.place == Place::Entry(exchange.entry) && disruption.what == CUT_OFF;
    !book.is_calm(exchange.sent, exchange.ended, cuts)
}
