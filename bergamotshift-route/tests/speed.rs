//! Learned speeds of endpoints, compared with the fixed figures of the estimate before them, in virtual time.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_route::speed;
use bergamotshift_route::speed::Sample;
use bergamotshift_route::speed::Settings;
use bergamotshift_route::speed::Speed;
use bergamotshift_route::speed::Typical;
use quickcheck::quickcheck;
use xxhash_rust::xxh3::xxh3_64;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn millis(time: f64) -> Duration {
    Duration::from_secs_f64(time / 1e3)
}

/// Returns a number between 0 and 1 that depends on `seed` only.
fn fraction(seed: u64) -> f64 {
    (xxh3_64(&seed.to_le_bytes()) % 10_000) as f64 / 1e4
}

/// Returns the estimate before learned speeds, in milliseconds.
fn fixed(tokens: u64) -> f64 {
    tokens as f64 * Settings::default().token_time
}

/// Returns a speed that was stated at times in milliseconds.
fn stated(paces: &[(u64, f64)]) -> Speed {
    let speed = Speed::default();
    for (time, pace) in paces {
        assert!(speed.state_pace(at(*time), *pace), "{pace} is plausible");
    }
    speed
}

/// Plays 20 engines for 20 s, each of which gets a prompt of 1,000 to 21,000 tokens every 400 ms, and returns the ratios
/// of measured to expected times at the median and the ninth decile, by learned and by fixed figures.
///
/// `pace` returns the factor of an engine at a time in milliseconds; engines state it if `is_stated`.
fn play(overhead: f64, rate: f64, is_stated: bool, pace: impl Fn(u64, f64) -> f64) -> [(f64, f64); 2] {
    let typical = Typical::new(Settings::default());
    let engines: Vec<_> = (0..20).map(|_| Speed::default()).collect();
    let mut ratios = [Vec::new(), Vec::new()];
    let mut running: Vec<(f64, usize, Sample)> = Vec::new();
    for number in 0..1_000 {
        let (engine, begun) = (number % 20, 1_000.0 + number as f64 * 20.0);
        running.sort_by(|one, other| one.0.total_cmp(&other.0));
        while running.first().is_some_and(|first| first.0 <= begun) {
            let (end, engine, sample) = running.remove(0);
            let end = at(end as u64);
            sample.pace.map(|pace| engines[engine].state_pace(end, pace));
            typical.record(end, &engines[engine], &sample);
        }
        let tokens = 1_000 + (fraction(number as u64).powi(3) * 20_000.0) as u64;
        let (mut left, mut end) = (tokens as f64 / rate, begun);
        while left > 0.0 {
            let step = left.min(1.0);
            end += step * pace(engine as u64, end);
            left -= step;
        }
        let elapsed = (end - begun + overhead) * (0.95 + 0.1 * fraction(number as u64 + 5_000));
        let expected = speed::first_event(&typical, &engines[engine], at(begun as u64), tokens);
        if begun > 6_000.0 {
            ratios[0].push(elapsed / (expected.as_secs_f64() * 1e3));
            ratios[1].push(elapsed / fixed(tokens));
        }
        let sample = Sample {
            tokens,
            elapsed: millis(elapsed),
            pace: is_stated.then(|| pace(engine as u64, end) * 100.0),
        };
        running.push((begun + elapsed, engine, sample));
    }
    ratios.map(|mut ratios| {
        ratios.sort_by(f64::total_cmp);
        (ratios[ratios.len() / 2], ratios[ratios.len() * 9 / 10])
    })
}

/// Guards against estimates that are too short by half at every fourth engine: these engines get as much work as the
/// others, and their queues grow until callers leave. No engine states its pace.
#[test]
fn a_quarter_of_engines_at_half_speed_is_learned_from_measurements() {
    let [learned, fixed] = play(
        110.0,
        61.0,
        false,
        |engine, _| if engine.is_multiple_of(4) { 2.0 } else { 1.0 },
    );
    assert!((0.9..1.1).contains(&learned.0), "median {learned:?}");
    assert!(
        learned.1 < 1.25 && fixed.1 > 2.0 * learned.1,
        "{learned:?}, fixed {fixed:?}"
    );
}

/// The same at the paces that were observed, with slow phases that the answers state too late for some prompts.
#[test]
fn engines_that_state_a_pace_are_estimated_by_it_through_slow_phases() {
    let pace = |engine: u64, time: f64| {
        let is_slow = fraction(engine * 1_000_003 + (time / 600.0) as u64) < 0.15;
        (if engine.is_multiple_of(4) { 0.55 } else { 1.2 }) * if is_slow { 2.5 } else { 1.0 }
    };
    let [learned, fixed] = play(22.0, 36.7, true, pace);
    assert!((0.9..1.1).contains(&learned.0), "median {learned:?}");
    assert!(
        learned.1 < 1.7 && fixed.1 > 1.5 * learned.1,
        "{learned:?}, fixed {fixed:?}"
    );
}

/// Guards against two mistakes: requests that go to an engine while it is slow as its last answer showed, and an engine
/// that is avoided long after it was slow.
#[test]
fn an_engine_that_slows_by_two_and_a_half_for_600_ms_is_slow_for_just_that_time() {
    let typical = Typical::new(Settings::default());
    let answers = (0..10).map(|turn| 400 + turn * 500);
    let pace = |millis| if millis == 4_900 { 300.0 } else { 120.0 };
    let engine = stated(&answers.map(|millis| (millis, pace(millis))).collect::<Vec<_>>());
    let expected = speed::first_event(&typical, &engine, at(4_920), 10_000).as_secs_f64() * 1e3;
    assert!(expected > 2.5 * fixed(10_000), "{expected} ms in the phase");
    assert_eq!(engine.pace(at(5_500)), f64::from(1.2_f32));
}

/// Guards against an engine that is taken for slow for good because its first answer came in a slow phase.
#[test]
fn a_first_answer_in_a_slow_phase_is_corrected_by_the_second() {
    let engine = stated(&[(1_000, 137.0), (1_400, 55.0)]);
    assert_eq!(engine.pace(at(3_000)), f64::from(0.55_f32));
}

/// Guards against samples that arrive twice or out of order: neither may undo what a newer one said.
#[test]
fn repeated_and_older_paces_change_nothing() {
    let engine = stated(&[
        (1_000, 120.0),
        (1_700, 120.0),
        (1_800, 300.0),
        (1_750, 55.0),
        (1_800, 55.0),
    ]);
    assert_eq!(engine.pace(at(1_800)), 3.0);
    assert_eq!(engine.pace(at(2_400)), f64::from(1.2_f32));
}

/// Guards against one malformed header that makes an engine seem infinitely fast or slow for the whole zone.
#[test]
fn an_implausible_pace_is_ignored() {
    let engine = stated(&[(1_000, 120.0)]);
    for pace in [0.0, -5.0, 10_001.0, 1e300, f64::INFINITY, f64::NAN] {
        assert!(!engine.state_pace(at(2_000), pace), "{pace}");
    }
    assert_eq!(engine.pace(at(9_000)), f64::from(1.2_f32));
    assert!(engine.mark_reported() && !engine.mark_reported(), "it is reported once");
}

/// Guards against an engine that states four times its pace, and gets no work, or a quarter, and gets all of it.
#[test]
fn a_wrong_stated_pace_is_corrected_by_measurements() {
    for wrong in [25.0, 400.0] {
        let typical = Typical::new(Settings::default());
        let engines: Vec<_> = (0..20).map(|_| Speed::default()).collect();
        let elapsed = millis(30.0 + 5_000.0 / 36.7);
        for number in 0..800 {
            let (now, engine) = (at(1_000 + number * 20), (number % 20) as usize);
            let pace = if engine == 3 { wrong } else { 100.0 };
            engines[engine].state_pace(now, pace);
            let sample = Sample {
                tokens: 5_000,
                elapsed,
                pace: Some(pace),
            };
            typical.record(now, &engines[engine], &sample);
        }
        let expected = speed::first_event(&typical, &engines[3], at(17_000), 5_000);
        let ratio = elapsed.as_secs_f64() / expected.as_secs_f64();
        assert!((0.8..1.25).contains(&ratio), "{ratio} at a stated {wrong}");
    }
}

/// Guards against one late event, for instance because a VM was suspended, that makes all engines of a service seem slow.
#[test]
fn one_outlier_changes_no_figure_by_more_than_a_factor_of_two() {
    for elapsed in [1, 600_000] {
        let (typical, engine) = (Typical::new(Settings::default()), Speed::default());
        let outlier = Sample {
            tokens: 5_000,
            elapsed: Duration::from_millis(elapsed),
            pace: None,
        };
        typical.record(at(1_000), &engine, &outlier);
        let default = Settings::default();
        let changes = [
            typical.token_time() / default.token_time,
            typical.overhead() / (default.overhead.as_secs_f64() * 1e3),
            engine.pace(at(2_000)),
        ];
        assert!(changes.iter().all(|change| (0.5..=2.0).contains(change)), "{changes:?}");
    }
}

/// Guards against small prompts that are taken for a slow engine: their times consist of the overhead.
#[test]
fn small_prompts_teach_the_overhead_only() {
    let (typical, engine) = (Typical::new(Settings::default()), Speed::default());
    for number in 0..50 {
        let sample = Sample {
            tokens: 100,
            elapsed: millis(112.0),
            pace: None,
        };
        typical.record(at(number * 100), &engine, &sample);
    }
    assert_eq!(typical.token_time(), Settings::default().token_time);
    assert_eq!(engine.pace(at(9_000)), 1.0);
    assert!((105.0..115.0).contains(&typical.overhead()), "{}", typical.overhead());
}

quickcheck! {
    /// Guards against a sequence of samples, however wrong, after which an estimate is no finite positive time.
    fn no_samples_make_an_estimate_useless(samples: Vec<(u32, u32, Option<u32>)>) -> bool {
        let (typical, engine) = (Typical::new(Settings::default()), Speed::default());
        for (number, (tokens, elapsed, pace)) in samples.into_iter().enumerate() {
            let now = at(number as u64 * 90);
            let sample = Sample {
                tokens: tokens.into(),
                elapsed: Duration::from_millis(elapsed.into()),
                pace: pace.map(f64::from),
            };
            if let Some(pace) = sample.pace {
                engine.state_pace(now, pace);
            }
            typical.record(now, &engine, &sample);
        }
        let expected = speed::first_event(&typical, &engine, at(60_000), 10_000).as_secs_f64();
        expected > 0.0 && expected < 3_600.0 * 100.0
    }
}
