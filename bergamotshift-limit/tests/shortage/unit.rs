//! Single decisions, and tables at their bounds.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::admission::shortage::Bound;
use bergamotshift_limit::admission::shortage::Decision;
use bergamotshift_limit::admission::shortage::Gate;
use bergamotshift_limit::admission::shortage::Reason;
use bergamotshift_limit::admission::shortage::Request;
use bergamotshift_limit::admission::shortage::Settings;
use bergamotshift_limit::returns;
use bergamotshift_limit::returns::Asked;
use bergamotshift_limit::returns::Book;
use bergamotshift_limit::returns::Returned;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn request(wait: u64, read: u64) -> Request<'static> {
    Request {
        organisation: None,
        weight: 1.0,
        bound: Bound::of([(0, ms(800)), (1, ms(1_000)), (2, ms(2_500))].into_iter(), 2),
        wait: ms(wait),
        due: ms(0),
        read: ms(read),
        objective: ms(2_500),
        objective_left: ms(2_500),
        latest: ms(7_500),
        is_return: false,
    }
}

/// Guards against prompts that are never served as reading them takes longer than their objective.
#[test]
fn a_large_prompt_is_served_when_nothing_waits() {
    let mut gate = Gate::new(Settings::default());
    assert_eq!(gate.decide(Instant::ZERO, &request(200, 9_000)), Decision::Admit);
    assert_eq!(gate.decide(Instant::ZERO, &request(500, 4_000)), Decision::Admit);
    let refused = gate.decide(Instant::ZERO, &request(700, 4_000));
    assert!(matches!(
        refused,
        Decision::Refuse {
            reason: Reason::Wait,
            ..
        }
    ));
}

/// Guards against less urgent requests that wait as long as more urgent ones.
#[test]
fn a_bound_falls_with_each_rank_of_urgency() {
    let routes = [(0, ms(800)), (4, ms(1_000)), (4, ms(600)), (200, ms(2_500))];
    let bound = |urgency| Bound::of(routes.into_iter(), urgency).wait();
    assert_eq!(bound(0), Some(ms(800)));
    assert_eq!(bound(4), Some(ms(600).mul_f64(0.85)));
    assert_eq!(bound(255), Some(ms(600).mul_f64(0.85_f64.powi(3))));
    assert_eq!(Bound::of(routes.into_iter().skip(1), 0).wait(), None);
}

/// Guards against a share that refuses the only organisation with load, and against a table that grows without bound.
#[test]
fn the_only_large_organisation_is_within_its_share_and_the_table_is_bounded() {
    let mut gate = Gate::new(Settings::default());
    let large = name::Organisation::new("large");
    for millis in 0..4_000 {
        let wait = if millis % 2 == 0 { 500 } else { 5_000 };
        let one = Request {
            organisation: Some(&large),
            ..request(wait, 20)
        };
        let decision = gate.decide(Instant::from_millis(millis), &one);
        let is_share = matches!(
            decision,
            Decision::Refuse {
                reason: Reason::Share,
                ..
            }
        );
        assert!(!is_share, "it is within its share at {millis} ms");
    }
    for other in 0..1_000 {
        let other = name::Organisation::new(format!("other-{other}"));
        let one = Request {
            organisation: Some(&other),
            ..request(500, 20)
        };
        let _ = gate.decide(Instant::from_secs(4), &one);
    }
    assert_eq!(gate.organisations(), Settings::default().organisations);
}

fn asked(key: u128) -> Asked {
    Asked {
        key: Fingerprint::new(key),
        urgency: 1,
        work: ms(1),
        excess: ms(500),
        engines: 100.0,
        longest: ms(2_000),
    }
}

/// Guards against promises that are made without bound, and against a caller that is told more than its longest time.
#[test]
fn a_full_table_gives_no_slot() {
    let mut book = Book::new(returns::Settings::default());
    for key in 0..4_096 {
        assert!(book.promise(Instant::ZERO, &asked(key)) < ms(2_000));
    }
    assert_eq!(book.promise(Instant::ZERO, &asked(5_000)), ms(2_000));
    assert_eq!(
        book.redeem(Instant::from_secs(2), Fingerprint::new(5_000)),
        Returned::Unknown
    );
    assert_eq!(book.len(), 4_096 - book.take_lapsed() as usize);
    let _ = book.redeem(Instant::from_secs(5), Fingerprint::new(0));
    assert!(book.is_empty(), "slots expire");
}

/// Guards against a caller that takes its slot too early, loses it by asking early, or takes it twice.
#[test]
fn a_slot_is_taken_once_at_its_time() {
    let mut book = Book::new(returns::Settings::default());
    let key = Fingerprint::new(1);
    assert_eq!(book.promise(Instant::ZERO, &asked(1)), ms(500));
    let early = book.redeem(Instant::from_millis(400), key);
    assert_eq!(early, Returned::Early { left: ms(100) });
    assert_eq!(book.promise(Instant::from_millis(400), &asked(1)), ms(100));
    assert_eq!(book.due(Instant::ZERO, ms(600), 1), ms(1));
    assert_eq!(
        book.due(Instant::ZERO, ms(600), 0),
        ms(0),
        "more urgent callers do not wait for it"
    );
    assert_eq!(book.redeem(Instant::from_millis(450), key), Returned::Kept);
    assert_eq!(book.redeem(Instant::from_millis(500), key), Returned::Unknown);
}
