//! Group commit: the ending that each submitter gets, and the load that the table's rate allows, in virtual time.

use core::time::Duration;
use std::collections::BTreeSet;

use bergamotshift_claim::batch;
use bergamotshift_claim::prelude::*;
use bergamotshift_core::clock::Instant;
use bergamotshift_core::table::Change;
use bergamotshift_core::table::Condition;
use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use bergamotshift_core::table::Write;
use quickcheck::quickcheck;

fn write(name: &str) -> Write {
    Write {
        key: Key::new("p", name),
        condition: Condition::Absent,
        change: Change::Put(vec![0; 10]),
    }
}

fn names(transaction: &batch::Transaction) -> Vec<&str> {
    transaction.writes.iter().map(|write| write.key.sort.as_str()).collect()
}

// Three claims share a transaction, and the second one's key is already claimed, so the table cancels all three. Only
// the second may end with a conflict; the other two have to be written by the next transaction.
#[test]
fn writes_beside_a_conflicting_one_are_retried() {
    let mut batch = Batch::new(batch::Settings::default());
    for (ticket, name) in ["a", "b", "c"].into_iter().enumerate() {
        batch.push(ticket, write(name)).unwrap();
    }
    let first = batch.next(Instant::ZERO).unwrap();
    assert_eq!(names(&first), ["a", "b", "c"]);
    let settled = batch.complete(first.id, &Ending::Conflict(vec![1]));
    assert_eq!(settled, [(1, Ending::Conflict(vec![0]))]);
    let second = batch.next(Instant::from_secs(1)).unwrap();
    assert_eq!(names(&second), ["a", "c"]);
    let settled = batch.complete(second.id, &Ending::Applied);
    assert_eq!(settled, [(0, Ending::Applied), (2, Ending::Applied)]);
}

#[test]
fn an_unknown_ending_applies_to_all_writes() {
    let mut batch = Batch::new(batch::Settings::default());
    batch.push('a', write("a")).unwrap();
    batch.push('b', write("b")).unwrap();
    let id = batch.next(Instant::ZERO).unwrap().id;
    let settled = batch.complete(id, &Ending::Unknown);
    assert_eq!(settled, [('a', Ending::Unknown), ('b', Ending::Unknown)]);
    assert!(
        batch.complete(id, &Ending::Applied).is_empty(),
        "a second ending is stale"
    );
}

// A transaction that is cancelled without a conflicting write would be retried forever, and its callers would wait
// until their deadlines.
#[test]
fn a_conflict_that_names_no_write_is_a_refusal() {
    let mut batch = Batch::new(batch::Settings::default());
    batch.push('a', write("a")).unwrap();
    let id = batch.next(Instant::ZERO).unwrap().id;
    assert_eq!(batch.complete(id, &Ending::Conflict(vec![])), [('a', Ending::Refused)]);
    assert_eq!(batch.waiting(), 0);
}

#[test]
fn writes_to_one_row_are_sequential() {
    let mut batch = Batch::new(batch::Settings::default());
    for (ticket, name) in ["a", "a", "b"].into_iter().enumerate() {
        batch.push(ticket, write(name)).unwrap();
    }
    let first = batch.next(Instant::ZERO).unwrap();
    assert_eq!(names(&first), ["a", "b"]);
    assert_eq!(batch.next(Instant::from_secs(1)), None, "the row is busy");
    batch.complete(first.id, &Ending::Applied);
    assert_eq!(names(&batch.next(Instant::from_secs(2)).unwrap()), ["a"]);
}

#[test]
fn a_full_queue_rejects_writes() {
    let mut batch = Batch::new(batch::Settings {
        max_queued: 1,
        ..batch::Settings::default()
    });
    assert_eq!(batch.push((), write("a")), Ok(()));
    assert_eq!(batch.push((), write("b")), Err(batch::Full));
}

quickcheck! {
    // With any endings, each write is settled exactly once, and no transaction exceeds the table's limits.
    fn every_write_is_settled_once(keys: Vec<u8>, answers: Vec<u8>) -> bool {
        let settings = batch::Settings { max_items: 4, max_bytes: 60, ..batch::Settings::default() };
        let mut batch = Batch::new(settings);
        for (ticket, key) in keys.iter().enumerate() {
            batch.push(ticket, write(&format!("{}", key % 8))).unwrap();
        }
        let mut settled = BTreeSet::new();
        let mut answers = answers.into_iter();
        let mut now = Instant::ZERO;
        loop {
            now = now + Duration::from_secs(1);
            let Some(transaction) = batch.next(now) else { break };
            let rows = transaction.writes.iter().map(|write| &write.key).collect::<BTreeSet<_>>();
            if rows.len() != transaction.writes.len() || rows.len() > settings.max_items {
                return false;
            }
            let ending = match answers.next().map_or(0, |answer| answer % 4) {
                0 => Ending::Applied,
                1 => Ending::Conflict(vec![transaction.writes.len() - 1]),
                2 => Ending::Refused,
                _ => Ending::Unknown,
            };
            for (ticket, _) in batch.complete(transaction.id, &ending) {
                if !settled.insert(ticket) {
                    return false;
                }
            }
        }
        settled.len() == keys.len() && batch.waiting() == 0
    }
}

/// Result of a simulation in virtual time.
struct Load {
    transactions_per_second: f64,
    max_latency: Duration,
    refused: usize,
}

/// Simulates `entries` committers for ten seconds, with a table that answers after 10 ms and accepts `rate`
/// transactions per second in total. Each request causes two writes, its claim and its final state.
fn simulate(entries: u32, rate: u32, requests_per_second: u32) -> Load {
    const LATENCY: Duration = Duration::from_millis(10);
    const TICK: Duration = Duration::from_millis(1);
    const SECONDS: u32 = 10;
    let per_transaction = Duration::from_secs(1) * entries / rate;
    let settings = batch::Settings {
        per_transaction,
        ..batch::Settings::default()
    };
    let mut batches = (0..entries)
        .map(|_| Batch::<Instant>::new(settings))
        .collect::<Vec<_>>();
    let mut answers = BTreeSet::<(Instant, usize, batch::Id)>::new();
    let mut load = Load {
        transactions_per_second: 0.0,
        max_latency: Duration::ZERO,
        refused: 0,
    };
    let mut transactions = 0_u32;
    let mut submitted = 0_u64;
    let mut now = Instant::ZERO;
    while now < Instant::from_secs(u64::from(SECONDS)) {
        now = now + TICK;
        let due = now.as_micros() * u64::from(2 * requests_per_second) / 1_000_000;
        while submitted < due {
            let at = submitted as usize % batches.len();
            let refused = batches[at].push(now, write(&format!("{submitted}"))).is_err();
            load.refused += usize::from(refused);
            submitted += 1;
        }
        while let Some(&(at, entry, id)) = answers.first() {
            if at > now {
                break;
            }
            answers.pop_first();
            for (pushed, _) in batches[entry].complete(id, &Ending::Applied) {
                load.max_latency = load.max_latency.max(now.since(pushed));
            }
        }
        for (entry, batch) in batches.iter_mut().enumerate() {
            while let Some(transaction) = batch.next(now) {
                transactions += 1;
                answers.insert((now + LATENCY, entry, transaction.id));
            }
        }
    }
    load.transactions_per_second = f64::from(transactions) / f64::from(SECONDS);
    load
}

// The platform accepts several hundred writes per second. Counted as transactions, 300 per second are enough for all
// requests of eight entries, and for the targeted 2,400 requests per second even if all of them are non-repeatable.
#[test]
fn three_hundred_transactions_carry_eight_entries() {
    for requests in [100, 300, 1_200, 2_400, 12_000] {
        let load = simulate(8, 300, requests);
        println!(
            "8 entries, {requests} requests/s: {:.0} transactions/s, slowest write {:?}, refused {}",
            load.transactions_per_second, load.max_latency, load.refused
        );
        assert!(load.transactions_per_second <= 300.5);
        assert_eq!(load.refused, 0);
        assert!(load.max_latency <= Duration::from_millis(80), "{:?}", load.max_latency);
    }
}

// With 390 entries, each has less than one transaction per second, so a claim waits for more than a second. At that
// size, claims have to be combined by fewer committers before they are written to the table.
#[test]
fn three_hundred_transactions_are_too_few_for_390_separate_committers() {
    let load = simulate(390, 300, 240);
    println!(
        "390 entries, 240 requests/s: {:.0} transactions/s, slowest write {:?}",
        load.transactions_per_second, load.max_latency
    );
    assert!(load.max_latency > Duration::from_millis(500), "{:?}", load.max_latency);
    let load = simulate(10, 300, 2_400);
    println!(
        "10 committers for all, 2,400 requests/s: {:.0} transactions/s, slowest write {:?}",
        load.transactions_per_second, load.max_latency
    );
    assert!(load.max_latency <= Duration::from_millis(100), "{:?}", load.max_latency);
}
