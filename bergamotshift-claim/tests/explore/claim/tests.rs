//! The properties hold in every reachable state, and each of them can fail.

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

// A caller sends a request at one entry and again, with the same key, at another. Writes are lost before or after
// they took effect, or take effect late; reads fail; the endpoint refuses or its answer is lost. Processes pause
// between any two steps (a pause is an answer that is delivered after everything else). No order of events may give
// two runs or an untrue outcome.
#[test]
fn two_sendings_under_two_faults_keep_every_property() {
    assert_sound(2, 2, 0, 347_911, 32);
}

// As above, and one of the entries dies at any moment, with its writes still on their way.
#[test]
fn two_sendings_under_a_fault_and_a_crash_keep_every_property() {
    assert_sound(2, 1, 1, 138_427, 27);
}

// A third sending can come after the first was withdrawn, and claims the key again.
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
