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
    let served = [0, 1, 2].map(|kind| {
        fraction(callers.iter().filter(|caller| caller.kind == kind), |caller| {
            caller.began.is_some()
        })
    });
    println!("{name}: served by urgency {served:?}");
    assert!(
        served[0] >= served[1] - 0.05 && served[0] >= served[2] - 0.05,
        "{name}: {served:?}"
    );
    assert!(served[1] >= served[2] - 0.05, "{name}: {served:?}");
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
    println!(
        "{name}: value {} (present rule {}), {} callers",
        shortage.0,
        present.0,
        callers.len()
    );
    assert!(shortage.0 >= present.0, "{name}: {} is below {}", shortage.0, present.0);
    shortage.1
}

/// Guards against one organisation at six times its share, whose requests make those of fifteen others late.
#[test]
fn one_organisation_at_six_times_its_share_beside_fifteen_with_normal_load() {
    for (name, kinds) in [("A", A), ("B", B)] {
        let on_time = |callers: &[Caller]| {
            let others = callers.iter().filter(|caller| caller.organisation > 0);
            fraction(others, |caller| {
                caller.began.is_some_and(|began| began <= kinds[caller.kind].objective)
            })
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
        for (zone, factor) in [1.5, 1.0, 1.0, 1.0].into_iter().enumerate() {
            let name = format!("{name}, zone {zone}");
            let callers = demand(|_, _| factor);
            check_order(&name, &compare(&name, kinds, &callers, None));
        }
    }
}

/// Returns three hundred callers who arrive within a second, beside half of the normal load.
fn crowd() -> Vec<Caller> {
    let mut callers = demand(|_, _| 0.5);
    let crowd = (0..3).flat_map(|kind| arrivals(ORGANISATIONS, kind, 1.5, 20.0, 21.0));
    callers.extend(crowd);
    callers
}

/// Guards against refused callers who all return at the same time and are refused for the second time.
#[test]
fn two_hundred_callers_refused_within_a_second_return() {
    let callers = compare("crowd", A, &crowd(), None);
    let refused: Vec<_> = callers.iter().filter(|caller| caller.told.is_some()).collect();
    let told = refused.iter().filter_map(|caller| caller.told);
    // Whoever is told a third of its time has no slot.
    let slots = refused
        .iter()
        .filter(|caller| caller.told < Some(A[caller.kind].timeout / 3));
    let twice = slots.clone().filter(|caller| caller.refusals > 1).count();
    let mut times: Vec<_> = slots
        .clone()
        .map(|caller| caller.arrives + caller.told.unwrap_or_default())
        .collect();
    times.sort();
    let densest = times
        .iter()
        .map(|from| {
            times
                .iter()
                .filter(|at| **at >= *from && at.since(*from) < Duration::from_millis(500))
                .count()
        })
        .max();
    println!(
        "{} refused, {} with slots, {twice} twice, densest half second {densest:?}",
        refused.len(),
        times.len()
    );
    assert!(refused.len() >= 200, "the crowd is refused: {}", refused.len());
    assert!(times.len() >= 50, "slots are promised: {}", times.len());
    assert_eq!(twice, 0, "a promise is kept");
    // Half of the capacity of the engines reads 17 prompts in half a second for each of three urgencies.
    assert!(densest <= Some(3 * 17 + 6), "return times are spread: {densest:?}");
    for caller in &callers {
        assert!(
            told.clone().all(|told| told <= Duration::from_secs(4)) && caller.told <= Some(A[caller.kind].timeout / 3)
        );
    }
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
    let site = |successor| Site {
        successor,
        ..Site::new(A, Rule::Shortage)
    };
    let on_time = |successor| {
        let callers = site(successor).play(callers.clone());
        let after = callers.iter().filter(|caller| {
            caller.organisation > 0 && caller.arrives >= at && caller.arrives < at + Duration::from_secs(5)
        });
        fraction(after, |caller| {
            caller.began.is_some_and(|began| began <= A[caller.kind].objective)
        })
    };
    let (kept, replaced) = (on_time(None), on_time(Some(at)));
    println!("on time in the five seconds after a successor: {replaced} (without one {kept})");
    assert!(replaced >= 0.95 * kept);
}
