//! Checks that the properties hold in every reachable state, and that each of them can be violated.

use super::Claims;
use super::Defect;
use crate::search::Violation;
use crate::search::explore;

fn violation(defect: Defect) -> Violation {
    let model = Claims {
        sendings: 2,
        faults: 2,
        crashes: 1,
        defect,
    };
    explore(&model).expect_err("the defect breaks a property")
}

fn assert_sound(sendings: u8, faults: u8, crashes: u8, states: usize, depth: usize) {
    let model = Claims {
        sendings,
        faults,
        crashes,
        defect: Defect::None,
    };
    let report = explore(&model).unwrap();
    println!("claim, {sendings} sendings, {faults} faults, {crashes} crashes: {report:?}");
    assert_eq!((report.states, report.depth), (states, depth));
}

// A caller sends a request to one entry and retries it, with the same key, at another. Writes are lost, applied late,
// or applied without an answer; reads fail; the endpoint refuses the request or its answer is lost. Processes pause
// between any two steps, which is modelled by late delivery. No order of events may cause two runs or a false outcome.
#[test]
fn two_sendings_under_two_faults_keep_every_property() {
    assert_sound(2, 2, 0, 347_911, 32);
}

// As above, and one of the entries crashes at any time, with its writes in flight.
#[test]
fn two_sendings_under_a_fault_and_a_crash_keep_every_property() {
    assert_sound(2, 1, 1, 138_427, 27);
}

// A third request can arrive after the first one was withdrawn, and claims the key again.
#[test]
fn three_sendings_keep_every_property() {
    assert_sound(3, 0, 0, 499_367, 37);
}

#[test]
fn each_property_can_fail() {
    let cases = [
        (Defect::TrustsLostWrites, "at most one run"),
        (Defect::RepliesWithoutGivingUp, "not-run is true"),
        (Defect::SendsTwice, "a driver sends once"),
        (Defect::SendsAgain, "at most one run"),
        (Defect::SendsAfterCrash, "not-run is true"),
        (Defect::RefusesContested, "not-run is true of the key"),
        (Defect::ReplaysOwnAnswer, "an answer is the run's own"),
        (Defect::RefusesAfterRunning, "not-run is true"),
    ];
    for (defect, property) in cases {
        let violation = violation(defect);
        println!(
            "{defect:?}: {} after {} steps",
            violation.property,
            violation.steps.len()
        );
        assert_eq!(violation.property, property, "{defect:?}: {:#?}", violation.steps);
    }
}
