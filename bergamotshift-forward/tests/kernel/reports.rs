//! Tests of which usage windows are reported, and with which counts.

use core::time::Duration;

use bergamotshift_forward::duty::Counts;
use bergamotshift_forward::duty::Handover;
use bergamotshift_forward::duty::Progress;
use bergamotshift_forward::duty::Reports;

/// Length of a window at most sites.
const WINDOW: Duration = Duration::from_secs(5);

fn counts(number: u64) -> Counts {
    Counts::from([("horeca".into(), number)])
}

#[test]
fn windows_are_due_after_the_last_reported_one_while_they_are_young() {
    let mut reports = Reports::new(WINDOW);
    assert_eq!(reports.due(100), 97..100);
    reports.close(98);
    assert_eq!(reports.due(100), 99..100);
    reports.close(97);
    assert_eq!(reports.due(100), 99..100);
}

/// Guards against two reports of a window: the former holder died, and the restored store lacks the counts it sent.
#[test]
fn a_window_that_a_lost_holder_may_have_reported_is_uncertain_after_a_restore() {
    let mut reports = Reports::new(WINDOW);
    reports.close(96);
    reports.restored(98);
    assert!(reports.is_uncertain(97) && reports.is_uncertain(98));
    assert!(!reports.is_uncertain(99));
}

/// Guards against two reports of a window: the former holder reported it just before it died, and the store is restored
/// when this entry has begun.
#[test]
fn a_window_that_a_former_holder_may_have_reported_is_uncertain_after_a_restore_under_the_next_one() {
    let mut reports = Reports::new(WINDOW);
    reports.close(96);
    reports.begin(98, 7);
    reports.store(97, counts(7));
    reports.restored_while_held();
    assert!(reports.is_uncertain(97) && reports.is_uncertain(98));
    assert!(!reports.is_uncertain(99));
    assert_eq!(reports.stored(97), Some(&counts(7)));
}

fn handover(number: u64) -> Handover {
    Handover {
        number,
        reported: 96,
        uncertain: 0,
        former: 0,
    }
}

/// Guards against windows that nobody reports: the former holder gave up the duties and named its last report.
#[test]
fn a_former_holder_that_names_its_last_report_leaves_nothing_uncertain() {
    let mut reports = Reports::new(WINDOW);
    reports.restored(98);
    reports.begin(99, 7);
    assert!(reports.take_over(&handover(6)));
    assert_eq!(reports.due(100), 97..100);
    assert!(!reports.is_uncertain(97) && !reports.may_be_reported(97));
}

/// Guards against two reports of a window: somebody may have held the duties after the holder that gave them up.
#[test]
fn a_handover_under_another_number_than_the_one_before_leaves_windows_uncertain() {
    for number in [4, 5, 7, 8] {
        let mut reports = Reports::new(WINDOW);
        reports.restored(98);
        reports.begin(99, 7);
        assert!(!reports.take_over(&handover(number)), "number {number}");
        assert!(reports.is_uncertain(97), "number {number}");
    }
}

/// Guards against two reports of a window: the handover arrives after a restore that lost the counts of an earlier holder.
#[test]
fn a_handover_after_a_restore_keeps_the_windows_of_earlier_holders_uncertain() {
    let mut reports = Reports::new(WINDOW);
    reports.begin(99, 7);
    reports.restored_while_held();
    let handover = Handover {
        former: 97,
        ..handover(6)
    };
    assert!(reports.take_over(&handover));
    assert!(reports.is_uncertain(97) && !reports.is_uncertain(98));
    assert!(!reports.take_over(&handover), "it is taken over once");
}

/// Guards against two reports of a window: the former holder sent counts, and nobody knows whether they arrived.
#[test]
fn a_handover_names_windows_that_may_have_been_reported_without_an_answer() {
    let mut reports = Reports::new(WINDOW);
    reports.begin(95, 6);
    reports.close(96);
    reports.store(97, counts(7));
    let handover = reports.hand_over(6);
    assert_eq!((handover.reported, handover.uncertain, handover.former), (96, 97, 95));
}

#[test]
fn counts_of_old_windows_are_dropped() {
    let mut reports = Reports::new(WINDOW);
    for window in 1..10 {
        reports.store(window, counts(window));
    }
    let windows: Vec<u64> = reports.all_stored().map(|(window, _)| window).collect();
    assert_eq!(windows, [6, 7, 8, 9]);
    assert_eq!(reports.stored(7), Some(&counts(7)));
}

/// Guards against windows that are too old to be reported before their counts are complete: in a large fleet that takes
/// three and a half seconds, in which several short windows begin.
#[test]
fn windows_of_any_length_are_reported_in_a_fleet_of_any_size() {
    const STEP: Duration = Duration::from_millis(250);
    const DUE: Duration = Duration::from_secs(10);
    for (millis, is_large) in [
        (300, true),
        (1_000, true),
        (2_000, true),
        (5_000, true),
        (1_000, false),
        (5_000, false),
    ] {
        let window = Duration::from_millis(millis);
        let mut reports = Reports::new(window);
        let mut reported = 0;
        for step in 1..240 {
            let held_for = STEP * step;
            let time = Duration::from_secs(1_000) + held_for;
            let current = (time.as_nanos() / window.as_nanos()) as u64;
            for number in reports.due(current) {
                let progress = Progress {
                    since_end: time.saturating_sub(window * (number as u32 + 1)),
                    held_for,
                    is_large,
                };
                if !progress.is_settled(DUE) {
                    break;
                }
                reports.close(number);
                reported += 1;
            }
        }
        let all = (STEP * 240).as_millis() as u64 / millis;
        assert!(
            reported + 15 >= all,
            "{reported} of {all} windows of {millis} ms, large: {is_large}"
        );
    }
}
