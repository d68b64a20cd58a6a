//! What callers and operators are promised, checked against what was seen.

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_metadata_standin::Report;
use smol_str::SmolStr;

use crate::ledger::Arrival;
use crate::ledger::Book;
use crate::ledger::Disruption;
use crate::ledger::Exchange;
use crate::ledger::Ledger;
use crate::ledger::Outcome;
use crate::ledger::Place;
use crate::release;
use crate::site::BURST;
use crate::site::Kind;
use crate::site::RATE;
use crate::site::Tenant;

/// How long after a disruption its effects still excuse what is bound to a time.
const SETTLED: Duration = Duration::from_secs(4);

/// How soon a new document is in force everywhere.
const APPLIED: Duration = Duration::from_secs(2);

/// How soon after the effect of a document was seen at an entry nothing older may be seen there.
const ROLLBACK: Duration = Duration::from_millis(250);

/// How soon an endpoint that leaves gets no more requests.
const DRAINED: Duration = Duration::from_secs(2);

/// How soon a request may be cut that was not passed on.
pub(crate) const UNREAD: Duration = Duration::from_millis(200);

/// The window over which an organisation's limit holds.
const QUOTA: Duration = Duration::from_secs(8);

/// What a window may hold beyond the limit.
const QUOTA_OVER: f64 = 1.1;

/// The window over which repeated sends are bounded.
const RETRIES: Duration = Duration::from_secs(10);

/// Repeated sends for each request, and beyond that.
const RETRY: (f64, f64) = (0.2, 30.0);

/// The longest time without a usage report while the store is in order: a window, two leases that lapse one after the other,
/// and the time until a report is complete.
const REPORTED: Duration = Duration::from_secs(15);

/// The steps in which time without trouble of the store is counted.
const STEP: Duration = Duration::from_millis(100);

/// How long after a holder's trouble its late calls are excused.
const THAW: Duration = Duration::from_millis(500);

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// Which.
    pub promise: &'static str,
    /// By what.
    pub what: String,
}

struct Seen<'a> {
    book: &'a Book,
    exchanges: BTreeMap<&'a SmolStr, &'a Exchange>,
    runs: BTreeMap<&'a SmolStr, Vec<&'a Arrival>>,
    broken: Vec<Broken>,
}

/// Returns the promises that were broken.
pub fn check(ledger: &Ledger, book: &Book, reports: &[Report]) -> Vec<Broken> {
    let exchanges = book.exchanges.iter().map(|exchange| (&exchange.id, exchange));
    let mut runs: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for arrival in book.arrivals.iter().filter(|arrival| arrival.ran) {
        runs.entry(&arrival.id).or_default().push(arrival);
    }
    let mut seen = Seen {
        book,
        exchanges: exchanges.collect(),
        runs,
        broken: Vec::new(),
    };
    seen.answers();
    seen.runs();
    seen.quota();
    seen.retries();
    seen.leaves();
    seen.documents();
    seen.regressions();
    seen.reports(ledger, reports);
    seen.gaps(ledger, reports);
    for fault in &book.faults {
        seen.broken("a daemon ends when it is asked to, and only then", fault.clone());
    }
    seen.broken
}

/// Returns whether the status of a refusal says for requests of a kind that they did not run; others may be sent again.
const fn is_refused_unrun(kind: Kind) -> bool {
    matches!(kind, Kind::Confirm | Kind::Generate)
}

/// Returns whether engines were short of capacity for a request, as they are in calm times too.
const fn is_short(exchange: &Exchange) -> bool {
    matches!(exchange.kind, Kind::Generate) && matches!(exchange.outcome, Outcome::Answered(503 | 504))
}

fn is_unplanned(disruption: &Disruption) -> bool {
    !disruption.is_planned
}

impl Seen<'_> {
    fn broken(&mut self, promise: &'static str, what: String) {
        self.broken.push(Broken { promise, what });
    }

    fn is_calm(&self, exchange: &Exchange, counts: impl Fn(&Disruption) -> bool) -> bool {
        let from = exchange.sent.saturating_sub(SETTLED);
        self.book.is_calm(from, exchange.ended, counts)
    }

    /// Checks what each caller got.
    fn answers(&mut self) {
        for exchange in self.book.exchanges.iter().filter(|one| !one.kind.is_crashing()) {
            let ran = self.runs.get(&exchange.id).map_or(0, Vec::len);
            let promise = match (&exchange.outcome, exchange.tenant) {
                (Outcome::Wrong(_), _) => "an answer is whole and its caller's own",
                (Outcome::Answered(200), Tenant::Stranger) => "an unknown key gets nothing",
                (Outcome::Answered(401 | 403 | 404), Tenant::Free | Tenant::Limited | Tenant::Team(_)) => {
                    "what every document allows is not denied"
                }
                (Outcome::Answered(408 | 421 | 429 | 503), _) if is_refused_unrun(exchange.kind) && ran > 0 => {
                    "what was refused did not run"
                }
                (Outcome::Answered(200 | 401) | Outcome::Left, _) | (Outcome::Answered(429), Tenant::Limited) => {
                    continue;
                }
                _ if is_short(exchange) => continue,
                _ if self.is_calm(exchange, |_| true) && !release::is_excused(self.book, exchange) => {
                    "in calm times requests are served"
                }
                (Outcome::Silent | Outcome::Cut, _)
                    if self.is_lost(exchange) && !release::lacks_version(self.book, exchange) =>
                {
                    "planned work cuts no request"
                }
                _ => continue,
            };
            let what = format!("{exchange:?}, {ran} runs");
            self.broken(promise, what);
        }
    }

    /// Returns whether a request got no answer although nothing but planned work was under way.
    fn is_lost(&self, exchange: &Exchange) -> bool {
        let was_read = self.runs.contains_key(&exchange.id) || exchange.ended > exchange.sent + UNREAD;
        was_read && self.is_calm(exchange, is_unplanned)
    }

    /// Checks what ran.
    fn runs(&mut self) {
        let mut broken = Vec::new();
        for (id, runs) in &self.runs {
            let Some(exchange) = self.exchanges.get(id) else {
                broken.push(("nothing runs that nobody sent", format!("{runs:?}")));
                continue;
            };
            if exchange.kind == Kind::Confirm && runs.len() > 1 {
                broken.push(("what must not be repeated runs once", format!("{exchange:?}: {runs:?}")));
            }
            for run in runs {
                if run.organisation.as_deref() != exchange.tenant.name() || run.has_key {
                    broken.push((
                        "endpoints are told the organisation and no key",
                        format!("{exchange:?}: {run:?}"),
                    ));
                }
            }
        }
        for (promise, what) in broken {
            self.broken(promise, what);
        }
    }

    /// Checks that the limited organisation's requests stay within its limit in every window.
    fn quota(&mut self) {
        let limited = |run: &&Arrival| run.organisation.as_deref() == Tenant::Limited.name();
        let mut times: Vec<Duration> = self
            .book
            .arrivals
            .iter()
            .filter(|arrival| arrival.ran)
            .filter(limited)
            .map(|run| run.at)
            .collect();
        times.sort_unstable();
        let most = (RATE * QUOTA.as_secs_f64() + BURST) * QUOTA_OVER;
        let (count, from) = most_within(&times, QUOTA);
        if count as f64 > most {
            let what = format!("{count} requests from {from:?} on, {most} allowed");
            self.broken("an organisation stays within its limit", what);
        }
    }

    /// Checks that repeated sends stay within their budget in every window.
    fn retries(&mut self) {
        let mut known = BTreeSet::new();
        let mut repeats: Vec<Duration> = Vec::new();
        let mut arrivals: Vec<&Arrival> = self.book.arrivals.iter().collect();
        arrivals.sort_by_key(|arrival| arrival.at);
        for arrival in arrivals {
            if !known.insert(&arrival.id) {
                repeats.push(arrival.at);
            }
        }
        for (place, from) in repeats.iter().enumerate() {
            let until = *from + RETRIES;
            let count = repeats[place..].iter().filter(|at| **at < until).count();
            // The requests are counted in the window or in one just before it, whichever has most.
            let sent = |from: Duration| {
                let until = from + RETRIES;
                let sent = self.book.exchanges.iter().map(|exchange| exchange.sent);
                sent.filter(|at| (from..until).contains(at)).count()
            };
            let before = [Duration::ZERO, RETRIES / 2, RETRIES].map(|span| sent(from.saturating_sub(span)));
            let requests = before.into_iter().max().unwrap_or_default();
            let most = RETRY.0 * requests as f64 + RETRY.1;
            if count as f64 > most {
                let what = format!("{count} repeated sends from {from:?} on, {most} allowed");
                return self.broken("repeated sends stay within their budget", what);
            }
        }
    }

    /// Checks that endpoints that leave get no more requests.
    fn leaves(&mut self) {
        let mut broken = Vec::new();
        for leave in &self.book.leaves {
            let since = leave.acknowledged.saturating_sub(SETTLED);
            let late = |arrival: &&Arrival| {
                arrival.endpoint == leave.endpoint
                    && arrival.at > leave.acknowledged + DRAINED
                    && self.book.is_calm(since, arrival.at, is_unplanned)
            };
            broken.extend(self.book.arrivals.iter().find(late));
        }
        for arrival in broken {
            self.broken("an endpoint that leaves gets no more requests", format!("{arrival:?}"));
        }
    }

    /// Checks that a new document is in force in time.
    fn documents(&mut self) {
        let mut broken = Vec::new();
        let moving = self
            .book
            .exchanges
            .iter()
            .filter(|exchange| exchange.kind == Kind::Moving);
        for exchange in moving {
            for run in self.runs.get(&exchange.id).into_iter().flatten() {
                let applied = |acknowledged: Duration| {
                    exchange.sent > acknowledged + APPLIED
                        && self
                            .book
                            .is_calm(acknowledged.saturating_sub(SETTLED), run.at, is_unplanned)
                };
                let oldest = self
                    .book
                    .versions
                    .iter()
                    .rposition(|version| applied(version.acknowledged));
                let allowed = &self.book.versions[oldest.unwrap_or(0)..];
                if !allowed.iter().any(|version| version.service == run.service) {
                    broken.push(format!("{exchange:?}: {run:?}"));
                }
            }
        }
        for what in broken {
            self.broken("a new document is in force in time", what);
        }
    }

    /// Checks that no entry goes back to an older document.
    fn regressions(&mut self) {
        let mut starts: BTreeMap<(usize, u32), Vec<&Exchange>> = BTreeMap::new();
        for exchange in self
            .book
            .exchanges
            .iter()
            .filter(|exchange| exchange.kind == Kind::Moving)
        {
            starts
                .entry((exchange.entry, exchange.life))
                .or_default()
                .push(exchange);
        }
        let mut broken = Vec::new();
        for (_, mut exchanges) in starts {
            exchanges.sort_by_key(|exchange| exchange.sent);
            broken.extend(self.regression(&exchanges));
        }
        for what in broken {
            self.broken("no entry goes back to an older document", what);
        }
    }

    /// Returns a request that an entry handled by an older document than one whose effect was seen before.
    ///
    /// A run proves no more than the oldest version, from the one proved before on, that sends it to its service. It is
    /// taken as proof only when its request was sent after the last proof, so that one on its way proves nothing.
    fn regression(&self, exchanges: &[&Exchange]) -> Option<String> {
        let versions = &self.book.versions;
        let mut proofs: Vec<(Duration, usize)> = Vec::new();
        for exchange in exchanges {
            let patience = if self.was_frozen(exchange) {
                ROLLBACK * 8
            } else {
                ROLLBACK
            };
            let known = proofs.iter().rev().find(|(at, _)| *at + patience < exchange.sent);
            let oldest = known.map_or(0, |(_, version)| *version);
            let newest = proofs.last().copied();
            for run in self.runs.get(&exchange.id).into_iter().flatten() {
                let goes = |place: &usize| versions[*place].service == run.service && versions[*place].sent <= run.at;
                let Some(proved) = (oldest..versions.len()).find(goes) else {
                    return Some(format!("{exchange:?}: {run:?} after version {oldest} was seen"));
                };
                let is_new = newest.is_none_or(|(at, version)| exchange.sent > at && proved > version);
                if is_new {
                    proofs.push((run.at, proved));
                }
            }
        }
        None
    }

    fn was_frozen(&self, exchange: &Exchange) -> bool {
        let place = Place::Entry(exchange.entry);
        let frozen = |disruption: &Disruption| disruption.place == place && disruption.what == "frozen";
        !self.is_calm(exchange, frozen)
    }

    /// Checks that one entry at a time reports usage, and each window once.
    fn reports(&mut self, ledger: &Ledger, reports: &[Report]) {
        let mut windows: BTreeMap<u64, &Report> = BTreeMap::new();
        let mut holders: BTreeMap<u64, &SmolStr> = BTreeMap::new();
        let mut highest = 0;
        for report in reports {
            let first = windows.entry(report.window).or_insert(report);
            if first.counts != report.counts {
                self.broken("a window is reported once", format!("{first:?}, then {report:?}"));
            }
            let holder = holders.entry(report.number).or_insert(&report.holder);
            if **holder != report.holder {
                let what = format!("{holder} and {}: {}", report.holder, report.number);
                self.broken("a fencing number is one holder's", what);
            }
            if report.number < highest && !self.is_excused(ledger, report) {
                self.broken("fencing numbers grow", format!("{report:?} after {highest}"));
            }
            highest = highest.max(report.number);
        }
    }

    /// Checks that usage is reported again and again, whoever holds the duty.
    fn gaps(&mut self, ledger: &Ledger, reports: &[Report]) {
        let Some(end) = self.book.exchanges.iter().map(|exchange| exchange.ended).max() else {
            return;
        };
        let mut times: Vec<Duration> = reports.iter().map(|report| ledger.at(report.at)).collect();
        times.push(end);
        let mut from = Duration::ZERO;
        for until in times {
            let gap = self.with_store(from, until);
            if gap > REPORTED {
                let what = format!("none from {from:?} to {until:?}, {gap:?} of it with the store in order");
                self.broken("usage is reported while the store is in order", what);
            }
            from = until;
        }
    }

    /// Returns how much of a span the store was in order and any entry ran: nobody else could report.
    fn with_store(&self, from: Duration, until: Duration) -> Duration {
        let entries = self.entries();
        let is_killed = |at: Duration, entry: &usize| {
            let killed =
                |disruption: &Disruption| disruption.place == Place::Entry(*entry) && disruption.what == "killed";
            !self.book.is_calm(at, at, killed)
        };
        let mut sum = Duration::ZERO;
        let mut at = from;
        while at < until {
            let has_store = self.book.is_calm(at, at, |disruption| disruption.place == Place::Store);
            if has_store && !entries.iter().all(|entry| is_killed(at, entry)) {
                sum += STEP;
            }
            at += STEP;
        }
        sum
    }

    /// Returns the entries that the book names.
    fn entries(&self) -> BTreeSet<usize> {
        let asked = self.book.exchanges.iter().map(|exchange| exchange.entry);
        let harmed = self
            .book
            .disruptions
            .iter()
            .filter_map(|disruption| match disruption.place {
                Place::Entry(entry) => Some(entry),
                Place::Endpoint(_) | Place::Store => None,
            });
        asked.chain(harmed).collect()
    }

    fn is_excused(&self, ledger: &Ledger, report: &Report) -> bool {
        let at = ledger.at(report.at);
        let number = report.holder.rsplit('-').next().and_then(|text| text.parse().ok());
        let concerns = |disruption: &Disruption| {
            disruption.place == Place::Store || number.is_some_and(|number| disruption.place == Place::Entry(number))
        };
        !self.book.is_calm(at.saturating_sub(THAW), at, concerns)
    }
}

/// Returns the most times within any window of a length, and when that window begins.
pub(crate) fn most_within(times: &[Duration], length: Duration) -> (usize, Duration) {
    let mut most = (0, Duration::ZERO);
    let mut last = 0;
    for (first, from) in times.iter().enumerate() {
        while last < times.len() && times[last] < *from + length {
            last += 1;
        }
        if last - first > most.0 {
            most = (last - first, *from);
        }
    }
    most
}
