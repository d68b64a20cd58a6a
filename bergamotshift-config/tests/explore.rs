//! Exhaustive exploration of the acceptance protocol: every order of events within given bounds.

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

/// Result of an exploration.
#[derive(Debug, Default)]
struct Exploration {
    states: usize,
    depth: usize,
    /// Number of states in which each combination of outcomes of the operators was reached.
    outcomes: BTreeMap<String, usize>,
    /// First rule that was violated.
    violation: Option<Rule>,
}

/// Visits every reachable state in breadth-first order and stops at the first violated rule.
fn explore(bounds: &Bounds) -> Exploration {
    let first = State::first(bounds);
    let mut seen = HashSet::from([digest(&first)]);
    let mut exploration = Exploration::default();
    let mut level = vec![first];
    while !level.is_empty() {
        let mut next_level = Vec::new();
        for state in level {
            exploration.states += 1;
            let outcomes: Vec<_> = state.outcomes().map(|outcome| outcome.map(variant_name)).collect();
            if outcomes.iter().all(Option::is_some) {
                *exploration
                    .outcomes
                    .entry(outcomes.into_iter().flatten().collect::<Vec<_>>().join(" "))
                    .or_default() += 1;
            }
            for next in state.next(bounds) {
                match next {
                    Ok(next) if seen.insert(digest(&next)) => next_level.push(next),
                    Ok(_) => {}
                    Err(broken) => {
                        exploration.violation = Some(broken);
                        return exploration;
                    }
                }
            }
        }
        exploration.depth += usize::from(!next_level.is_empty());
        level = next_level;
    }
    exploration
}

/// Returns a 128-bit hash of a state. The probability of a collision among a million states is about 1 in 10^26.
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

/// Returns the variant name of an outcome without its fields.
fn variant_name(outcome: &impl core::fmt::Debug) -> String {
    let text = format!("{outcome:?}");
    text.split([' ', '(', '{']).next().unwrap_or_default().to_owned()
}

const NO_ZONES: Bounds = Bounds {
    operators: 2,
    zones: 0,
    same_file: false,
    gossip: false,
    steps: 0,
    lost: 0,
    delayed: 0,
    cuts: 0,
    restarts: 0,
    defect: None,
    only: None,
};

const TWO_ZONES: Bounds = Bounds { zones: 2, ..NO_ZONES };

/// Asserts that no rule is violated, and the numbers of states and steps: smaller numbers would mean a weaker check.
fn assert_holds(bounds: &Bounds, states: usize, depth: usize, reached: &[&str]) {
    let exploration = explore(bounds);
    println!("{bounds:?}: {exploration:?}");
    assert_eq!(exploration.violation, None);
    assert_eq!((exploration.states, exploration.depth), (states, depth));
    for outcome in reached {
        assert!(
            exploration.outcomes.contains_key(*outcome),
            "{outcome} was never reached"
        );
    }
}

/// Two operators change the same file. Either may pause at any point and be considered dead, lose one response, and have
/// one write take effect long after it gave up. Each must get the true outcome, and no version may have two contents.
#[test]
fn two_operators_with_one_file_and_lost_and_delayed_writes() {
    let bounds = Bounds {
        same_file: true,
        steps: 2,
        lost: 1,
        delayed: 1,
        ..NO_ZONES
    };
    assert_holds(
        &bounds,
        16_152,
        18,
        &["Accepted Conflict", "Conflict Accepted", "Late Unknown"],
    );
}

/// Two operators change different files, and two responses are lost. Both changes may be accepted, one after the other.
#[test]
fn two_operators_with_two_files_and_lost_and_delayed_writes() {
    let bounds = Bounds {
        steps: 2,
        lost: 2,
        delayed: 1,
        ..NO_ZONES
    };
    assert_holds(
        &bounds,
        84_987,
        21,
        &["Accepted Accepted", "Accepted Late", "Unknown Unknown"],
    );
}

/// Two operators change the same file while two zones stage, and one response is lost.
#[test]
fn two_operators_two_zones_and_a_lost_response() {
    let bounds = Bounds {
        same_file: true,
        lost: 1,
        ..TWO_ZONES
    };
    assert_holds(&bounds, 14_212, 23, &["Accepted Conflict", "Conflict Accepted"]);
}

/// Two operators change the same file. The last zone is cut off at any point, its entry is replaced at any point, and it
/// may be reconnected at any point.
#[test]
fn two_operators_two_zones_a_cut_and_a_restart() {
    let bounds = Bounds {
        same_file: true,
        cuts: 1,
        restarts: 1,
        ..TWO_ZONES
    };
    assert_holds(&bounds, 68_826, 25, &["Accepted Conflict", "Conflict Accepted"]);
}

/// One operator loses a response. A zone that writes nothing for a step of the clock times out and comes back.
#[test]
fn a_zone_that_times_out_and_a_lost_response() {
    let bounds = Bounds {
        operators: 1,
        steps: 1,
        lost: 1,
        ..TWO_ZONES
    };
    assert_holds(&bounds, 24_455, 27, &["Accepted"]);
}

/// One operator's write takes effect after a zone has timed out and come back.
#[test]
fn a_zone_that_times_out_and_a_delayed_write() {
    let bounds = Bounds {
        operators: 1,
        steps: 1,
        delayed: 1,
        ..TWO_ZONES
    };
    assert_holds(&bounds, 43_998, 30, &["Accepted"]);
}

/// The last zone is cut off at any point, times out, is reconnected at any point, and receives an announcement from the
/// other zone before or after its own read.
#[test]
fn a_zone_that_is_cut_off_times_out_and_reconnects() {
    let bounds = Bounds {
        operators: 1,
        steps: 1,
        cuts: 1,
        gossip: true,
        ..TWO_ZONES
    };
    assert_holds(&bounds, 34_608, 29, &["Accepted"]);
}

/// Each rule is violated by a defect that is injected into the writes or reads, which shows that each check can fail.
#[test]
fn each_rule_can_fail() {
    let cases = [
        (
            Defect::NoZoneChecks,
            Rule::Staged,
            Bounds {
                operators: 1,
                steps: 1,
                ..TWO_ZONES
            },
        ),
        (
            Defect::NoHeadCondition,
            Rule::HeadIsLast,
            Bounds {
                same_file: true,
                ..NO_ZONES
            },
        ),
        (
            Defect::NoAcceptConditions,
            Rule::OneContent,
            Bounds {
                same_file: true,
                steps: 2,
                ..NO_ZONES
            },
        ),
        (
            Defect::NoRecord,
            Rule::TruthfulOutcome,
            Bounds {
                operators: 1,
                lost: 1,
                ..NO_ZONES
            },
        ),
        (
            Defect::ForgetsVersion,
            Rule::Monotonic,
            Bounds {
                operators: 1,
                restarts: 1,
                ..TWO_ZONES
            },
        ),
        (
            Defect::AppliesProposal,
            Rule::Accepted,
            Bounds {
                operators: 1,
                ..TWO_ZONES
            },
        ),
    ];
    for (defect, rule, bounds) in cases {
        let sound = Bounds {
            only: Some(rule),
            ..bounds
        };
        assert_eq!(explore(&sound).violation, None, "{rule:?} without a defect");
        let broken = Bounds {
            defect: Some(defect),
            ..sound
        };
        assert_eq!(explore(&broken).violation, Some(rule), "{defect:?}");
    }
}
