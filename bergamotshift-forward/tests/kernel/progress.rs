//! Time at which a window's usage is reported.

use core::time::Duration;

use bergamotshift_forward::duty::Progress;

const DUE: Duration = Duration::from_secs(10);

fn settled(since_end: f64, held_for: f64, is_large: bool) -> bool {
    let progress = Progress {
        since_end: Duration::from_secs_f64(since_end),
        held_for: Duration::from_secs_f64(held_for),
        is_large,
    };
    progress.is_settled(DUE)
}

/// Guards against a report without a quarter of the counts, when another entry takes over a large fleet's duties three
/// seconds after a window's end. Only then do the others learn to which entry they have to report.
#[test]
fn who_takes_the_duties_over_waits_until_all_have_told_it() {
    assert!(!settled(4.0, 0.1, true), "nobody has told it yet");
    assert!(settled(7.5, 3.6, true), "all have");
    assert!(settled(8.6, 0.1, true), "later would be too late");
    assert!(!settled(3.0, 60.0, true), "the window's counts are still told");
}

#[test]
fn the_counts_of_a_small_fleet_are_soon_complete() {
    assert!(settled(2.6, 0.1, false));
    assert!(!settled(2.4, 60.0, false));
}
