//! Plans come from their seeds alone, and hold every kind of trouble.

use core::mem;
use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;

use bergamotshift_soak::engine::PACES;
use bergamotshift_soak::plan::Plan;
use bergamotshift_soak::plan::Size;
use bergamotshift_soak::plan::Step;
use bergamotshift_soak::site::endpoint_id;
use bergamotshift_soak::site::request_id;

const SIZE: Size = Size {
    entries: 4,
    endpoints: 2,
    span: Duration::from_secs(20),
};

#[test]
fn a_seed_gives_the_same_plan_each_time() {
    assert_eq!(Plan::draw(7, SIZE), Plan::draw(7, SIZE));
    assert_ne!(Plan::draw(7, SIZE), Plan::draw(8, SIZE));
}

#[test]
fn steps_come_in_order_and_name_what_there_is() {
    for seed in 1..=50 {
        let plan = Plan::draw(seed, SIZE);
        assert!(plan.steps.is_sorted_by_key(|(at, _)| *at));
        for (_, step) in plan.steps {
            match step {
                Step::Kill(entry) | Step::Stop(entry) | Step::Start(entry) => assert!(entry < SIZE.entries),
                Step::Crash(place) | Step::Leave(place) => assert!(place < 3 * SIZE.endpoints),
                _ => {}
            }
        }
    }
}

#[test]
fn fifty_seeds_hold_every_kind_of_step() {
    let steps = (1..=50).flat_map(|seed| Plan::draw(seed, SIZE).steps);
    let kinds: HashSet<_> = steps.map(|(_, step)| mem::discriminant(&step)).collect();
    assert_eq!(kinds.len(), 16);
}

/// Guards against kept seeds that mean something else once endpoints say something of themselves.
#[test]
fn notices_are_added_and_change_nothing_else() {
    for seed in 1..=50 {
        let plain = Plan::draw(seed, SIZE);
        let mut noted = plain.clone().with_notices(seed, SIZE);
        assert_ne!(plain, noted);
        let is_kept = |entry: &(Duration, Step)| plain.steps.contains(entry);
        noted.steps.retain(is_kept);
        assert_eq!(noted, plain);
    }
}

#[test]
fn fifty_seeds_hold_every_kind_of_notice() {
    let noted = (1..=50).flat_map(|seed| Plan::default().with_notices(seed, SIZE).steps);
    let notices = noted.filter_map(|(_, step)| match step {
        Step::Notice(_, notice) => Some(mem::discriminant(&notice)),
        _ => None,
    });
    assert_eq!(notices.collect::<HashSet<_>>().len(), 4);
}

#[test]
fn restores_are_added_and_change_nothing_else() {
    for seed in 1..=50 {
        let plain = Plan::draw(seed, SIZE);
        let mut restored = plain.clone().with_restores(seed, SIZE);
        let is_added = |step: &Step| matches!(step, Step::Copy | Step::Restore(_));
        let added = restored.steps.iter().filter(|(_, step)| is_added(step)).count();
        restored.steps.retain(|(_, step)| !is_added(step));
        assert_eq!(restored, plain);
        assert!(added.is_multiple_of(2));
    }
}

/// Guards against kept seeds that mean something else, and against engines that stay slow or overloaded.
#[test]
fn hard_load_is_added_and_changes_nothing_else() {
    let first = 3 * SIZE.endpoints;
    for seed in 1..=50 {
        let plain = Plan::draw(seed, SIZE);
        let added = Plan::default().with_hard_load(seed, SIZE).steps;
        let mut loaded = plain.clone().with_hard_load(seed, SIZE);
        loaded.steps.retain(|step| !added.contains(step));
        assert_eq!(loaded, plain);
        let count = |wanted: fn(&Step) -> bool| added.iter().filter(|(_, step)| wanted(step)).count();
        let is_begun = |step: &Step| matches!(step, Step::Slow(_, true) | Step::Overload(Some(_)));
        let is_over = |step: &Step| matches!(step, Step::Slow(_, false) | Step::Overload(None));
        assert!(count(is_begun) > 0);
        assert_eq!(count(is_begun), count(is_over));
        assert!(count(|step| matches!(step, Step::Overload(Some(_)))) > 0);
        for (_, step) in added {
            if let Step::Slow(engine, _) | Step::Crash(engine) = step {
                assert!((first..first + PACES.len()).contains(&engine));
            }
        }
    }
}

/// Guards against runs side by side that take each other's requests for their own, as an entry of one reaches a port that
/// an endpoint of the other has got.
#[test]
fn runs_share_no_identifiers() {
    assert_ne!(request_id(1, 2, 3), request_id(2, 2, 3));
    assert_ne!(endpoint_id(1, "alpha", 3), endpoint_id(2, "alpha", 3));
}

/// Guards against kept seeds that mean something else, and against pauses that outlast the run.
#[test]
fn pauses_are_added_and_change_nothing_else() {
    for seed in 1..=50 {
        let plain = Plan::draw(seed, SIZE);
        let added = Plan::default().with_pauses(seed, SIZE, true).steps;
        let mut paused = plain.clone().with_pauses(seed, SIZE, true);
        paused.steps.retain(|step| !added.contains(step));
        assert_eq!(paused, plain);
        for (at, step) in added {
            if let Step::Pause(place, span) = step {
                assert!(place < 3 * SIZE.endpoints + PACES.len());
                assert!((Duration::from_millis(300)..Duration::from_secs(3)).contains(&span));
                assert!(at + span < SIZE.span);
            }
        }
    }
}

/// Guards against pauses that leave an endpoint to go on with each time, or come one after the other, or apart from changes of
/// the document.
#[test]
fn pauses_of_one_some_and_all_endpoints_overlap_and_meet_changes() {
    let size = Size { endpoints: 4, ..SIZE };
    for seed in 1..=50 {
        let steps = Plan::default().with_pauses(seed, size, false).steps;
        let mut pauses: BTreeMap<(Duration, usize), (usize, Duration)> = BTreeMap::new();
        for (at, step) in &steps {
            if let Step::Pause(place, span) = step {
                let (count, end) = pauses.entry((*at, place % 3)).or_insert((0, *at + *span));
                *count += 1;
                *end = (*end).max(*at + *span);
            }
        }
        let counts: BTreeSet<usize> = pauses.values().map(|(count, _)| *count).collect();
        assert!(
            [1, 2, 4].iter().all(|count| counts.contains(count)),
            "seed {seed}: {counts:?}"
        );
        let starts: Vec<Duration> = pauses.keys().map(|(at, _)| *at).collect();
        let is_met = |at: Duration| pauses.iter().any(|((from, _), (_, end))| *from < at && at < *end);
        assert!(starts.into_iter().any(is_met), "seed {seed}");
        let is_change = |step: &Step| matches!(step, Step::Limit(_));
        assert!(
            steps.iter().any(|(at, step)| is_change(step) && is_met(*at)),
            "seed {seed}"
        );
    }
}

#[test]
fn model_engines_pause_if_there_are_any() {
    let first = 3 * SIZE.endpoints;
    let places = |has_engines| {
        let steps = (1..=50).flat_map(move |seed| Plan::default().with_pauses(seed, SIZE, has_engines).steps);
        steps.filter_map(|(_, step)| match step {
            Step::Pause(place, _) if place >= first => Some(place),
            _ => None,
        })
    };
    assert_eq!(places(false).count(), 0);
    assert_eq!(
        places(true).collect::<BTreeSet<_>>(),
        (first..first + PACES.len()).collect()
    );
}
