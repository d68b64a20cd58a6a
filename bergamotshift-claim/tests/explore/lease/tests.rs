//! The properties hold in every reachable state, and each of them can fail.

use super::Defect;
use super::Leases;
use crate::search::explore;

const SOUND: Leases = Leases {
    end: 4,
    pause: 1,
    faults: 0,
    resigns: true,
    defect: Defect::None,
};

fn assert_sound(model: &Leases, states: usize, depth: usize) {
    let report = explore(model).unwrap();
    println!("lease, {} s, {} faults: {report:?}", model.end, model.faults);
    assert_eq!((report.states, report.depth), (states, depth));
}

// A holder gets permission for an order and is paused before it leaves. Its lease lapses or it resigns, another
// entry takes the duty, and the first one's order arrives late. An endpoint that ignores fencing numbers must not get
// the old order after a new one.
#[test]
fn old_orders_never_follow_new_ones() {
    assert_sound(&SOUND, 565_270, 42);
}

// As above, and the table loses a write's answer. The write lands at any later time: a keeper that counted its lease
// from the second try of a write whose first try landed believed in it for longer than its successor waited.
#[test]
fn a_lost_write_does_not_stretch_a_lease() {
    let model = Leases {
        end: 3,
        faults: 1,
        resigns: false,
        ..SOUND
    };
    assert_sound(&model, 561_829, 37);
}

#[test]
fn each_property_can_fail() {
    let late = "no old order after the successor's first";
    let cases = [
        (Defect::GivesOrdersAtOnce, late),
        (Defect::PausesLonger, late),
        (Defect::TakesUnconditionally, "one holder under each number"),
        (Defect::RenewsUnconditionally, "numbers grow"),
    ];
    for (defect, property) in cases {
        let violation = explore(&Leases {
            defect,
            end: 6,
            ..SOUND
        })
        .expect_err("the defect breaks a property");
        println!(
            "{defect:?}: {} after {} steps",
            violation.property,
            violation.steps.len()
        );
        assert_eq!(violation.property, property, "{defect:?}: {:#?}", violation.steps);
    }
}
