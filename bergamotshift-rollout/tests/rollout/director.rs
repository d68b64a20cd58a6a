//! Control of one order from the first canary to the final state.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_rollout::director::Step;
use bergamotshift_rollout::prelude::*;

fn order() -> Order {
    Order {
        service: name::Service::new("planner"),
        to: "v2".into(),
        duration: Duration::from_secs(12),
        number: 3,
        era: 0,
    }
}

fn observe(director: &mut Director, millis: u64, stable: usize, canary: usize, busy: u32) -> Step {
    let observation = Observation {
        age: Duration::from_millis(millis),
        evidence: Evidence::new(3),
        stable_endpoints: stable,
        canary_endpoints: canary,
        stable_in_flight: busy,
        slots: 8,
    };
    director.observe(Instant::from_millis(100_000 + millis), &observation)
}

fn director() -> Director {
    Director::new(Settings::default(), order(), None)
}

#[test]
fn a_version_without_endpoints_gets_no_requests() {
    let step = observe(&mut director(), 250, 4, 0, 9);
    assert_eq!((step.phase, step.share, step.state), (Phase::Canary, 0, State::Running));
}

/// Guards against cutting streams, because the old endpoints stop at once when the order is completed.
#[test]
fn an_order_is_completed_once_nothing_is_under_way_at_the_old_endpoints() {
    let mut director = director();
    let mut full_share_at = None;
    for millis in (250..12_000).step_by(250) {
        let busy = if millis < 10_500 { 7 } else { 0 };
        let step = observe(&mut director, millis, 4, 4, busy);
        full_share_at = full_share_at.or((step.share == 1_000).then_some(millis));
        if step.state == State::Completed {
            assert_eq!(millis, 10_500);
            assert!(full_share_at.is_some_and(|at| at < millis));
            return;
        }
    }
    panic!("it was not completed");
}

#[test]
fn an_order_is_completed_before_its_time_limit_despite_requests_in_flight() {
    let mut director = director();
    let ends = (250..12_000).step_by(250);
    let mut ends = ends.map(|millis| (millis, observe(&mut director, millis, 4, 4, 3).state));
    let end = ends.find(|(_, state)| *state == State::Completed);
    assert!(
        end.is_some_and(|(millis, _)| millis > 11_000 && millis < 12_000),
        "{end:?}"
    );
}

#[test]
fn an_order_for_the_version_in_force_completes_at_once() {
    let mut director = director();
    let mut steps = (250..12_000)
        .step_by(250)
        .map(|millis| observe(&mut director, millis, 0, 4, 0));
    let completed = steps.position(|step| step.state == State::Completed);
    assert!(completed.is_some_and(|looks| looks <= 10), "{completed:?}");
}

/// Guards against losing a rejection when the duty holder is killed before it reports to the operators.
#[test]
fn a_successor_continues_from_the_last_directive() {
    let halted = Directive {
        order: 3,
        term: 1,
        step: 9,
        phase: Phase::Halted,
        share: 0,
    };
    let mut successor = Director::new(Settings::default(), order(), Some(&halted));
    let step = observe(&mut successor, 5_000, 4, 4, 0);
    assert_eq!((step.share, step.state), (0, State::RolledBack));
}

/// Guards against a new duty holder that completes the order before all entries have moved their requests.
#[test]
fn a_successor_moves_requests_step_by_step() {
    let moving = Directive {
        order: 3,
        term: 1,
        step: 9,
        phase: Phase::Shifting,
        share: 250,
    };
    let mut successor = Director::new(Settings::default(), order(), Some(&moving));
    let first = observe(&mut successor, 8_000, 4, 4, 0);
    assert_eq!((first.share, first.state), (250, State::Running));
    let last = observe(&mut successor, 11_000, 4, 4, 0);
    assert_eq!((last.share, last.state), (1_000, State::Completed));
}

/// Guards against completing an order after all endpoints of the new version are gone, which would leave no endpoints.
#[test]
fn an_order_is_not_completed_without_endpoints() {
    let mut director = director();
    for millis in (250..9_000).step_by(250) {
        observe(&mut director, millis, 4, 4, 7);
    }
    let ends = (9_000..14_000)
        .step_by(250)
        .map(|millis| observe(&mut director, millis, 4, 0, 0).state);
    assert!(ends.into_iter().all(|state| state == State::Running));
}
