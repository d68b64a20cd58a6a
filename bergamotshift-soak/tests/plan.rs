//! Plans come from their seeds alone, and hold every kind of trouble.

use core::mem;
use core::time::Duration;
use std::collections::HashSet;

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

/// Guards against runs side by side that take each other's requests for their own, as an entry of one reaches a port that
/// an endpoint of the other has got.
#[test]
fn runs_share_no_identifiers() {
    assert_ne!(request_id(1, 2, 3), request_id(2, 2, 3));
    assert_ne!(endpoint_id(1, "alpha", 3), endpoint_id(2, "alpha", 3));
}
