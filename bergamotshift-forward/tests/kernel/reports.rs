//! Tests of which usage windows are reported, and with which counts.

use bergamotshift_forward::duty::Counts;
use bergamotshift_forward::duty::Reports;

fn counts(number: u64) -> Counts {
    Counts::from([("horeca".into(), number)])
}

#[test]
fn windows_are_due_after_the_last_reported_one_while_they_are_young() {
    let mut reports = Reports::default();
    assert_eq!(reports.due(100), 97..100);
    reports.close(98);
    assert_eq!(reports.due(100), 99..100);
    reports.learn(97, false);
    assert_eq!(reports.due(100), 99..100);
}

/// Guards against two reports of a window: the former holder died, and the restored store lacks the counts it sent.
#[test]
fn a_window_that_a_lost_holder_may_have_reported_is_uncertain_after_a_restore() {
    let mut reports = Reports::default();
    reports.learn(96, false);
    reports.restored(98);
    assert!(reports.is_uncertain(97) && reports.is_uncertain(98));
    assert!(!reports.is_uncertain(99));
}

/// Guards against windows that nobody reports: the former holder gave up the duties and named its last report.
#[test]
fn a_former_holder_that_names_its_last_report_leaves_nothing_uncertain() {
    let mut reports = Reports::default();
    reports.restored(98);
    reports.learn(96, true);
    assert_eq!(reports.due(100), 97..100);
    assert!(!reports.is_uncertain(97));
}

#[test]
fn counts_of_old_windows_are_dropped() {
    let mut reports = Reports::default();
    for window in 1..10 {
        reports.store(window, counts(window));
    }
    let windows: Vec<u64> = reports.all_stored().map(|(window, _)| window).collect();
    assert_eq!(windows, [6, 7, 8, 9]);
    assert_eq!(reports.stored(7), Some(&counts(7)));
}
