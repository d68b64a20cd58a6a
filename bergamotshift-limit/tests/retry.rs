//! Retry budgets, retry decisions, backoff and hedging.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::prelude::*;
use bergamotshift_limit::retry::Decision;
use bergamotshift_limit::retry::Failure;
use bergamotshift_limit::retry::Policy;
use bergamotshift_limit::retry::Reason;
use bergamotshift_limit::retry::Request;
use quickcheck::quickcheck;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

const REQUEST: Request = Request {
    repeatable: true,
    attempts: 1,
    deadline: Instant::from_secs(30),
};

/// Runs `requests` against endpoints that fail with a probability; returns the attempts and the failed requests.
fn attempts_while_failing(requests: u64, probability: f64) -> (u64, u64) {
    let budget = Budget::new(retry::Settings::default());
    let policy = Policy::default();
    let mut rng = Pcg64Mcg::new(11);
    let (mut attempts, mut failed) = (0, 0);
    for _ in 0..requests {
        budget.deposit();
        let mut request = Request { attempts: 0, ..REQUEST };
        loop {
            request.attempts += 1;
            attempts += 1;
            if !rng.random_bool(probability) {
                break;
            }
            let decision = policy.decide(Instant::ZERO, request, Failure::Broken, &budget, &mut rng);
            if matches!(decision, Decision::Stop(_)) {
                failed += 1;
                break;
            }
        }
    }
    (attempts, failed)
}

#[test]
fn third_of_endpoints_failing_cannot_multiply_load() {
    // Every third attempt fails, which without a budget would cause 1.44 attempts per request. The budget adds a fifth
    // of an attempt per request, after the initial reserve is paid back, so the load stays below 1.2 times the
    // requests. Requests without budget fail at once.
    let (attempts, failed) = attempts_while_failing(10_000, 1.0 / 3.0);
    assert!(attempts < 12_000, "{attempts} attempts");
    assert!(attempts > 11_900, "the budget is used: {attempts} attempts");
    assert!(failed > 0);
}

#[test]
fn rare_failures_are_all_retried() {
    let (_, failed) = attempts_while_failing(10_000, 0.02);
    assert_eq!(failed, 0);
}

#[test]
fn first_failure_is_retried_from_the_reserve() {
    let budget = Budget::new(retry::Settings::default());
    budget.deposit();
    assert!(budget.try_withdraw());
}

// An entry that starts assumes a fleet of a dozen entries and gets its part of the retry budget. When it learns that
// there are dozens, it must not spend what it saved beyond its smaller part, or all entries together would exceed the
// bound.
#[test]
fn a_smaller_bound_takes_what_was_saved() {
    let budget = Budget::new(retry::Settings {
        ratio: 0.0,
        reserve: 16,
        burst: 16,
    });
    budget.set_burst(2);
    let taken = (0..100).filter(|_| budget.try_withdraw()).count();
    assert_eq!(taken, 1, "a withdrawal leaves some of the balance");
    budget.set_burst(16);
    assert!(!budget.try_withdraw(), "a larger bound lends nothing");
}

#[test]
fn refund_gives_one_attempt_back() {
    let budget = Budget::new(retry::Settings::default());
    let before = budget.available();
    assert!(budget.try_withdraw());
    budget.refund();
    assert_eq!(budget.available(), before);
}

quickcheck! {
    fn extra_attempts_stay_under_the_bound(steps: Vec<bool>, percent: u8, reserve: u8) -> bool {
        let ratio = f64::from(percent % 100) / 100.0;
        let reserve = u32::from(reserve % 20);
        let budget = Budget::new(retry::Settings { ratio, reserve, burst: 50 });
        let (mut requests, mut extra) = (0_u32, 0_u32);
        steps.into_iter().all(|arrives| {
            if arrives {
                budget.deposit();
                requests += 1;
            } else if budget.try_withdraw() {
                extra += 1;
            }
            extra == 0 || f64::from(extra) < f64::from(reserve).max(ratio * f64::from(requests))
        })
    }

    fn backoff_stays_between_half_and_whole_ceiling(retries: u32, seed: u64) -> bool {
        let backoff = Backoff::default();
        let ceiling = backoff.ceiling(retries);
        let delay = backoff.delay(retries, &mut Pcg64Mcg::new(u128::from(seed)));
        ceiling <= backoff.cap && delay <= ceiling && delay + Duration::from_micros(1) >= ceiling / 2
    }
}

#[test]
fn decisions_depend_on_request_and_failure() {
    let once = Request {
        repeatable: false,
        ..REQUEST
    };
    let spent = Request { attempts: 3, ..REQUEST };
    let late = Request {
        deadline: Instant::from_millis(1),
        ..REQUEST
    };
    let table = [
        (REQUEST, Failure::Refused, None),
        (REQUEST, Failure::Broken, None),
        (REQUEST, Failure::Timeout, None),
        (REQUEST, Failure::Moved, None),
        (once, Failure::Refused, None),
        (once, Failure::Broken, Some(Reason::NonRepeatable)),
        (once, Failure::Timeout, Some(Reason::NonRepeatable)),
        (once, Failure::Moved, Some(Reason::NonRepeatable)),
        (spent, Failure::Broken, Some(Reason::Attempts)),
        (spent, Failure::Moved, None),
        (late, Failure::Broken, Some(Reason::Deadline)),
    ];
    for (request, failure, stop) in table {
        let budget = Budget::new(retry::Settings::default());
        let mut rng = Pcg64Mcg::new(1);
        let decision = Policy::default().decide(Instant::ZERO, request, failure, &budget, &mut rng);
        let stopped = match decision {
            Decision::Retry(_) => None,
            Decision::Stop(reason) => Some(reason),
        };
        assert_eq!(stopped, stop, "{request:?} {failure:?}");
    }
}

#[test]
fn announced_moves_spend_no_budget() {
    // Guards against losing accepted requests when a zone is reclaimed with notice while the budget is empty: such
    // requests still move to other endpoints.
    let budget = Budget::new(retry::Settings {
        reserve: 0,
        ..retry::Settings::default()
    });
    let mut rng = Pcg64Mcg::new(1);
    let mut decide = |failure| Policy::default().decide(Instant::ZERO, REQUEST, failure, &budget, &mut rng);
    assert_eq!(decide(Failure::Moved), Decision::Retry(Duration::ZERO));
    assert_eq!(decide(Failure::Broken), Decision::Stop(Reason::Budget));
}

#[test]
fn hedge_waits_for_its_quantile() {
    let hedge = Hedge::new(hedge::Settings::default());
    let mut rng = Pcg64Mcg::new(3);
    for _ in 0..20_000 {
        hedge.observe(Duration::from_millis(rng.random_range(0..100)));
    }
    let wait = hedge.wait().as_millis();
    assert!((85..=100).contains(&wait), "{wait} ms");
}

#[test]
fn hedges_only_slow_urgent_repeatable_work_once() {
    let slow = hedge::Request {
        repeatable: true,
        urgency: Urgency::Urgent,
        waited: Duration::from_secs(1),
        hedged: false,
        suspected: false,
    };
    let once = hedge::Request {
        repeatable: false,
        ..slow
    };
    let waits = hedge::Request {
        urgency: Urgency::Deferrable,
        ..slow
    };
    let quick = hedge::Request {
        waited: Duration::from_millis(1),
        ..slow
    };
    let second = hedge::Request { hedged: true, ..slow };
    let suspect = hedge::Request {
        suspected: true,
        ..slow
    };
    let table = [
        (slow, true),
        (once, false),
        (waits, false),
        (quick, false),
        (second, false),
        (suspect, false),
    ];
    for (request, hedged) in table {
        let budget = Budget::new(retry::Settings::default());
        let hedge = Hedge::new(hedge::Settings::default());
        assert_eq!(hedge.decide(request, &budget), hedged, "{request:?}");
        assert_eq!(budget.available(), if hedged { 8 } else { 9 });
    }
}
