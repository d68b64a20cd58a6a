//! Streams that begin at one entry and are taken up at another, through any series of trouble.

mod out_of_step;
mod restored;
mod series;
mod site;

use std::collections::BTreeMap;
use std::env;
use std::rc::Rc;

use self::series::Step;
use self::series::moves;
use self::series::series;
use self::site::CALM;
use self::site::Ledger;
use self::site::Site;
use crate::model::run;

/// Number of series; `STREAM_FLEET_SEEDS` overrides it.
const SEEDS: u64 = 6;

/// Plays steps until something goes wrong; returns the number of take-ups by what the version was known from.
fn play(seed: u64, steps: &[Step]) -> Result<BTreeMap<&'static str, usize>, String> {
    let mut ledger = Rc::default();
    run(async {
        let mut site = Site::new(seed);
        ledger = Rc::clone(&site.ledger);
        site.fleet.start().await;
        site.call(CALM).await;
        for step in steps {
            site.play(*step).await;
            if !site.ledger.borrow().faults.is_empty() {
                return;
            }
        }
        site.settle().await;
    });
    let ledger: Ledger = ledger.take();
    ledger
        .faults
        .first()
        .map_or(Ok(ledger.decided), |fault| Err(fault.clone()))
}

/// Returns the shortest series that was found to go wrong, by leaving steps out of one that does, with what goes wrong.
fn shrink(seed: u64, mut steps: Vec<Step>, mut fault: String) -> (Vec<Step>, String) {
    let mut index = 0;
    while index < steps.len() {
        let mut fewer = steps.clone();
        fewer.remove(index);
        match play(seed, &fewer) {
            Err(found) => (steps, fault) = (fewer, found),
            Ok(_) => index += 1,
        }
    }
    (steps, fault)
}

/// Plays series, of which none may go wrong, and in which each source of knowledge has to decide.
fn play_all(series: fn(u64) -> Vec<Step>) {
    let mut decided = BTreeMap::<_, usize>::new();
    let seeds = env::var("STREAM_FLEET_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(SEEDS) {
        let steps = series(seed);
        match play(seed, &steps) {
            Ok(counts) => counts
                .into_iter()
                .for_each(|(source, count)| *decided.entry(source).or_default() += count),
            Err(fault) => {
                println!("seed {seed}: {fault}: {steps:?}");
                let (steps, fault) = shrink(seed, steps, fault);
                panic!("seed {seed}: {fault}: {steps:?}");
            }
        }
    }
    println!("take-ups: {decided:?}");
    for source in ["own", "entry", "store", "sole_version"] {
        assert!(
            decided.get(source).is_some_and(|count| *count > 0),
            "take-ups by source: {decided:?}"
        );
    }
}

/// Guards against streams that are joined of two versions after any series of trouble, and against streams that are refused
/// while all entries are in touch.
#[test]
fn no_series_of_trouble_lets_a_stream_go_on_at_another_version() {
    play_all(series);
}

/// Guards against the same as routes move to another service meanwhile.
#[test]
fn no_series_of_moved_routes_lets_a_stream_go_on_at_another_version() {
    play_all(moves);
}

/// Plays steps, and fails if something goes wrong.
fn check(steps: &[Step]) {
    if let Err(fault) = play(0, steps) {
        panic!("{fault}: {steps:?}");
    }
}

/// Guards against an entry that takes a version for declared as one says so that does not know of the restore yet.
#[test]
fn what_was_declared_before_a_restore_is_not_adopted_after_it() {
    use Step::*;
    for restored in (0..4).map(|step| 100 + 100 * step) {
        let release = [
            Copy,
            Join(1),
            Wait(3_000 + restored),
            ReadOnly(true),
            Restore(100),
            Wait(3_000),
        ];
        check(&[release.as_slice(), &[ReadOnly(false), Wait(95_000)]].concat());
    }
}

/// Guards against an entry that takes a version for declared by an answer which the store sent before it was restored.
#[test]
fn an_answer_of_before_a_restore_declares_nothing_after_it() {
    use Step::*;
    for restored in (0..4).map(|step| 1_200 + 100 * step) {
        let release = [
            Passive(0, true),
            Late(0, 800),
            Quiet(3_000),
            Copy,
            Join(1),
            Quiet(restored),
        ];
        let restore = [ReadOnly(true), Restore(50), Quiet(1_500), Quiet(2_000)];
        let after = [ReadOnly(false), Late(0, 0), Passive(0, false), Wait(95_000)];
        check(&[release.as_slice(), &restore, &after].concat());
    }
}

/// Guards against the removal of a version's row by an entry that does not know its endpoints, as its registrations are old.
#[test]
fn an_entry_with_old_registrations_removes_no_rows() {
    use Step::*;
    check(&[Unlisted(0, true), Passive(0, true), Join(1), Wait(100_000)]);
}

/// Guards against the removal of a row that was written again after the remover had read it: a version returned meanwhile.
#[test]
fn a_row_that_was_written_since_it_was_read_is_not_removed() {
    use Step::*;
    for read in 4..=12 {
        let release = [Join(1), Wait(5_000), Leave(1)];
        let due = vec![Read(0); read];
        // The remover's reads take long, and it does not learn of the endpoint.
        let returns = [Unlisted(0, true), Passive(0, true), Join(1), Quiet(3_500), Wait(5_000)];
        let after = [Late(0, 0), Unlisted(0, false), Passive(0, false)];
        check(&[release.as_slice(), &[Late(0, 800)], &due, &returns, &after].concat());
    }
}
