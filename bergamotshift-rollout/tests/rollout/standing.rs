//! Versions that may take requests.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_rollout::prelude::*;

const AT: Instant = Instant::from_secs(10);

fn order(number: u64, to: &str) -> Order {
    Order {
        service: name::Service::new("planner"),
        to: to.into(),
        duration: Duration::from_secs(12),
        number,
        era: 0,
    }
}

fn directive(order: u64, term: u64, step: u64, phase: Phase) -> Directive {
    Directive {
        order,
        term,
        step,
        phase,
        share: 50,
    }
}

fn tracker() -> Tracker {
    let mut tracker = Tracker::new(&Settings::default());
    assert!(tracker.apply_order(AT, order(5, "v2"), Duration::ZERO));
    tracker
}

#[test]
fn an_ordered_version_gets_no_requests_before_a_directive() {
    let tracker = tracker();
    assert_eq!(tracker.admission("v2"), Admission::Canary);
    assert_eq!(tracker.admission("v1"), Admission::Stable);
    assert_eq!(tracker.share(AT), 0);
    assert!(tracker.is_open());
}

#[test]
fn a_version_that_was_rolled_back_stays_excluded() {
    let mut tracker = tracker();
    assert!(tracker.apply_directive(AT, directive(5, 1, 1, Phase::RolledBack)));
    assert_eq!(tracker.admission("v2"), Admission::Excluded);
    assert_eq!(tracker.admission("v1"), Admission::Stable);
    assert!(tracker.apply_order(AT, order(9, "v3"), Duration::ZERO));
    assert_eq!(tracker.admission("v2"), Admission::Excluded, "its address serves again");
    assert_eq!(tracker.admission("v3"), Admission::Canary);
}

#[test]
fn a_completed_version_replaces_all_others() {
    let mut tracker = tracker();
    tracker.apply_directive(AT, directive(5, 1, 1, Phase::Completed));
    assert_eq!(tracker.admission("v2"), Admission::Stable);
    assert_eq!(tracker.admission("v1"), Admission::Excluded);
    tracker.apply_order(AT, order(9, "v3"), Duration::ZERO);
    assert_eq!(tracker.admission("v2"), Admission::Stable);
    assert_eq!(tracker.admission("v1"), Admission::Excluded);
}

#[test]
fn an_order_of_the_version_in_force_changes_nothing() {
    let mut tracker = tracker();
    tracker.apply_directive(AT, directive(5, 1, 1, Phase::Completed));
    tracker.apply_order(AT, order(9, "v2"), Duration::ZERO);
    assert_eq!(tracker.admission("v2"), Admission::Stable);
}

#[test]
fn a_refused_version_may_be_ordered_again() {
    let mut tracker = tracker();
    tracker.apply_directive(AT, directive(5, 1, 1, Phase::RolledBack));
    assert!(tracker.apply_order(AT, order(9, "v2"), Duration::ZERO));
    assert_eq!(tracker.admission("v2"), Admission::Canary);
    assert!(
        !tracker.apply_directive(AT, directive(5, 1, 2, Phase::Completed)),
        "that order is over"
    );
}

/// Guards against a canary that continues at a cut-off entry while the version is rolled back everywhere else.
#[test]
fn an_entry_that_hears_nothing_falls_back() {
    let mut tracker = tracker();
    tracker.apply_directive(AT, directive(5, 1, 1, Phase::Canary));
    assert_eq!(tracker.share(AT), 50);
    let timeout = Settings::default().directive_timeout();
    assert_eq!(tracker.share(AT + timeout), 0);
    tracker.apply_directive(AT + timeout, directive(5, 1, 2, Phase::Canary));
    assert_eq!(tracker.share(AT + timeout), 50);
}

/// Guards against a duty holder that was suspended and revokes a final state when it resumes.
#[test]
fn a_final_state_is_not_revoked() {
    let mut tracker = tracker();
    tracker.apply_directive(AT, directive(5, 2, 1, Phase::RolledBack));
    assert!(!tracker.apply_directive(AT, directive(5, 3, 9, Phase::Canary)));
    assert_eq!(tracker.admission("v2"), Admission::Excluded);
}

/// Guards against a directive of a previous duty holder that arrives after one of its successor.
#[test]
fn a_directive_of_a_previous_holder_is_ignored() {
    let mut tracker = tracker();
    assert!(tracker.apply_directive(AT, directive(5, 2, 1, Phase::Halted)));
    assert!(!tracker.apply_directive(AT, directive(5, 1, 7, Phase::Canary)));
    assert_eq!(tracker.share(AT), 0);
}

/// Guards against the age of an order shrinking when other entries report it as younger than it is.
#[test]
fn the_greatest_reported_age_of_an_order_counts() {
    let mut tracker = tracker();
    assert!(!tracker.apply_order(AT, order(5, "v2"), Duration::from_secs(3)));
    assert_eq!(tracker.age(AT), Duration::from_secs(3));
    assert!(
        !tracker.apply_order(AT, order(4, "v0"), Duration::ZERO),
        "an older order is no news"
    );
    assert_eq!(tracker.age(AT + Duration::from_secs(1)), Duration::from_secs(4));
}

/// Returns the order with this number, as its operator writes it again in a restored store.
fn repeated(number: u64, to: &str) -> Order {
    Order {
        era: 1,
        ..order(number, to)
    }
}

/// Guards against a rollout that begins anew because the operator wrote the order again after a restore.
#[test]
fn an_order_that_is_written_again_after_a_restore_goes_on() {
    let mut tracker = tracker();
    tracker.apply_directive(AT, directive(5, 1, 1, Phase::Shifting));
    assert!(!tracker.apply_order(AT, repeated(1_003, "v2"), Duration::ZERO));
    assert_eq!(tracker.last_order().map(|order| order.number), Some(1_003));
    assert_eq!(
        tracker.directive().map(|directive| directive.phase),
        Some(Phase::Shifting)
    );
    assert!(tracker.apply_directive(AT, directive(1_003, 1, 2, Phase::Completed)));
    assert_eq!(tracker.admission("v1"), Admission::Excluded);
}

#[test]
fn another_order_after_a_restore_begins_anew() {
    let mut tracker = tracker();
    tracker.apply_directive(AT, directive(5, 1, 1, Phase::RolledBack));
    assert!(tracker.apply_order(AT, repeated(1_003, "v3"), Duration::ZERO));
    assert_eq!(tracker.directive(), None);
    assert_eq!(tracker.admission("v2"), Admission::Excluded);
}
