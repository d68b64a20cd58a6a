//! Checks that the properties hold in every reachable state, and that each of them can be violated.

use super::Defect;
use super::Jobs;
use crate::search::explore;

fn assert_sound(model: &Jobs, states: usize, depth: usize) {
    let report = explore(model).unwrap();
    println!(
        "job, {} holders, {} wakes, {} faults, {} crashes: {report:?}",
        model.holders, model.wakes, model.faults, model.crashes
    );
    assert_eq!((report.states, report.depth), (states, depth));
}

const SOUND: Jobs = Jobs {
    holders: 2,
    wakes: 1,
    faults: 2,
    crashes: 1,
    defect: Defect::None,
};

// An entry that runs a job is paused, its lease expires, and another entry takes the job. Both finally have a result,
// while the table fails to apply or answer writes. The caller must get, and be billed for, one result only.
#[test]
fn two_holders_leave_one_result() {
    assert_sound(&SOUND, 337_667, 32);
}

// As above, with a third entry and no faults of the table.
#[test]
fn three_holders_leave_one_result() {
    let model = Jobs {
        holders: 3,
        wakes: 1,
        faults: 0,
        crashes: 0,
        ..SOUND
    };
    assert_sound(&model, 747_085, 37);
}

#[test]
fn each_property_can_fail() {
    let cases = [
        (Defect::RepeatsResults, "one result"),
        (
            Defect::ClosesUnconditionally,
            "no result of a lease that was taken over",
        ),
        (Defect::ClosesWithoutLease, "no result of a lease that was taken over"),
        (Defect::TakesUnconditionally, "one run under each number"),
    ];
    for (defect, property) in cases {
        let violation = explore(&Jobs { defect, ..SOUND }).expect_err("the defect breaks a property");
        println!(
            "{defect:?}: {} after {} steps",
            violation.property,
            violation.steps.len()
        );
        assert_eq!(violation.property, property, "{defect:?}: {:#?}", violation.steps);
    }
}
