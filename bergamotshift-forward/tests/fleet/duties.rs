//! Duties that one entry performs for the whole fleet.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;
use tokio::time::sleep;

use crate::model::Fleet;
use crate::model::Size;
use crate::model::run;

/// Length of a usage window in the model's settings, and the time after its end within which it is reported.
const WINDOW: Duration = Duration::from_secs(5);

/// Guards against usage of which a part is missing, as entries send their counts to others than the holder of the duties, or
/// to the one before.
#[test]
fn the_usage_of_all_entries_of_a_large_fleet_is_reported() {
    const REQUESTS: u64 = 3;
    run(async {
        let fleet = Fleet::new(Size::of(40));
        fleet.start().await;
        sleep(3 * WINDOW).await;
        let organisation = name::Organisation::new("organisation-1");
        let holder = fleet.holder().expect("one holds the duties");
        for node in &fleet.nodes {
            let control = node.control().expect("it runs");
            (0..REQUESTS).for_each(|_| control.shared().tally.count(&organisation));
        }
        // The counts reach the holder, and the window that it reports next.
        sleep(2 * WINDOW + Duration::from_secs(2)).await;
        let reported = || -> u64 {
            let reports = fleet.store.reports();
            let counts = reports.iter().filter_map(|(_, usage)| usage.counts.get(&organisation));
            counts.sum()
        };
        assert_eq!(reported(), REQUESTS * fleet.nodes.len() as u64);
        fleet.kill(holder);
        for node in fleet.nodes.iter().filter(|node| node.name != holder.name) {
            let control = node.control().expect("it runs");
            (0..REQUESTS).for_each(|_| control.shared().tally.count(&organisation));
        }
        sleep(4 * WINDOW).await;
        assert_eq!(
            reported(),
            REQUESTS * (2 * fleet.nodes.len() as u64 - 1),
            "after the holder was killed"
        );
    });
}

/// Waits until a condition holds.
async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    const LIMIT: Duration = Duration::from_secs(30);
    const POLL_INTERVAL: Duration = Duration::from_millis(10);
    let began = tokio::time::Instant::now();
    while !condition() {
        assert!(began.elapsed() < LIMIT, "it did not come about: {what}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Guards against a window that is reported twice with other counts: its holder dies right after the report, and the store
/// is restored from a copy without the reported counts when the next holder has begun but not reported yet.
#[test]
fn a_restore_after_a_takeover_lets_no_window_be_reported_with_other_counts() {
    // Which entry follows, and when, differs between fleets.
    for _ in 0..6 {
        run(take_over_and_restore());
    }
}

async fn take_over_and_restore() {
    let fleet = Fleet::new(Size::of(20));
    fleet.start().await;
    sleep(3 * WINDOW).await;
    let organisation = name::Organisation::new("organisation-1");
    for node in &fleet.nodes {
        let control = node.control().expect("it runs");
        control.shared().tally.count(&organisation);
    }
    let copy = fleet.store.copy();
    let is_reported = || {
        let reports = fleet.store.reports();
        reports
            .iter()
            .any(|(_, usage)| usage.counts.contains_key(&organisation))
    };
    wait_until("the window is reported", is_reported).await;
    let first = fleet.holder().expect("one holds the duties");
    fleet.kill(first);
    wait_until("another entry takes over", || fleet.holder().is_some()).await;
    fleet.store.restore(copy);
    fleet.write_all();
    sleep(4 * WINDOW).await;
    let mut counts = BTreeMap::new();
    for (_, usage) in fleet.store.reports() {
        let before = counts.insert(usage.window, usage.counts.clone());
        assert!(
            before.is_none_or(|before| before == usage.counts),
            "window {} has other counts in its second report",
            usage.window
        );
    }
}
