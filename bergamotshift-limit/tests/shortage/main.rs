//! Admission in a shortage and times to return, in virtual time, compared with the rule that admits whoever is expected
//! to begin before callers leave.

mod model;
mod unit;

use core::time::Duration;

use bergamotshift_core::prelude::*;

use self::model::A;
use self::model::B;
use self::model::Caller;
use self::model::Kind;
use self::model::LENGTH;
use self::model::Rule;
use self::model::Site;
use self::model::arrivals;
use self::model::fraction;

/// Load of all organisations together at which engines serve everyone.
const NORMAL: f64 = 0.8;
const ORGANISATIONS: usize = 16;
const HALF_SECOND: Duration = Duration::from_millis(500);

/// Returns the arrivals of all organisations, each with its own factor on its load for each kind.
fn demand(factor: impl Fn(usize, usize) -> f64) -> Vec<Caller> {
    let load = NORMAL / (ORGANISATIONS * 3) as f64;
    let pairs = (0..ORGANISATIONS).flat_map(|organisation| [0, 1, 2].map(|kind| (organisation, kind)));
    pairs
        .flat_map(|(one, kind)| arrivals(one, kind, load * factor(one, kind), 0.0, LENGTH))
        .collect()
}

/// Checks that no kind is served less often than a less urgent one by over 5 in 100.
fn check_order(name: &str, callers: &[Caller]) {
    let of_kind = |kind| callers.iter().filter(move |caller| caller.kind == kind);
    let served = [0, 1, 2].map(|kind| fraction(of_kind(kind), |caller| caller.began.is_some()));
    println!("{name}: served by urgency {served:?}");
    for (urgent, less_urgent) in [(0, 1), (0, 2), (1, 2)] {
        assert!(served[urgent] >= served[less_urgent] - 0.05, "{name}: {served:?}");
    }
}

/// Plays the same arrivals by both rules, and checks that the value is not lower than with the present one.
fn compare(name: &str, kinds: [Kind; 3], callers: &[Caller], loss: Option<Instant>) -> Vec<Caller> {
    let [present, shortage] = [Rule::Present, Rule::Shortage].map(|rule| {
        let site = Site {
            loss,
            ..Site::new(kinds, rule)
        };
        let callers = site.play(callers.to_vec());
        (site.value(&callers), callers)
    });
    let (now, before) = (shortage.0, present.0);
    println!("{name}: value {now} (present rule {before}), {} callers", callers.len());
    assert!(now >= before, "{name}: {now} is below {before}");
    shortage.1
}

/// Guards against one organisation at six times its share, whose requests make those of fifteen others late.
#[test]
fn one_organisation_at_six_times_its_share_beside_fifteen_with_normal_load() {
    for (name, kinds) in [("A", A), ("B", B)] {
        let on_time = |callers: &[Caller]| {
            let others = callers.iter().filter(|caller| caller.organisation > 0);
            fraction(others, |caller| caller.is_on_time(&kinds))
        };
        let alone = Site::new(kinds, Rule::Shortage).play(demand(|one, _| f64::from(u8::from(one > 0))));
        let callers = demand(|one, _| if one == 0 { 6.0 } else { 1.0 });
        let beside = compare(name, kinds, &callers, None);
        let (alone, beside) = (on_time(&alone), on_time(&beside));
        println!("{name}: on time {beside} (without the organisation {alone})");
        assert!(beside >= 0.95 * alone, "{name}: {beside} of {alone}");
    }
}

/// Guards against one kind at 2.5 times its load, which fills the queue beyond what more urgent kinds can tolerate.
#[test]
fn one_kind_at_two_and_a_half_times_beside_two_others() {
    for (name, kinds) in [("A", A), ("B", B)] {
        for frequent in 0..3 {
            let callers = demand(|_, kind| if kind == frequent { 2.5 } else { 1.0 });
            let name = format!("{name}, kind {frequent}");
            check_order(&name, &compare(&name, kinds, &callers, None));
        }
    }
}

/// Guards against a queue that lasts after half of the engines have gone within a second, while which all are late.
#[test]
fn half_of_the_engines_gone_within_a_second() {
    for (name, kinds) in [("A", A), ("B", B)] {
        let callers = compare(name, kinds, &demand(|_, _| 1.0), Some(Instant::from_secs(20)));
        check_order(name, &callers);
    }
}

/// Guards against a zone with 1.5 times the demand of the other three, whose engines serve nobody in time.
#[test]
fn demand_of_one_and_a_half_in_one_of_four_zones() {
    for (name, kinds) in [("A", A), ("B", B)] {
        // The three zones with normal load are alike, as no zone uses the engines of another one.
        for factor in [1.5, 1.0] {
            let name = format!("{name}, {factor} times the load");
            let callers = demand(|_, _| factor);
            check_order(&name, &compare(&name, kinds, &callers, None));
        }
    }
}

/// Guards against refused callers who all return at the same time and are refused for the second time.
#[test]
fn two_hundred_callers_refused_within_a_second_return() {
    let mut callers = demand(|_, _| 0.5);
    callers.extend((0..3).flat_map(|kind| arrivals(ORGANISATIONS, kind, 1.5, 20.0, 21.0)));
    let callers = compare("crowd", A, &callers, None);
    let longest = |caller: &Caller| A[caller.kind].timeout / 3;
    let refused: Vec<_> = callers.iter().filter(|caller| caller.told.is_some()).collect();
    assert!(refused.len() >= 200, "the crowd is refused: {}", refused.len());
    assert!(refused.iter().all(|caller| caller.told <= Some(longest(caller))));
    // Whoever is told a third of its time has no slot.
    let slots = refused.iter().filter(|caller| caller.told < Some(longest(caller)));
    let slots: Vec<_> = slots.collect();
    let twice = slots.iter().filter(|caller| caller.refusals > 1).count();
    let returns = slots.iter().map(|one| one.arrives + one.told.unwrap_or_default());
    let within = |from: Instant| {
        returns
            .clone()
            .filter(|at| *at >= from && at.since(from) < HALF_SECOND)
            .count()
    };
    let densest = returns.clone().map(within).max().unwrap_or_default();
    println!(
        "{} refused, {} with slots, {twice} twice, {densest} in half a second",
        refused.len(),
        slots.len()
    );
    assert!(slots.len() >= 50, "slots are promised: {}", slots.len());
    assert_eq!(twice, 0, "promises are kept");
    // Half of the engines read 17 prompts in half a second, for each of three urgencies.
    assert!(densest <= 3 * 17 + 6, "return times are spread: {densest}");
}

/// Guards against callers who come back at once and are served before those who return at the time that they were told.
#[test]
fn callers_who_ignore_the_time_to_return_gain_nothing() {
    let mut callers = demand(|_, _| 2.0);
    for caller in callers.iter_mut().skip(1).step_by(2) {
        caller.ignores = Some(Duration::from_millis(50));
    }
    let site = Site::new(A, Rule::Shortage);
    let callers = site.play(callers);
    let served = |ignores: bool| {
        let refused = callers
            .iter()
            .filter(|caller| caller.ignores.is_some() == ignores && caller.refusals > 0);
        fraction(refused, |caller| caller.began.is_some())
    };
    let (respecting, ignoring) = (served(false), served(true));
    println!("served after a refusal: {respecting} of those who respect the time, {ignoring} of the others");
    assert!(ignoring <= respecting);
}

/// Guards against a successor of a keeper that refuses organisations by shares which it cannot know, or admits all.
#[test]
fn the_successor_of_a_keeper_starts_with_empty_shares() {
    let callers = demand(|one, _| if one == 0 { 6.0 } else { 1.0 });
    let at = Instant::from_secs(30);
    let on_time = |successor| {
        let site = Site {
            successor,
            ..Site::new(A, Rule::Shortage)
        };
        let callers = site.play(callers.clone());
        let others = callers.iter().filter(|caller| caller.organisation > 0);
        let after = others.filter(|caller| (at..at + Duration::from_secs(5)).contains(&caller.arrives));
        fraction(after, |caller| caller.is_on_time(&A))
    };
    let (kept, replaced) = (on_time(None), on_time(Some(at)));
    println!("on time in the five seconds after a successor: {replaced} (without one {kept})");
    assert!(replaced >= 0.95 * kept);
}
