//! Works the figures out of what a run wrote down, and checks the promises.

use core::time::Duration;

use bergamotshift_core::outcome::Outcome;

use super::Added;
use super::Curve;
use super::Line;
use super::Report;
use super::Second;
use super::Totals;
use crate::Plan;
use crate::check;
use crate::check::Index;
use crate::check::Violation;
use crate::latency::Recorder;
use crate::ledger::Book;
use crate::ledger::Fate;
use crate::ledger::Record;
use crate::run::Log;
use crate::run::Tally;
use crate::work::Kind;

/// Makes the report of a run.
pub(crate) fn assemble(plan: &Plan, tally: &Tally, log: Log, books: &[Book], elapsed: Duration) -> Report {
    let index = Index::new(books);
    let records = &tally.records;
    let first_token = recorder(records.iter().filter_map(|record| record.first_token_us));
    let lag = recorder(
        records
            .iter()
            .filter(|record| !record.poisonous)
            .map(|record| record.lag_us),
    );
    let unproved = unproved(books, &log);
    Report {
        label: plan.label.clone(),
        seed: plan.seed,
        rate: plan.rate,
        duration_ms: plan.duration.as_millis() as u64,
        elapsed_ms: elapsed.as_millis() as u64,
        totals: totals(records, &index),
        kinds: Kind::ALL.into_iter().filter_map(|kind| line(records, kind)).collect(),
        first_token: first_token.summary(),
        between_tokens: tally.between.summary(),
        lag: lag.summary(),
        added: added(records, tally),
        seconds: seconds(records),
        curves: curves(records, &first_token, tally),
        violations: violations(records, books, &index, &log),
        events: log.events,
        unproved,
    }
}

fn violations(records: &[Record], books: &[Book], index: &Index<'_>, log: &Log) -> Vec<Violation> {
    let complete = !books.is_empty() && books.iter().all(|book| book.complete);
    let mut violations = check::accepted(records, index);
    violations.extend(check::not_run(records, index));
    violations.extend(check::at_most_once(records, index, complete));
    violations.extend(check::leaving(&log.departures, books));
    violations.extend(check::poison(records, index));
    violations
}

fn unproved(books: &[Book], log: &Log) -> Vec<String> {
    let mut unproved = Vec::new();
    if books.is_empty() {
        unproved.push("no ledgers: what ran, how often and where is unknown".to_owned());
    }
    for book in books.iter().filter(|book| !book.complete) {
        unproved.push(format!("the ledger of {} could not be read at the end", book.endpoint));
    }
    for event in log.events.iter().filter(|event| event.failed.is_some()) {
        unproved.push(format!("a fault was not carried out: {}", event.what));
    }
    unproved
}

fn totals(records: &[Record], index: &Index<'_>) -> Totals {
    let count = |holds: &dyn Fn(&Record) -> bool| records.iter().filter(|record| holds(record)).count() as u64;
    let fate = |fate: Fate| count(&|record| record.fate == fate);
    let said_unknown = |record: &Record| {
        let last = record.sendings.last();
        last.is_some_and(|sending| sending.outcome == Some(Outcome::Unknown))
    };
    Totals {
        sent: records.len() as u64,
        accepted: count(&|record| record.accepted),
        whole: fate(Fate::Whole),
        refused: fate(Fate::Refused),
        unknown: count(&|record| record.fate == Fate::Refused && said_unknown(record)),
        unreachable: fate(Fate::Unreachable),
        cut: fate(Fate::Cut),
        lost: fate(Fate::Lost),
        wrong: fate(Fate::Wrong),
        resent: count(&|record| record.sendings.iter().any(|sending| sending.broken.is_some())),
        run_twice: count(&|record| record.kind == Kind::Once && index.runs(&record.key).len() > 1),
        tokens: records.iter().map(|record| u64::from(record.tokens)).sum(),
        recomputed: check::recomputed(records, index),
    }
}

fn line(records: &[Record], kind: Kind) -> Option<Line> {
    let of_kind = || records.iter().filter(|record| record.kind == kind && !record.poisonous);
    let sent = of_kind().count() as u64;
    let whole = || of_kind().filter(|record| record.fate == Fate::Whole);
    (sent > 0).then(|| Line {
        kind,
        sent,
        accepted: of_kind().filter(|record| record.accepted).count() as u64,
        whole: whole().count() as u64,
        latency: recorder(whole().map(|record| record.latency_us)).summary(),
    })
}

fn added(records: &[Record], tally: &Tally) -> Option<Added> {
    let direct = tally.direct.summary();
    let plain = records
        .iter()
        .filter(|record| record.kind == Kind::Get && record.fate == Fate::Whole);
    let through = recorder(plain.map(|record| record.latency_us.saturating_sub(record.lag_us))).summary();
    (direct.count > 0 && through.count > 0).then_some(Added {
        through,
        direct,
        direct_failed: tally.direct_failed,
    })
}

fn seconds(records: &[Record]) -> Vec<Second> {
    const SECOND_US: u64 = 1_000_000;
    let length = records
        .iter()
        .map(|record| record.due_us / SECOND_US + 1)
        .max()
        .unwrap_or(0);
    let mut seconds = vec![Second::default(); length as usize];
    let mut latencies = vec![Vec::new(); length as usize];
    for record in records {
        let place = (record.due_us / SECOND_US) as usize;
        let second = &mut seconds[place];
        second.due += 1;
        match record.fate {
            Fate::Whole => {
                second.whole += 1;
                latencies[place].push(record.latency_us);
            }
            Fate::Refused | Fate::Unreachable => second.refused += 1,
            Fate::Wrong | Fate::Cut | Fate::Lost => second.failed += 1,
        }
    }
    for (second, mut latencies) in seconds.iter_mut().zip(latencies) {
        latencies.sort_unstable();
        second.p50_us = quantile(&latencies, 50);
        second.p99_us = quantile(&latencies, 99);
    }
    seconds
}

/// Returns the value below which `percent` of the sorted values lie, or zero without values.
fn quantile(sorted: &[u64], percent: usize) -> u64 {
    let rank = (sorted.len() * percent).div_ceil(100);
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or_default()
}

fn curves(records: &[Record], first_token: &Recorder, tally: &Tally) -> Vec<Curve> {
    let mut curves = Vec::new();
    for kind in Kind::ALL {
        let whole = records
            .iter()
            .filter(|record| record.kind == kind && record.fate == Fate::Whole);
        push(
            &mut curves,
            kind.as_str(),
            &recorder(whole.map(|record| record.latency_us)),
        );
    }
    push(&mut curves, "first token", first_token);
    push(&mut curves, "between tokens", &tally.between);
    push(&mut curves, "direct call", &tally.direct);
    curves
}

fn push(curves: &mut Vec<Curve>, name: &str, recorder: &Recorder) {
    if recorder.summary().count > 0 {
        curves.push(Curve {
            name: name.to_owned(),
            points: recorder.curve(),
        });
    }
}

fn recorder(micros: impl Iterator<Item = u64>) -> Recorder {
    let mut recorder = Recorder::new();
    micros.for_each(|micros| recorder.record(Duration::from_micros(micros)));
    recorder
}
