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

/// Returns the ratios of measured to expected times at the median and the ninth decile.
fn deciles(mut ratios: Vec<f64>) -> (f64, f64) {
    ratios.sort_by(f64::total_cmp);
    (ratios[ratios.len() / 2], ratios[ratios.len() * 9 / 10])
}

/// Plays 20 engines that answer 2.5 times a second each for ten seconds, and returns the deciles of the last five
/// seconds by learned and by fixed figures. `time` returns the time of engine, instant and tokens.
fn play(
    time: impl Fn(usize, Instant, u64) -> f64,
    pace: impl Fn(usize, Instant) -> Option<f64>,
) -> ((f64, f64), (f64, f64)) {
    let typical = Typical::new(Settings::default());
    let engines: Vec<_> = (0..20).map(|_| Speed::default()).collect();
    let (mut learned, mut constant) = (Vec::new(), Vec::new());
    for number in 0..500 {
        let (now, engine) = (at(1_000 + number * 20), (number % 20) as usize);
        let tokens = 1_000 + (fraction(number).powi(3) * 30_000.0) as u64;
        let measured = time(engine, now, tokens) * (0.9 + 0.2 * fraction(number + 1_000));
        let expected = speed::first_event(&typical, &engines[engine], now, tokens).as_secs_f64() * 1e3;
        if number >= 250 {
            learned.push(measured / expected);
            constant.push(measured / fixed(tokens));
        }
        let pace = pace(engine, now);
        if let Some(pace) = pace {
            assert!(engines[engine].state_pace(now, pace), "it is plausible");
        }
        let sample = Sample {
            tokens,
            elapsed: millis(measured),
            pace,
        };
        typical.record(now, &engines[engine], &sample);
    }
    (deciles(learned), deciles(constant))
}

/// Guards against estimates that are too short by half at every fourth engine: these engines get as much work as the
/// others, and their queues grow until callers leave. No engine states its pace.
#[test]
fn a_quarter_of_engines_at_half_speed_is_learned_from_measurements() {
    let time = |engine, _, tokens| 110.0 + tokens as f64 / 61.0 * if engine % 4 == 0 { 2.0 } else { 1.0 };
    let (learned, fixed) = play(time, |_, _| None);
    assert!((0.9..1.1).contains(&learned.0), "median {learned:?}");
    assert!(learned.1 < 1.3, "ninth decile {learned:?}");
    assert!(fixed.1 > 2.0 * learned.1, "{fixed:?} with fixed figures");
}

/// The same with engines that state their pace, at the reading speed and the paces that were observed.
#[test]
fn engines_that_state_a_pace_are_estimated_by_it() {
    let pace = |engine: usize| if engine.is_multiple_of(4) { 120.0 } else { 55.0 };
    let time = |engine, _, tokens| 22.0 + tokens as f64 / 36.7 * pace(engine) / 100.0;
    let (learned, _) = play(time, |engine, _| Some(pace(engine)));
    assert!((0.9..1.1).contains(&learned.0), "median {learned:?}");
    assert!(learned.1 < 1.25, "ninth decile {learned:?}");
}

/// Guards against two mistakes: requests that go to an engine while it is slow as its last answer showed, and an engine
/// that is avoided long after it was slow.
#[test]
fn an_engine_that_slows_by_two_and_a_half_for_600_ms_is_slow_for_just_that_time() {
    let typical = Typical::new(Settings::default());
    let engine = Speed::default();
    let is_slow = |millis: u64| (5_000..5_600).contains(&millis);
    let mut after_phase = 0.0;
    for turn in 0..20 {
        let millis = 400 + turn * 500;
        let pace = if is_slow(millis) { 300.0 } else { 120.0 };
        assert!(engine.state_pace(at(millis), pace), "it is plausible");
        if is_slow(millis) {
            let expected = speed::first_event(&typical, &engine, at(millis + 20), 10_000).as_secs_f64();
            assert!(expected > 2.0 * fixed(10_000) / 1e3, "{expected} s in the phase");
            after_phase = engine.pace(at(millis + 600));
        }
    }
    assert_eq!(after_phase, f64::from(1.2_f32));
    assert_eq!(engine.pace(at(20_000)), f64::from(1.2_f32));
}

/// Guards against an engine that is taken for slow for good because its first answer came in a slow phase.
#[test]
fn a_first_answer_in_a_slow_phase_is_corrected_by_the_second() {
    let engine = Speed::default();
    for (time, pace) in [(1_000, 137.0), (1_400, 55.0)] {
        assert!(engine.state_pace(at(time), pace), "it is plausible");
    }
    assert_eq!(engine.pace(at(3_000)), f64::from(0.55_f32));
}

/// Guards against one malformed header that makes an engine seem infinitely fast or slow for the whole zone.
#[test]
fn an_implausible_pace_is_ignored() {
    let engine = Speed::default();
    assert!(engine.state_pace(at(1_000), 120.0), "it is plausible");
    for pace in [0.0, -5.0, 10_001.0, 1e300, f64::INFINITY, f64::NAN] {
        assert!(!engine.state_pace(at(2_000), pace), "{pace}");
    }
    assert_eq!(engine.pace(at(9_000)), f64::from(1.2_f32));
    assert!(engine.mark_reported() && !engine.mark_reported(), "it is reported once");
}

/// Guards against an engine that states four times its pace, and gets no work, or a quarter, and gets all of it.
#[test]
fn a_wrong_stated_pace_is_corrected_by_measurements() {
    for stated in [25.0, 400.0] {
        let wrong = |engine| if engine == 3 { stated } else { 100.0 };
        let time = |_, _, tokens| 30.0 + tokens as f64 / 36.7;
        let typical = Typical::new(Settings::default());
        let engines: Vec<_> = (0..20).map(|_| Speed::default()).collect();
        for number in 0..800 {
            let (now, engine) = (at(1_000 + number * 20), (number % 20) as usize);
            engines[engine].state_pace(now, wrong(engine));
            let sample = Sample {
                tokens: 5_000,
                elapsed: millis(time(engine, now, 5_000)),
                pace: Some(wrong(engine)),
            };
            typical.record(now, &engines[engine], &sample);
        }
        let expected = speed::first_event(&typical, &engines[3], at(17_000), 5_000).as_secs_f64() * 1e3;
        let ratio = time(3, at(0), 5_000) / expected;
        assert!((0.8..1.25).contains(&ratio), "{ratio} at a stated {stated}");
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

/// Guards against samples that an entry sends twice, or that arrive out of order: neither may undo what a newer one said.
#[test]
fn repeated_and_older_paces_change_nothing() {
    let engine = Speed::default();
    for (time, pace) in [
        (1_000, 120.0),
        (1_700, 120.0),
        (1_800, 300.0),
        (1_750, 55.0),
        (1_800, 55.0),
    ] {
        assert!(engine.state_pace(at(time), pace), "it is plausible");
    }
    assert_eq!(engine.pace(at(1_800)), 3.0);
    assert_eq!(engine.pace(at(2_400)), f64::from(1.2_f32));
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
