//! When a window's usage is reported.

use core::time::Duration;

use bergamotshift_forward::duty::Progress;

const DUE: Duration = Duration::from_secs(10);

fn settled(since_end: f64, held: f64, is_large: bool) -> bool {
    let progress = Progress {
        since_end: Duration::from_secs_f64(since_end),
        held: Duration::from_secs_f64(held),
        is_large,
    };
    progress.is_settled(DUE)
}

/// The holder of a large fleet's duties is gone, and another entry follows it three seconds after a window's end. The
/// others learn only now whom to tell their counts, so a report at once would miss a quarter of them.
#[test]
fn who_takes_the_duties_over_waits_until_all_have_told_it() {
    assert!(!settled(4.0, 0.1, true), "nobody has told it yet");
    assert!(settled(7.5, 3.6, true), "all have");
    assert!(settled(8.6, 0.1, true), "later would be too late");
    assert!(!settled(3.0, 60.0, true), "the window's counts are still told");
}

#[test]
fn a_small_fleet_has_told_its_counts_soon() {
    assert!(settled(2.6, 0.1, false));
    assert!(!settled(2.4, 60.0, false));
}
