//! Attempts whose endpoint falls silent, in virtual time.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::prelude::*;
use bergamotshift_limit::silence::Action;
use bergamotshift_limit::silence::Census;
use bergamotshift_limit::silence::Extent;
use bergamotshift_limit::silence::Path;
use bergamotshift_limit::silence::Pulse;
use bergamotshift_limit::silence::Settings;
use bergamotshift_limit::silence::Watch;

const LIMIT: Duration = Duration::from_millis(1_250);
const TTL: Duration = Duration::from_secs(1);

fn at(millis: u64) -> Instant {
    Instant::from_millis(10_000 + millis)
}

fn watch() -> Watch {
    Watch::new(Settings::default(), LIMIT, at(0))
}

/// Guards against a connection by each attempt at an endpoint that falls silent.
#[test]
fn one_check_serves_all_attempts() {
    let pulse = Pulse::default();
    assert!(pulse.claim_check(at(950), at(0), TTL));
    assert!(!pulse.claim_check(at(960), at(10), TTL));
    pulse.record_path(at(950), Path::Reached);
    assert_eq!([at(0), at(10)].map(|since| pulse.path(since)), [Path::Reached; 2]);
}

/// Guards against an endpoint that is judged by a check from before it fell silent.
#[test]
fn a_check_from_before_the_silence_is_not_used() {
    let pulse = Pulse::default();
    assert!(pulse.claim_check(at(950), at(0), TTL));
    pulse.record_path(at(950), Path::Gone);
    assert_eq!(pulse.path(at(950)), Path::Unknown);
    assert!(pulse.claim_check(at(951), at(950), TTL));
}

/// Guards against an endpoint that is cut off after a check and counts as reached from then on.
#[test]
fn a_check_is_renewed_after_its_ttl() {
    let pulse = Pulse::default();
    assert!(pulse.claim_check(at(950), at(0), TTL));
    pulse.record_path(at(950), Path::Reached);
    assert!(!pulse.claim_check(at(1_949), at(0), TTL));
    assert!(pulse.claim_check(at(1_950), at(0), TTL));
    pulse.record_path(at(1_950), Path::Unreached);
    assert_eq!(pulse.path(at(0)), Path::Unreached);
}

/// Guards against a short limit that is held up by a check from before the endpoint was cut off.
#[test]
fn a_check_is_believed_for_at_most_half_of_the_limit() {
    let ttl = |limit| {
        Watch::new(Settings::default(), Duration::from_millis(limit), at(0))
            .settings()
            .check_ttl
    };
    assert_eq!(
        [400, 1_250, 3_000].map(ttl),
        [250, 625, 1_000].map(Duration::from_millis)
    );
}

/// Guards against a slow check whose outcome replaces that of a later one.
#[test]
fn the_outcome_of_the_latest_check_counts() {
    let pulse = Pulse::default();
    assert!(pulse.claim_check(at(950), at(0), TTL));
    assert!(pulse.claim_check(at(1_100), at(1_000), TTL));
    pulse.record_path(at(1_100), Path::Reached);
    pulse.record_path(at(950), Path::Unreached);
    assert_eq!([at(0), at(1_000)].map(|since| pulse.path(since)), [Path::Reached; 2]);
}

/// Guards against endpoints without answers that count as silent.
#[test]
fn an_endpoint_is_silent_only_while_it_answers() {
    let pulse = Pulse::default();
    pulse.record(at(0));
    assert_eq!(pulse.silence(at(100)), None);
    pulse.begin(at(100));
    pulse.begin(at(200));
    pulse.record(at(150));
    pulse.end();
    assert_eq!(pulse.silence(at(500)), Some(Duration::from_millis(300)));
    pulse.end();
    assert_eq!(pulse.silence(at(500)), None);
}

/// Guards against a storm of moves while most endpoints are silent, and against one silent endpoint that holds its answers.
#[test]
fn most_of_at_least_two_endpoints_are_silent_together() {
    let extent = |silent: usize, answering: usize| (0..answering).map(|n| n < silent).collect::<Census>().extent();
    let single = [(0, 0), (0, 5), (1, 1), (1, 2), (2, 4), (5, 10)];
    let common = [(2, 2), (2, 3), (3, 4), (6, 10), (12, 12)];
    assert!(
        single
            .iter()
            .all(|(silent, all)| extent(*silent, *all) == Extent::Single)
    );
    assert!(
        common
            .iter()
            .all(|(silent, all)| extent(*silent, *all) == Extent::Common)
    );
}

/// Guards against attempts that move after a normal silence, or whose path is unknown at the limit.
#[test]
fn nothing_moves_before_the_limit_and_the_path_is_checked_before() {
    let mut watch = watch();
    assert_eq!(watch.check_at(), at(950));
    for path in [Path::Unknown, Path::Reached, Path::Unreached, Path::Gone] {
        assert_eq!(watch.decide(at(0), path, Extent::Single), Action::Wait(at(950)));
        assert_eq!(watch.decide(at(1_249), path, Extent::Single), Action::Wait(at(1_250)));
    }
    watch.record(at(1_249));
    assert_eq!(
        watch.decide(at(1_250), Path::Reached, Extent::Single),
        Action::Wait(at(2_199))
    );
    let brief = Watch::new(Settings::default(), Duration::from_millis(400), at(0));
    assert_eq!(brief.check_at(), at(200));
}

/// Guards against answers of sound endpoints that are ended, and against dead ones that hold their answers.
#[test]
fn the_path_and_the_extent_decide_after_the_limit() {
    let bounded = Action::Replace {
        overlap: Some(Settings::default().max_overlap),
    };
    let table = [
        (Path::Unknown, Extent::Single, bounded),
        (Path::Reached, Extent::Single, bounded),
        (Path::Unknown, Extent::Common, Action::Wait(at(1_500))),
        (Path::Reached, Extent::Common, Action::Wait(at(1_500))),
        (Path::Unreached, Extent::Single, Action::Replace { overlap: None }),
        (Path::Unreached, Extent::Common, Action::Replace { overlap: None }),
        (Path::Gone, Extent::Single, Action::GiveUp),
        (Path::Gone, Extent::Common, Action::GiveUp),
    ];
    for (path, extent, action) in table {
        assert_eq!(watch().decide(at(1_250), path, extent), action, "{path:?} {extent:?}");
    }
}

/// Guards against searches in a loop, against a run after the other of one answer, and against a new silence that waits for
/// the old one's search.
#[test]
fn a_failed_search_is_repeated_later_the_more_if_one_was_sent() {
    let is_searching =
        |watch: &Watch, now| matches!(watch.decide(now, Path::Reached, Extent::Single), Action::Replace { .. });
    for (was_sent, next) in [(false, 1_500), (true, 2_500)] {
        let mut watch = watch();
        watch.postpone(at(1_250), was_sent);
        assert!(!is_searching(&watch, at(next - 1)), "{was_sent}");
        assert!(is_searching(&watch, at(next)), "{was_sent}");
        watch.record(at(1_251));
        assert!(is_searching(&watch, at(2_501)), "{was_sent}");
    }
}

/// Guards against a replacement that is sent, or not sent, by what a check found a whole limit ago.
#[test]
fn a_silent_endpoint_is_looked_at_while_the_next_search_waits() {
    let mut watch = Watch::new(Settings::default(), Duration::from_secs(3), at(0));
    watch.postpone(at(3_000), true);
    let waits = Action::Wait(at(3_250));
    assert_eq!(watch.decide(at(3_000), Path::Reached, Extent::Single), waits);
    let waits = Action::Wait(at(6_000));
    assert_eq!(watch.decide(at(5_900), Path::Reached, Extent::Single), waits);
}

/// Guards against callers who wait a limit longer as a replacement was dropped before a check found the endpoint cut off.
#[test]
fn an_endpoint_found_unreached_is_left_soon_after_a_replacement_was_dropped() {
    let mut watch = watch();
    watch.postpone(at(1_550), true);
    let decide = |now, path| watch.decide(at(now), path, Extent::Single);
    assert_eq!(decide(1_799, Path::Unreached), Action::Wait(at(1_800)));
    assert_eq!(decide(1_800, Path::Unreached), Action::Replace { overlap: None });
    assert_eq!(decide(2_799, Path::Reached), Action::Wait(at(2_800)));
}

/// Guards against a budget that is used up by replacements that were never sent.
#[test]
fn a_withdrawal_is_given_back_unless_it_is_spent() {
    let budget = Budget::new(retry::Settings {
        ratio: 0.0,
        reserve: 2,
        burst: 2,
    });
    let withdrawal = budget.withdraw().unwrap();
    assert!(budget.withdraw().is_none(), "a withdrawal leaves some of the balance");
    assert!(budget.withdraw().is_none(), "a refused withdrawal gives nothing back");
    drop(withdrawal);
    assert_eq!(budget.available(), 1);
    budget.withdraw().unwrap().spend();
    assert_eq!(budget.available(), 0);
}
