//! Rate limits that servers announce, in virtual time.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::throttle::DEPUTY_COST;
use bergamotshift_limit::throttle::RateLimit;
use bergamotshift_limit::throttle::Throttle;
use quickcheck::TestResult;
use quickcheck::quickcheck;

/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Bound while two clients grant: a multiple of the rate, and additional requests.
const BOUND: (f64, f64) = (1.5, 5.0);

fn at(millis: u64) -> Instant {
    Instant::from_millis(10_000 + millis)
}

fn limited(rate: f64) -> Throttle {
    let throttle = Throttle::default();
    assert!(throttle.update(RateLimit::named(rate, at(0)), true));
    throttle
}

/// Returns the maximum number of grants within a window.
fn max_in_window(grants: &[Instant]) -> usize {
    let within = |from: &Instant| {
        grants
            .iter()
            .filter(|at| **at >= *from && at.since(*from) < WINDOW)
            .count()
    };
    grants.iter().map(within).max().unwrap_or_default()
}

quickcheck! {
    /// Guards against a budget that grows when clients ask often.
    fn no_window_holds_more_than_the_rate(rate: u8, gaps: Vec<u8>) -> TestResult {
        if rate == 0 {
            return TestResult::discard();
        }
        let throttle = limited(f64::from(rate));
        let mut now = at(0);
        let mut grants = Vec::new();
        for gap in gaps.iter().cycle().take(gaps.len() * 20) {
            now = now + Duration::from_millis(u64::from(*gap));
            if throttle.grant(now, 1).is_ok() {
                grants.push(now);
            }
        }
        let most = f64::from(rate) * WINDOW.as_secs_f64() * 1.1 + 2.0;
        TestResult::from_bool(max_in_window(&grants) as f64 <= most)
    }
}

/// Guards against exceeding the rate while the first granter and its deputy grant at the same time.
#[test]
fn a_granter_and_its_deputy_together_stay_within_the_bound() {
    for rate in [0.0, 0.3, 1.0, 4.0, 30.0, 200.0] {
        let (first, second) = (limited(rate), limited(rate));
        let mut grants = Vec::new();
        for millis in 0..20_000 {
            let now = at(millis);
            let granted = [first.grant(now, 1), second.grant(now, DEPUTY_COST)];
            grants.extend(granted.iter().filter(|granted| granted.is_ok()).map(|_| now));
        }
        let (share, more) = BOUND;
        let allowed = rate * share * WINDOW.as_secs_f64() + more;
        let most = max_in_window(&grants) as f64;
        assert!(most <= allowed, "{most} of {allowed} at {rate} a second");
    }
}

/// Guards against exceeding the rate when the granter changes and each one has a budget of its own.
#[test]
fn a_successor_that_grants_for_two_seconds_beside_the_first_stays_within_the_bound() {
    for rate in [0.3, 1.0, 4.0, 30.0] {
        let (first, successor) = (limited(rate), limited(rate));
        let mut grants = Vec::new();
        for millis in 0..12_000 {
            let now = at(millis);
            let mut granted = Vec::new();
            if millis < 6_000 {
                granted.push(first.grant(now, 1));
            }
            if millis >= 4_000 {
                granted.push(successor.grant(now, 1));
            }
            grants.extend(granted.iter().filter(|granted| granted.is_ok()).map(|_| now));
        }
        let (share, more) = BOUND;
        let most = max_in_window(&grants) as f64;
        assert!(
            most <= rate * share * WINDOW.as_secs_f64() + more,
            "{most} at {rate} a second"
        );
    }
}

/// Guards against an answer from before the limit that arrives after the limit is known.
#[test]
fn an_answer_that_arrives_out_of_order_lifts_no_limit() {
    let throttle = limited(2.0);
    assert!(!throttle.update(RateLimit::lifted(Instant::from_millis(9_990)), true));
    assert_eq!(throttle.rate(), Some(2.0));
    assert!(throttle.update(RateLimit::lifted(at(1)), true));
    assert_eq!(throttle.rate(), None);
}

/// Guards against a pause that continues after the limit was lifted.
#[test]
fn a_lifted_limit_ends_the_pause_at_once() {
    let throttle = limited(0.01);
    throttle.pause(at(100_000));
    assert!(throttle.paused_until(at(1)).is_some());
    assert!(throttle.update(RateLimit::lifted(at(1)), false));
    assert_eq!(throttle.paused_until(at(2)), None);
    assert_eq!(throttle.grant(at(2), 1), Ok(()));
}

/// Guards against a server with a rate of zero that gets no requests and so can never lift its limit.
#[test]
fn a_server_with_a_rate_of_zero_still_gets_some_requests() {
    let throttle = limited(0.0);
    let granted = (0..60_000)
        .filter(|millis| throttle.grant(at(*millis), 1).is_ok())
        .count();
    assert!((5..=7).contains(&granted), "{granted} in a minute");
}

/// Guards against limits that circulate among clients and hide that the limit was lifted.
#[test]
fn only_limits_received_from_the_server_are_passed_on() {
    let throttle = Throttle::default();
    assert!(throttle.update(RateLimit::named(1.0, at(0)), false));
    assert_eq!(throttle.direct_limit(), None);
    throttle.update(RateLimit::named(1.0, at(1)), true);
    assert_eq!(throttle.direct_limit(), Some(RateLimit::named(1.0, at(1))));
}
