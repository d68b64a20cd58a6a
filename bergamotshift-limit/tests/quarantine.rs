//! Poisonous requests are stopped, and nobody else is.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::prelude::*;
use bergamotshift_limit::quarantine::Attribution;
use bergamotshift_limit::quarantine::Death;
use bergamotshift_limit::quarantine::Instance;
use bergamotshift_limit::quarantine::Settings;
use bergamotshift_limit::quarantine::Suspicion;
use quickcheck::quickcheck;

const POISON: Fingerprint = Fingerprint::new(1);
const INNOCENT: Fingerprint = Fingerprint::new(2);

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

#[test]
fn poison_stops_after_two_endpoints() {
    // The caller's request crashes vm-1, which also ran an innocent one; both are suspected and run alone. The
    // caller sends it again and vm-2 dies with nothing else on it. From then on the caller is refused for ten
    // minutes after that death, and told so; the innocent request was never refused.
    let mut quarantine = Quarantine::new(Settings::default());
    quarantine.record_death(at(1_000), death(1, &[POISON, INNOCENT]));
    assert_eq!(verdict(&quarantine, at(1_000), POISON), Verdict::Alone);
    assert_eq!(verdict(&quarantine, at(1_000), INNOCENT), Verdict::Alone);

    quarantine.record_death(at(1_500), death(2, &[POISON]));
    let retry_after = Duration::from_mins(10);
    assert_eq!(
        verdict(&quarantine, at(1_500), POISON),
        Verdict::Refused { retry_after }
    );
    assert_eq!(verdict(&quarantine, at(1_500), INNOCENT), Verdict::Alone);
    assert_eq!(verdict(&quarantine, at(601_500), POISON), Verdict::Alone);
    assert_eq!(verdict(&quarantine, at(1_201_500), POISON), Verdict::Clear);
}

#[test]
fn poison_is_refused_although_innocent_requests_report_first() {
    // Both of its endpoints ran other requests, and each of those tells of the death before the poisonous one does.
    // For that moment the two deaths look like a wave and nobody is refused. As soon as it reports itself the second
    // death is explained, so it is refused before it kills a third; the others are not, then or later.
    const OTHER: Fingerprint = Fingerprint::new(3);
    let mut quarantine = Quarantine::new(Settings::default());
    quarantine.record_death(at(1_000), death(1, &[INNOCENT]));
    quarantine.record_death(at(1_001), death(1, &[POISON]));
    quarantine.record_death(at(1_100), death(2, &[OTHER]));
    assert!(!refused(&quarantine, at(1_100), POISON));
    quarantine.record_death(at(1_101), death(2, &[POISON]));
    for now in [1_101, 9_000] {
        quarantine.expire(at(now));
        assert!(refused(&quarantine, at(now), POISON));
        assert!(!refused(&quarantine, at(now), INNOCENT));
        assert!(!refused(&quarantine, at(now), OTHER));
    }
}

#[test]
fn refusal_lasts_although_first_death_grows_old() {
    // The second death comes just before the first would be forgotten; the refusal still lasts its stated time.
    let mut quarantine = Quarantine::new(Settings::default());
    quarantine.record_death(at(0), death(1, &[POISON]));
    quarantine.record_death(at(1_199_000), death(2, &[POISON]));
    quarantine.expire(at(1_798_000));
    assert!(refused(&quarantine, at(1_798_000), POISON));
}

#[test]
fn one_death_counts_once_whoever_reports_it() {
    let mut quarantine = Quarantine::new(Settings::default());
    for millis in [0, 10, 5_000] {
        quarantine.record_death(at(millis), death(1, &[POISON]));
    }
    assert_eq!(verdict(&quarantine, at(5_000), POISON), Verdict::Alone);
}

#[test]
fn unannounced_zone_loss_accuses_nobody() {
    // A zone with three endpoints is lost without notice. The innocent request ran on the first, was moved to the
    // second inside the zone and lost that too; the third death, of an endpoint that ran nothing suspected, shows
    // the common cause. Sizes of today: three model endpoints in each zone.
    let mut quarantine = Quarantine::new(Settings::default());
    quarantine.record_death(at(0), death(1, &[INNOCENT]));
    quarantine.record_death(at(300), death(2, &[INNOCENT]));
    quarantine.record_death(at(600), death(3, &[Fingerprint::new(9)]));
    assert!(quarantine.table().is_empty());
}

#[test]
fn announced_losses_do_not_count_in_either_order() {
    // The notice is heard before the death of vm-1 and after the deaths of vm-2, as the platform's list lags.
    let mut quarantine = Quarantine::new(Settings::default());
    quarantine.announce(at(0), instance(1));
    quarantine.record_death(at(10), death(1, &[INNOCENT]));
    quarantine.record_death(at(20), death(2, &[INNOCENT]));
    assert_eq!(verdict(&quarantine, at(20), INNOCENT), Verdict::Alone);
    quarantine.announce(at(30), instance(2));
    assert_eq!(verdict(&quarantine, at(30), INNOCENT), Verdict::Clear);

    let announced = Death {
        announced: true,
        ..death(3, &[INNOCENT])
    };
    quarantine.record_death(at(40), announced);
    assert!(quarantine.table().is_empty());
}

#[test]
fn poison_that_starts_within_a_wave_is_still_stopped() {
    // Two poisonous requests crash two endpoints in the same second, which looks like a wave and is forgiven. They
    // are sent again and again, always at the same moment; the pardons run out and both are refused.
    let other = Fingerprint::new(3);
    let mut quarantine = Quarantine::new(Settings::default());
    let mut crashes = 0;
    for round in 0..10 {
        let now = at(u64::from(round) * 10_000);
        if refused(&quarantine, now, POISON) && refused(&quarantine, now, other) {
            break;
        }
        quarantine.record_death(now, death(2 * round, &[POISON]));
        quarantine.record_death(now, death(2 * round + 1, &[other]));
        crashes += 2;
    }
    assert!(crashes <= 12, "{crashes} endpoints died");
}

#[test]
fn entries_agree_after_exchanging_suspicions() {
    // Each of two entries saw one death of the request and neither would refuse it. Their clocks differ by an hour,
    // so deaths travel with their age. After one exchange both refuse.
    let hour = Duration::from_hours(1);
    let mut left = Quarantine::new(Settings::default());
    let mut right = Quarantine::new(Settings::default());
    left.record_death(at(1_000), death(1, &[POISON]));
    right.record_death(at(9_000) + hour, death(2, &[POISON]));
    let told = left.suspicions(at(10_000));
    left.merge(at(10_000), &right.suspicions(at(10_000) + hour));
    right.merge(at(10_000) + hour, &told);
    assert!(refused(&left, at(10_000), POISON));
    assert!(refused(&right, at(10_000) + hour, POISON));
}

#[test]
fn old_rumour_does_not_bring_a_forgotten_death_back() {
    let mut quarantine = Quarantine::new(Settings::default());
    let age = Duration::from_hours(1);
    let rumour = Suspicion {
        fingerprint: POISON,
        deaths: vec![(instance(1), age, Attribution::Counted)],
    };
    quarantine.merge(Instant::from_secs(10_000), &[rumour]);
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

/// Builds a quarantine from raw steps: which endpoint, which request, whether announced, seconds since the last step.
fn folded(steps: &[(u8, u8, bool, u8)]) -> Quarantine {
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
        let (left, right) = (folded(&left), folded(&right));
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
        folded(&announced).table().is_empty()
    }
}
