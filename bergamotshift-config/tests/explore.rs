//! Every order of events of the acceptance protocol, within stated bounds.

mod support;

use core::hash::Hash;
use core::hash::Hasher;
use std::collections::BTreeMap;
use std::collections::HashSet;

use support::model::Bounds;
use support::model::Defect;
use support::model::Rule;
use support::model::State;
use xxhash_rust::xxh3::Xxh3;

/// What an exploration found.
#[derive(Debug, Default)]
struct Found {
    states: usize,
    depth: usize,
    /// How often each combination of what the operators were told was reached.
    outcomes: BTreeMap<String, usize>,
    /// The first broken rule.
    broken: Option<Rule>,
}

/// Visits every state that can be reached, nearest first, and stops at the first broken rule.
fn explore(bounds: &Bounds) -> Found {
    let first = State::first(bounds);
    let mut seen = HashSet::from([digest(&first)]);
    let mut found = Found::default();
    let mut level = vec![first];
    while !level.is_empty() {
        let mut next_level = Vec::new();
        for state in level {
            found.states += 1;
            let told: Vec<_> = state.outcomes().map(|outcome| outcome.map(name)).collect();
            if told.iter().all(Option::is_some) {
                *found
                    .outcomes
                    .entry(told.into_iter().flatten().collect::<Vec<_>>().join(" "))
                    .or_default() += 1;
            }
            for next in state.next(bounds) {
                match next {
                    Ok(next) if seen.insert(digest(&next)) => next_level.push(next),
                    Ok(_) => {}
                    Err(broken) => {
                        found.broken = Some(broken);
                        return found;
                    }
                }
            }
        }
        found.depth += usize::from(!next_level.is_empty());
        level = next_level;
    }
    found
}

/// Returns 128 bits of a state: two of a million states share them with a chance of one in 10^26.
fn digest(state: &State) -> u128 {
    struct Wide(Xxh3);

    impl Hasher for Wide {
        fn write(&mut self, bytes: &[u8]) {
            self.0.update(bytes);
        }

        fn finish(&self) -> u64 {
            self.0.digest()
        }
    }

    let mut hasher = Wide(Xxh3::new());
    state.hash(&mut hasher);
    hasher.0.digest128()
}

/// Returns an outcome's name without its fields.
fn name(outcome: &impl core::fmt::Debug) -> String {
    let text = format!("{outcome:?}");
    text.split([' ', '(', '{']).next().unwrap_or_default().to_owned()
}

const BARE: Bounds = Bounds {
    operators: 2,
    zones: 0,
    same_file: false,
    gossip: false,
    steps: 0,
    lost: 0,
    late: 0,
    cuts: 0,
    restarts: 0,
    defect: None,
    only: None,
};

const ZONED: Bounds = Bounds { zones: 2, ..BARE };

/// Asserts that no rule is broken, and how much was visited: a smaller number would mean that less is checked.
fn assert_holds(bounds: &Bounds, states: usize, depth: usize, reached: &[&str]) {
    let found = explore(bounds);
    println!("{bounds:?}: {found:?}");
    assert_eq!(found.broken, None);
    assert_eq!((found.states, found.depth), (states, depth));
    for outcome in reached {
        assert!(found.outcomes.contains_key(*outcome), "{outcome} was never reached");
    }
}

/// Two operators change the same file. Either may pause at any point and be taken for dead, lose one answer, and have
/// one write take effect long after it gave up. Each is told the truth, and no version has two contents.
#[test]
fn two_operators_with_one_file_and_lost_and_late_writes() {
    let bounds = Bounds {
        same_file: true,
        steps: 2,
        lost: 1,
        late: 1,
        ..BARE
    };
    assert_holds(
        &bounds,
        16_152,
        18,
        &["Accepted Conflict", "Conflict Accepted", "Late Unknown"],
    );
}

/// The same with different files, and two lost answers: both may be accepted, one after the other.
#[test]
fn two_operators_with_two_files_and_lost_and_late_writes() {
    let bounds = Bounds {
        steps: 2,
        lost: 2,
        late: 1,
        ..BARE
    };
    assert_holds(
        &bounds,
        84_987,
        21,
        &["Accepted Accepted", "Accepted Late", "Unknown Unknown"],
    );
}

/// Two operators change the same file while two zones stage, and one answer is lost.
#[test]
fn two_operators_two_zones_and_a_lost_answer() {
    let bounds = Bounds {
        same_file: true,
        lost: 1,
        ..ZONED
    };
    assert_holds(&bounds, 14_212, 23, &["Accepted Conflict", "Conflict Accepted"]);
}

/// Two operators change the same file; the last zone is cut off at any point, its entry is replaced at any point, and
/// it may heal at any point.
#[test]
fn two_operators_two_zones_a_cut_and_a_restart() {
    let bounds = Bounds {
        same_file: true,
        cuts: 1,
        restarts: 1,
        ..ZONED
    };
    assert_holds(&bounds, 68_826, 25, &["Accepted Conflict", "Conflict Accepted"]);
}

/// One operator loses an answer, and a zone that says nothing for a step of the clock lapses and comes back.
#[test]
fn a_lapsing_zone_and_a_lost_answer() {
    let bounds = Bounds {
        operators: 1,
        steps: 1,
        lost: 1,
        ..ZONED
    };
    assert_holds(&bounds, 24_455, 27, &["Accepted"]);
}

/// One operator's write takes effect after a zone has lapsed and come back.
#[test]
fn a_lapsing_zone_and_a_late_write() {
    let bounds = Bounds {
        operators: 1,
        steps: 1,
        late: 1,
        ..ZONED
    };
    assert_holds(&bounds, 43_998, 30, &["Accepted"]);
}

/// The last zone is cut off at any point, lapses, heals at any point, and hears from the other before or after it
/// reads for itself.
#[test]
fn a_cut_zone_that_lapses_heals_and_hears() {
    let bounds = Bounds {
        operators: 1,
        steps: 1,
        cuts: 1,
        gossip: true,
        ..ZONED
    };
    assert_holds(&bounds, 34_608, 29, &["Accepted"]);
}

/// Each rule is broken by a fault put into what the kernels write or read, so each can fail.
#[test]
fn each_rule_can_fail() {
    let cases = [
        (
            Defect::NoZoneChecks,
            Rule::Staged,
            Bounds {
                operators: 1,
                steps: 1,
                ..ZONED
            },
        ),
        (
            Defect::NoHeadCondition,
            Rule::HeadIsLast,
            Bounds {
                same_file: true,
                ..BARE
            },
        ),
        (
            Defect::NoAcceptConditions,
            Rule::OneContent,
            Bounds {
                same_file: true,
                steps: 2,
                ..BARE
            },
        ),
        (
            Defect::NoRecord,
            Rule::Told,
            Bounds {
                operators: 1,
                lost: 1,
                ..BARE
            },
        ),
        (
            Defect::Forgetful,
            Rule::Upwards,
            Bounds {
                operators: 1,
                restarts: 1,
                ..ZONED
            },
        ),
        (Defect::Eager, Rule::Accepted, Bounds { operators: 1, ..ZONED }),
    ];
    for (defect, rule, bounds) in cases {
        let sound = Bounds {
            only: Some(rule),
            ..bounds
        };
        assert_eq!(explore(&sound).broken, None, "{rule:?} without a defect");
        let broken = Bounds {
            defect: Some(defect),
            ..sound
        };
        assert_eq!(explore(&broken).broken, Some(rule), "{defect:?}");
    }
}
