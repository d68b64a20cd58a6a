//! Whole answers speak for requests that were running where endpoints died.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::prelude::*;
use bergamotshift_limit::quarantine::Completed;
use bergamotshift_limit::quarantine::Death;
use bergamotshift_limit::quarantine::Instance;
use bergamotshift_limit::quarantine::Settings;
use quickcheck::quickcheck;

const POPULAR: Fingerprint = Fingerprint::new(1);

const VERSION: u64 = 1;

const OTHER_VERSION: u64 = 2;

fn instance(number: u8) -> Instance {
    Instance::new(name::Vm::new(format!("vm-{number}")), Incarnation::new(1))
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn die(quarantine: &mut Quarantine, millis: u64, number: u8, version: u64) {
    quarantine.record_version(at(millis), instance(number), Some(version));
    let death = Death {
        instance: instance(number),
        announced: false,
        running: vec![POPULAR],
    };
    quarantine.record_death(at(millis), death);
}

fn answer(completed: &Completed, millis: u64, version: u64) {
    completed.record(at(millis), POPULAR.at_version(version));
}

/// Returns the time for which the request is refused.
fn refusal(quarantine: &Quarantine, millis: u64) -> Option<Duration> {
    match quarantine.table().verdict(at(millis), POPULAR) {
        Verdict::Refused { retry_after } => Some(retry_after),
        Verdict::Clear | Verdict::Alone => None,
    }
}

/// Guards against a request of many callers that all are refused, as endpoints died of another cause while they ran it.
#[test]
fn a_request_that_is_answered_whole_after_each_death_is_not_refused() {
    let mut quarantine = Quarantine::new(Settings::default());
    let completed = Completed::default();
    for number in 0..8 {
        let second = 1 + 6 * u64::from(number);
        die(&mut quarantine, second * 1_000, number, VERSION);
        answer(&completed, second * 1_000 + 200, VERSION);
        quarantine.apply_answers(&completed);
        assert_eq!(
            refusal(&quarantine, second * 1_000 + 200),
            None,
            "after {number} deaths"
        );
    }
}

/// Guards against the same after deaths in a row that no answer came between.
#[test]
fn an_answer_ends_a_refusal() {
    let mut quarantine = Quarantine::new(Settings::default());
    let completed = Completed::default();
    for number in 0..3 {
        die(&mut quarantine, 1_000, number, VERSION);
    }
    assert!(refusal(&quarantine, 1_000).is_some());
    // A copy of the request was under way at another endpoint.
    answer(&completed, 1_200, VERSION);
    assert!(quarantine.apply_answers(&completed));
    assert_eq!(refusal(&quarantine, 1_200), None);
    assert!(!quarantine.apply_answers(&completed));
}

/// Guards against a request that crashes each endpoint of one version and is excused by answers of another version.
#[test]
fn answers_of_another_version_excuse_no_death() {
    let mut quarantine = Quarantine::new(Settings::default());
    let completed = Completed::default();
    for (number, second) in [(1, 1), (2, 9)] {
        die(&mut quarantine, second * 1_000, number, VERSION);
        answer(&completed, second * 1_000 + 200, OTHER_VERSION);
        quarantine.apply_answers(&completed);
    }
    assert_eq!(refusal(&quarantine, 9_000), Some(Settings::default().hold));
}

/// Guards against a long refusal of a request that was answered whole before endpoints died with it. One that now crashes each
/// endpoint is refused for longer each time.
#[test]
fn a_request_that_was_answered_whole_before_is_refused_for_a_short_time_at_first() {
    let mut quarantine = Quarantine::new(Settings::default());
    let completed = Completed::default();
    answer(&completed, 500, VERSION);
    let mut holds = Vec::new();
    for number in 1..=12 {
        let millis = 8_000 * u64::from(number);
        die(&mut quarantine, millis, number, VERSION);
        quarantine.apply_answers(&completed);
        holds.extend(refusal(&quarantine, millis).map(|hold| hold.as_secs()));
    }
    assert_eq!(holds, [2, 4, 8, 16, 32, 64, 128, 256, 512, 600, 600]);
}

/// Guards against a short refusal of a request that crashes each endpoint of one version, as another version answers it and an
/// endpoint of that one died too.
#[test]
fn a_request_that_crashes_one_version_is_refused_for_long_beside_a_death_of_another_one() {
    let mut quarantine = Quarantine::new(Settings::default());
    let completed = Completed::default();
    answer(&completed, 500, OTHER_VERSION);
    for (number, version) in [(1, OTHER_VERSION), (2, VERSION), (3, VERSION)] {
        die(&mut quarantine, 8_000 * u64::from(number), number, version);
        quarantine.apply_answers(&completed);
    }
    assert_eq!(refusal(&quarantine, 24_000), Some(Settings::default().hold));
}

/// Guards against a long refusal of a request of many callers where endpoints do not state their versions.
#[test]
fn an_answer_of_an_unknown_version_shortens_a_refusal_and_excuses_no_death() {
    let mut quarantine = Quarantine::new(Settings::default());
    let completed = Completed::default();
    for number in 1..=2 {
        let millis = 8_000 * u64::from(number);
        die(&mut quarantine, millis, number, VERSION);
        quarantine.record_version(at(millis), instance(number), None);
    }
    assert_eq!(refusal(&quarantine, 16_000), Some(Settings::default().hold));
    completed.record(at(16_500), POPULAR);
    assert!(!quarantine.apply_answers(&completed));
    let left = Settings::default()
        .answered_hold
        .saturating_sub(Duration::from_millis(500));
    assert_eq!(refusal(&quarantine, 16_500), Some(left));
}

/// Guards against entries that refuse a request of which others know that it was answered whole.
#[test]
fn entries_tell_each_other_of_excused_deaths() {
    let (mut one, mut other) = (
        Quarantine::new(Settings::default()),
        Quarantine::new(Settings::default()),
    );
    die(&mut one, 1_000, 1, VERSION);
    other.merge(at(1_100), &one.suspicions(at(1_100)));
    let completed = Completed::default();
    answer(&completed, 1_300, VERSION);
    one.apply_answers(&completed);
    other.merge(at(1_500), &one.suspicions(at(1_500)));
    die(&mut other, 9_000, 2, VERSION);
    assert_eq!(refusal(&other, 9_000), None);
    // A late message of an entry that does not know of the answer changes nothing.
    let mut late = Quarantine::new(Settings::default());
    die(&mut late, 1_000, 1, VERSION);
    other.merge(at(9_100), &late.suspicions(at(9_100)));
    assert_eq!(refusal(&other, 9_100), None);
}

quickcheck! {
    /// Guards against a crashing request that is excused without an answer to it.
    fn a_request_that_is_never_answered_whole_stays_refused(deaths: Vec<u8>, others: Vec<u8>) -> bool {
        let mut quarantine = Quarantine::new(Settings::default());
        let completed = Completed::default();
        for other in others {
            completed.record(at(30_000), Fingerprint::new(100 + u128::from(other)).at_version(VERSION));
        }
        for (step, number) in deaths.iter().enumerate() {
            die(&mut quarantine, 1_000 + 4_000 * step as u64, *number, VERSION);
        }
        let before = quarantine.suspicions(at(30_000));
        !quarantine.apply_answers(&completed) && quarantine.suspicions(at(30_000)) == before
    }
}
