//! Duties that one entry performs for the whole fleet.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use tokio::time::sleep;

use crate::model::Fleet;
use crate::model::Node;
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
        let is_holder = |node: &&Node| {
            node.control()
                .is_some_and(|one| one.shared().metrics.duty_holder.get() == 1)
        };
        let holder = fleet.nodes.iter().find(is_holder).expect("one holds the duties");
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
