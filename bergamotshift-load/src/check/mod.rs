//! The promises that must always hold, checked against the ledgers; pure functions of what was written down.

mod content;

use core::fmt;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_core::name;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

pub use content::content;
pub use content::echo;

use crate::ledger::Book;
use crate::ledger::Fate;
use crate::ledger::Record;
use crate::ledger::Run;
use crate::work::Kind;

/// A poisonous request may take this many endpoints with it before it is refused.
const MAX_POISONED: usize = 2;

/// A promise of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// What was accepted is answered.
    Answered,
    /// An answer that began arrives whole.
    Whole,
    /// An answer is that request's own.
    Own,
    /// `not-run` means that it did not run.
    NotRun,
    /// A non-repeatable request runs at most once.
    AtMostOnce,
    /// An endpoint that leaves gets no new work.
    Leaving,
    /// A poisonous request is stopped.
    Poison,
}

impl Promise {
    /// Returns the promise in words.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "what was accepted is answered",
            Self::Whole => "an answer that began arrives whole",
            Self::Own => "an answer is that request's own",
            Self::NotRun => "not-run means that it did not run",
            Self::AtMostOnce => "a non-repeatable request runs at most once",
            Self::Leaving => "an endpoint that leaves gets no new work",
            Self::Poison => "a poisonous request is stopped after two endpoints",
        }
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// A broken promise, with the evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// The request's idempotency key.
    pub key: SmolStr,
    /// The identifiers that entries gave the request.
    pub request_ids: Vec<SmolStr>,
    /// The endpoints that ran it.
    pub endpoints: Vec<name::Vm>,
    /// What was seen.
    pub detail: String,
}

/// An endpoint that leaves, and how far its ledger was when new work had to have stopped.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Departure {
    /// The endpoint.
    pub endpoint: name::Vm,
    /// Runs in its ledger when the time it may still get work was over.
    pub settled: usize,
}

/// The runs of each idempotency key, with the endpoints they were on.
#[derive(Debug, Default)]
pub struct Index<'a>(BTreeMap<&'a str, Vec<(&'a name::Vm, &'a Run)>>);

impl<'a> Index<'a> {
    /// Sorts the ledgers by key.
    pub fn new(books: &'a [Book]) -> Self {
        let mut runs: BTreeMap<&str, Vec<_>> = BTreeMap::new();
        for book in books {
            for run in &book.runs {
                if let Some(key) = &run.key {
                    runs.entry(key.as_str()).or_default().push((&book.endpoint, run));
                }
            }
        }
        Self(runs)
    }

    /// Returns the runs under a key.
    pub fn runs(&self, key: &str) -> &[(&'a name::Vm, &'a Run)] {
        self.0.get(key).map_or(&[], Vec::as_slice)
    }

    fn endpoints(&self, key: &str) -> Vec<name::Vm> {
        self.runs(key).iter().map(|(endpoint, _)| (*endpoint).clone()).collect()
    }
}

/// Checks that what was accepted came back whole and is the request's own.
pub fn accepted(records: &[Record], index: &Index<'_>) -> Vec<Violation> {
    let broken = records.iter().filter_map(|record| {
        let promise = match record.fate {
            Fate::Wrong => Promise::Own,
            Fate::Cut => Promise::Whole,
            Fate::Lost => Promise::Answered,
            Fate::Whole | Fate::Refused | Fate::Unreachable => return None,
        };
        // A poisonous request ends in a clear refusal, whatever it was told before.
        let excused = record.poisonous && promise != Promise::Own;
        (!excused).then(|| violation(promise, record, index, record.detail.clone()))
    });
    broken.collect()
}

/// Checks that what was answered `not-run` did not run.
///
/// One answer of several may be overtaken by a later sending under the same key, so a request counts when all of its
/// sendings were answered `not-run`.
pub fn not_run(records: &[Record], index: &Index<'_>) -> Vec<Violation> {
    let denied = records.iter().filter(|record| record.denied());
    let ran = denied.filter(|record| !index.runs(&record.key).is_empty());
    ran.map(|record| {
        let detail = format!("answered not-run, and ran {} times", index.runs(&record.key).len());
        violation(Promise::NotRun, record, index, detail)
    })
    .collect()
}

/// Checks that non-repeatable requests ran at most once, and that a whole answer comes from a run.
///
/// `complete` tells whether all ledgers are known in full; without that, an answer without a run proves nothing.
pub fn at_most_once(records: &[Record], index: &Index<'_>, complete: bool) -> Vec<Violation> {
    let mut violations = Vec::new();
    for record in records.iter().filter(|record| record.kind == Kind::Once) {
        let runs = index.runs(&record.key).len();
        if runs > 1 {
            let detail = format!("ran {runs} times");
            violations.push(violation(Promise::AtMostOnce, record, index, detail));
        }
        if runs == 0 && complete && record.fate == Fate::Whole {
            let detail = "answered in full, and no endpoint ran it".to_owned();
            violations.push(violation(Promise::Own, record, index, detail));
        }
    }
    violations
}

/// Checks that endpoints that left got no work once the time for it was over.
pub fn leaving(departures: &[Departure], books: &[Book]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for departure in departures {
        let Some(book) = books.iter().find(|book| book.endpoint == departure.endpoint) else {
            continue;
        };
        for run in book.runs.get(departure.settled..).unwrap_or_default() {
            violations.push(Violation {
                promise: Promise::Leaving,
                key: run.key.clone().unwrap_or_default(),
                request_ids: Vec::new(),
                endpoints: vec![departure.endpoint.clone()],
                detail: format!("{} began after the endpoint was to get no more work", run.target),
            });
        }
    }
    violations
}

/// Checks that poisonous requests, whose re-sends ask the same under new keys, were stopped.
pub fn poison(records: &[Record], index: &Index<'_>) -> Vec<Violation> {
    let poisonous: Vec<_> = records.iter().filter(|record| record.poisonous).collect();
    let struck: BTreeSet<_> = poisonous
        .iter()
        .flat_map(|record| index.runs(&record.key))
        .filter(|(_, run)| !run.finished)
        .map(|(endpoint, _)| (*endpoint).clone())
        .collect();
    let Some(last) = poisonous.last().filter(|_| struck.len() > MAX_POISONED) else {
        return Vec::new();
    };
    let detail = format!("ran into the end of {} endpoints", struck.len());
    vec![Violation {
        endpoints: struck.into_iter().collect(),
        ..violation(Promise::Poison, last, index, detail)
    }]
}

/// Returns the tokens that were computed a second time for these requests.
///
/// That is each prompt token computed beyond a request's cheapest run, and each generated token beyond its answer's.
/// Ledgers do not order the runs of different endpoints, so the figure is at least the true one, never less.
pub fn recomputed(records: &[Record], index: &Index<'_>) -> u64 {
    let recomputed_for = |record: &Record| {
        let runs = index.runs(&record.key);
        let cheapest = runs
            .iter()
            .map(|(_, run)| u64::from(run.prefilled))
            .min()
            .unwrap_or_default();
        let prefilled = runs.iter().map(|(_, run)| u64::from(run.prefilled)).sum::<u64>() - cheapest;
        let generated = runs.iter().map(|(_, run)| u64::from(run.tokens)).sum::<u64>();
        prefilled + generated.saturating_sub(u64::from(record.tokens))
    };
    let whole = records
        .iter()
        .filter(|record| record.kind.is_model() && record.fate == Fate::Whole);
    whole.map(recomputed_for).sum()
}

fn violation(promise: Promise, record: &Record, index: &Index<'_>, detail: String) -> Violation {
    Violation {
        promise,
        key: record.key.clone(),
        request_ids: record.request_ids(),
        endpoints: index.endpoints(&record.key),
        detail,
    }
}
