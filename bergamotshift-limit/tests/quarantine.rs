//! Crashing requests are stopped, and no others.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::prelude::*;
use bergamotshift_limit::quarantine::Attribution;
use bergamotshift_limit::quarantine::Death;
use bergamotshift_limit::quarantine::Instance;
use bergamotshift_limit::quarantine::Settings;
use bergamotshift_limit::quarantine::Suspicion;
use quickcheck::quickcheck;

const CRASHING: Fingerprint = Fingerprint::new(1);
const HARMLESS: Fingerprint = Fingerprint::new(2);

fn instance(number: u8) -> Instance {
    Instance::new(name::Vm::new(format!("vm-{number}")), Incarnation::new(1))
}

fn death(number: u8, running: &[Fingerprint]) -> Death {
    Death {
        instance: instance(number),
        announced: false,
        running: running.to_vec(),
    }
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn verdict(quarantine: &Quarantine, now: Instant, fingerprint: Fingerprint) -> Verdict {
    quarantine.table().verdict(now, fingerprint)
}

fn refused(quarantine: &Quarantine, now: Instant, fingerprint: Fingerprint) -> bool {
    matches!(verdict(quarantine, now, fingerprint), Verdict::Refused { .. })
}

/// Lets all entries tell each other their suspicions.
fn exchange(now: Instant, entries: &mut [Quarantine]) {
    let all: Vec<_> = entries.iter().map(|quarantine| quarantine.suspicions(now)).collect();
    for quarantine in entries {
        for suspicions in &all {
            quarantine.merge(now, suspicions);
        }
    }
}

#[test]
fn crashing_request_is_refused_after_two_endpoints() {
    // A request crashes vm-1, which also runs a harmless one; both are suspected and run alone. The caller sends the
    // request again and it crashes vm-2. It is then refused for ten minutes; the harmless request is never refused.
    let mut quarantine = Quarantine::new(Settings::default());
    quarantine.record_death(at(1_000), death(1, &[CRASHING, HARMLESS]));
    assert_eq!(verdict(&quarantine, at(1_000), CRASHING), Verdict::Alone);
    assert_eq!(verdict(&quarantine, at(1_000), HARMLESS), Verdict::Alone);

    quarantine.record_death(at(1_500), death(2, &[CRASHING]));
    let retry_after = Duration::from_mins(10);
    assert_eq!(
        verdict(&quarantine, at(1_500), CRASHING),
        Verdict::Refused { retry_after }
    );
    assert_eq!(verdict(&quarantine, at(1_500), HARMLESS), Verdict::Alone);
    assert_eq!(verdict(&quarantine, at(601_500), CRASHING), Verdict::Alone);
    assert_eq!(verdict(&quarantine, at(1_201_500), CRASHING), Verdict::Clear);
}

#[test]
fn crashing_request_is_refused_although_harmless_requests_report_first() {
    // Guards against treating two deaths as correlated because harmless requests report them first. Once the crashing
    // request reports the second death too, that death is explained: the request is refused before it crashes a third
    // endpoint, and the others are not refused.
    const OTHER: Fingerprint = Fingerprint::new(3);
    let mut quarantine = Quarantine::new(Settings::default());
    quarantine.record_death(at(1_000), death(1, &[HARMLESS]));
    quarantine.record_death(at(1_001), death(1, &[CRASHING]));
    quarantine.record_death(at(1_100), death(2, &[OTHER]));
    assert!(!refused(&quarantine, at(1_100), CRASHING));
    quarantine.record_death(at(1_101), death(2, &[CRASHING]));
    for now in [1_101, 9_000] {
        quarantine.expire(at(now));
        assert!(refused(&quarantine, at(now), CRASHING));
        assert!(!refused(&quarantine, at(now), HARMLESS));
        assert!(!refused(&quarantine, at(now), OTHER));
    }
}

#[test]
fn refusal_lasts_although_the_first_death_expires() {
    // The second death comes just before the first one expires; the refusal still lasts for its full time.
    let mut quarantine = Quarantine::new(Settings::default());
    quarantine.record_death(at(0), death(1, &[CRASHING]));
    quarantine.record_death(at(1_199_000), death(2, &[CRASHING]));
    quarantine.expire(at(1_798_000));
    assert!(refused(&quarantine, at(1_798_000), CRASHING));
}

#[test]
fn one_death_counts_once_for_several_reports() {
    let mut quarantine = Quarantine::new(Settings::default());
    for millis in [0, 10, 5_000] {
        quarantine.record_death(at(millis), death(1, &[CRASHING]));
    }
    assert_eq!(verdict(&quarantine, at(5_000), CRASHING), Verdict::Alone);
}

#[test]
fn unannounced_zone_loss_accuses_nobody() {
    // A zone with three endpoints is lost without notice. A harmless request ran on the first endpoint and was moved to
    // the second one, in the same zone. The third death, of an endpoint without suspected requests, shows the common
    // cause.
    let mut quarantine = Quarantine::new(Settings::default());
    quarantine.record_death(at(0), death(1, &[HARMLESS]));
    quarantine.record_death(at(300), death(2, &[HARMLESS]));
    quarantine.record_death(at(600), death(3, &[Fingerprint::new(9)]));
    assert!(quarantine.table().is_empty());
}

#[test]
fn announced_losses_do_not_count_in_either_order() {
    // The notice arrives before the death of vm-1 and after the death of vm-2, because the platform's list lags.
    let mut quarantine = Quarantine::new(Settings::default());
    quarantine.announce(at(0), instance(1));
    quarantine.record_death(at(10), death(1, &[HARMLESS]));
    quarantine.record_death(at(20), death(2, &[HARMLESS]));
    assert_eq!(verdict(&quarantine, at(20), HARMLESS), Verdict::Alone);
    quarantine.announce(at(30), instance(2));
    assert_eq!(verdict(&quarantine, at(30), HARMLESS), Verdict::Clear);

    let announced = Death {
        announced: true,
        ..death(3, &[HARMLESS])
    };
    quarantine.record_death(at(40), announced);
    assert!(quarantine.table().is_empty());
}

/// Guards against deaths that stop counting when the registrations of crashed endpoints are removed, and against ones that
/// count although their endpoints were removed in order before.
#[test]
fn removed_registrations_excuse_only_later_deaths() {
    let mut quarantine = Quarantine::new(Settings::default());
    quarantine.record_death(at(0), death(1, &[CRASHING]));
    quarantine.record_death(at(500), death(2, &[CRASHING]));
    for number in [1, 2] {
        quarantine.record_removal(at(4_000), instance(number));
    }
    assert!(refused(&quarantine, at(4_000), CRASHING));

    quarantine.record_removal(at(5_000), instance(3));
    quarantine.record_death(at(6_000), death(3, &[HARMLESS]));
    let learned = Suspicion {
        fingerprint: HARMLESS,
        deaths: vec![(instance(3), Duration::from_millis(100), Attribution::Counted)],
    };
    quarantine.merge(at(6_100), &[learned]);
    assert_eq!(verdict(&quarantine, at(6_100), HARMLESS), Verdict::Clear);
}

/// Guards against deaths that do not count because the registrations of their endpoints had lapsed and returned before, and
/// against an entry that does not know of the return and overrules the others.
#[test]
fn removals_that_were_undone_excuse_no_death() {
    let mut entries = vec![Quarantine::new(Settings::default()); 2];
    for quarantine in &mut entries {
        for number in [1, 2] {
            quarantine.record_removal(at(0), instance(number));
        }
    }
    for number in [1, 2] {
        entries[0].record_return(&instance(number));
    }
    for number in [1, 2] {
        let now = at(500 * u64::from(number));
        entries[usize::from(number - 1)].record_death(now, death(number, &[CRASHING]));
    }
    exchange(at(1_100), &mut entries);
    exchange(at(1_200), &mut entries);
    assert!(refused(&entries[0], at(1_200), CRASHING));
    assert_eq!(entries[1].tally(CRASHING).removed, 2);
    for number in [1, 2] {
        entries[1].record_return(&instance(number));
    }
    assert!(refused(&entries[1], at(1_300), CRASHING));
}

/// Guards against a crashing request that goes on as nobody can tell the deaths from a cut, and against a harmless one that a
/// cut has refused for long.
#[test]
fn unconfirmed_deaths_refuse_a_request_for_a_short_time() {
    let hold = Settings::default().unconfirmed_hold;
    let mut quarantine = Quarantine::new(Settings::default());
    for number in [1, 2] {
        quarantine.record_unconfirmed(at(0), &instance(number), &[CRASHING]);
    }
    assert_eq!(verdict(&quarantine, at(0), CRASHING), Verdict::Clear);
    quarantine.record_unconfirmed(at(1_000), &instance(3), &[CRASHING]);
    assert!(refused(&quarantine, at(1_000), CRASHING));
    assert!(!refused(&quarantine, at(1_000) + hold, CRASHING));

    // Another entry confirms two of the deaths.
    let mut other = Quarantine::new(Settings::default());
    for number in [1, 2] {
        other.record_death(at(100 * u64::from(number)), death(number, &[CRASHING]));
    }
    quarantine.merge(at(1_000), &other.suspicions(at(1_000)));
    assert!(refused(&quarantine, at(1_000) + hold, CRASHING));
}

#[test]
fn crashing_requests_that_look_correlated_are_still_stopped() {
    // Two requests repeatedly crash two endpoints at the same time, which looks correlated and is forgiven. The number
    // of forgiven deaths is bounded, so both are refused in the end.
    let other = Fingerprint::new(3);
    let mut quarantine = Quarantine::new(Settings::default());
    let mut crashes = 0;
    for round in 0..10 {
        let now = at(u64::from(round) * 10_000);
        if refused(&quarantine, now, CRASHING) && refused(&quarantine, now, other) {
            break;
        }
        quarantine.record_death(now, death(2 * round, &[CRASHING]));
        quarantine.record_death(now, death(2 * round + 1, &[other]));
        crashes += 2;
    }
    assert!(crashes <= 12, "{crashes} endpoints died");
}

#[test]
fn entries_agree_after_exchanging_suspicions() {
    // Each of two entries observed one death, so neither refuses the request yet. Their clocks differ by an hour, so
    // deaths are sent with their age. After one exchange, both refuse it.
    let hour = Duration::from_hours(1);
    let mut left = Quarantine::new(Settings::default());
    let mut right = Quarantine::new(Settings::default());
    left.record_death(at(1_000), death(1, &[CRASHING]));
    right.record_death(at(9_000) + hour, death(2, &[CRASHING]));
    let exported = left.suspicions(at(10_000));
    left.merge(at(10_000), &right.suspicions(at(10_000) + hour));
    right.merge(at(10_000) + hour, &exported);
    assert!(refused(&left, at(10_000), CRASHING));
    assert!(refused(&right, at(10_000) + hour, CRASHING));
}

/// Guards against a crashing request that goes on because each entry also sees harmless requests end on the same
/// endpoints, takes the deaths for correlated ones, and tells the others of none.
#[test]
fn harmless_requests_on_the_same_endpoints_hide_no_crashing_one() {
    let stable = Duration::from_secs(3);
    let mut entries = vec![Quarantine::new(Settings::default()); 3];
    let mut now = at(1_000);
    for endpoint in 0..3_u8 {
        for (entry, quarantine) in entries.iter_mut().enumerate() {
            let harmless = Fingerprint::new(u128::from(10 * (endpoint + 1)) + entry as u128);
            let running = if entry == usize::from(endpoint) {
                CRASHING
            } else {
                harmless
            };
            quarantine.record_death(now, death(endpoint, &[running]));
        }
        now = now + Duration::from_millis(400);
        exchange(now, &mut entries);
    }
    now = now + stable;
    for quarantine in &mut entries {
        quarantine.expire(now);
        assert!(refused(quarantine, now, CRASHING));
    }
}

#[test]
fn old_suspicion_does_not_restore_an_expired_death() {
    let mut quarantine = Quarantine::new(Settings::default());
    let age = Duration::from_hours(1);
    let suspicion = Suspicion {
        fingerprint: CRASHING,
        deaths: vec![(instance(1), age, Attribution::Counted)],
    };
    quarantine.merge(Instant::from_secs(10_000), &[suspicion]);
    assert!(quarantine.suspicions(Instant::from_secs(10_000)).is_empty());
}

#[test]
fn memory_is_bounded() {
    let settings = Settings {
        capacity: 10,
        ..Settings::default()
    };
    let mut quarantine = Quarantine::new(settings);
    for number in 0..100_u8 {
        let now = Instant::from_secs(u64::from(number) * 5);
        quarantine.record_death(now, death(number, &[Fingerprint::new(u128::from(number))]));
    }
    assert_eq!(quarantine.table().len(), 10);
    let newest = Fingerprint::new(99);
    assert_eq!(verdict(&quarantine, Instant::from_secs(495), newest), Verdict::Alone);
}

/// Builds a quarantine from raw steps: endpoint, request, whether announced, and seconds since the last step.
fn from_steps(steps: &[(u8, u8, bool, u8)]) -> Quarantine {
    let mut quarantine = Quarantine::new(Settings::default());
    let mut now = Instant::ZERO;
    for (number, request, announced, pause) in steps {
        now = now + Duration::from_secs(u64::from(pause % 8));
        let running = vec![Fingerprint::new(u128::from(request % 4))];
        let instance = instance(number % 8);
        let announced = *announced;
        quarantine.record_death(
            now,
            Death {
                instance,
                announced,
                running,
            },
        );
    }
    quarantine
}

quickcheck! {
    fn merge_commutes_and_repeats(left: Vec<(u8, u8, bool, u8)>, right: Vec<(u8, u8, bool, u8)>) -> bool {
        let now = Instant::from_secs(3_000);
        let (left, right) = (from_steps(&left), from_steps(&right));
        let (mut one, mut two) = (Quarantine::new(Settings::default()), Quarantine::new(Settings::default()));
        one.merge(now, &left.suspicions(now));
        one.merge(now, &right.suspicions(now));
        two.merge(now, &right.suspicions(now));
        two.merge(now, &left.suspicions(now));
        two.merge(now, &right.suspicions(now));
        one.suspicions(now) == two.suspicions(now)
    }

    fn announced_deaths_never_refuse(steps: Vec<(u8, u8, bool, u8)>) -> bool {
        let announced: Vec<_> = steps.into_iter().map(|(vm, request, _, pause)| (vm, request, true, pause)).collect();
        from_steps(&announced).table().is_empty()
    }
}
