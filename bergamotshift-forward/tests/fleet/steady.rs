//! Fleets after their start: calls of the store, and the time that a change takes to reach all entries.

use core::time::Duration;

use bergamotshift_forward::endpoint::Endpoint;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::model::Fleet;
use crate::model::Node;
use crate::model::Size;
use crate::model::document;
use crate::model::registration;
use crate::model::run;
use crate::model::total;

/// Time in which a fleet has started.
const START: Duration = Duration::from_secs(6);

/// Time within which a change has to reach all entries of a fleet of hundreds; operators allow three seconds in a fleet of
/// eighty, and five in one of a thousand.
const CHANGE_WITHIN: Duration = Duration::from_secs(3);

async fn started(entries: usize) -> Fleet {
    let fleet = Fleet::new(Size::of(entries));
    fleet.start().await;
    sleep(START).await;
    fleet
}

/// Announces that an endpoint leaves, and returns when the entries know it, in ascending order.
async fn leave(fleet: &Fleet, endpoint: usize) -> Vec<Duration> {
    let mut leaving = registration(endpoint);
    leaving.leaving = true;
    let hash = Endpoint::new(leaving.clone()).hash;
    fleet.write(leaving);
    fleet.times_to(CHANGE_WITHIN, |node| node.has_left(hash)).await
}

/// Guards against calls of the store that grow with the fleet, because several entries consider themselves the first that
/// has to read it, or because news of the first one needs more rounds than the others wait.
#[test]
fn calls_of_the_store_do_not_grow_with_the_fleet() {
    const SPAN: Duration = Duration::from_secs(10);
    let mut counts = Vec::new();
    for entries in [30, 100, 300] {
        let count = core::cell::Cell::new(0);
        let count = std::rc::Rc::new(count);
        let result = std::rc::Rc::clone(&count);
        run(async move {
            let fleet = started(entries).await;
            let from = Instant::now();
            sleep(SPAN).await;
            let calls = fleet.calls_since(from);
            println!("{entries} entries: {calls:?}");
            result.set(total(&calls));
        });
        counts.push(count.get());
    }
    assert!(counts[2] <= counts[0] * 13 / 10, "{counts:?}");
    assert!(counts[1] <= counts[0] * 13 / 10, "{counts:?}");
}

/// Guards against messages that carry all registrations whenever one of them changes, which fill the links of small VMs.
#[test]
fn a_change_of_one_endpoint_costs_little() {
    run(async {
        let fleet = started(100).await;
        let bytes = |fleet: &Fleet| -> u64 { fleet.take_traffic().iter().map(|one| one.bytes).sum() };
        bytes(&fleet);
        sleep(CHANGE_WITHIN).await;
        let quiet = bytes(&fleet);
        for endpoint in 0..3 {
            leave(&fleet, 11 * endpoint).await;
        }
        sleep(CHANGE_WITHIN).await;
        let span = bytes(&fleet);
        // The changes took no longer than the quiet time each.
        assert!(span <= 5 * quiet, "{span} bytes, {quiet} in a quiet time");
        println!("quiet {quiet}, with changes {span}");
    });
}

/// Guards against changes that reach the last entry late, because each round informs too few others.
#[test]
fn a_change_reaches_all_entries_in_time() {
    run(async {
        let fleet = started(300).await;
        for number in 0..3 {
            let times = leave(&fleet, 7 * number).await;
            println!(
                "leaving known by the median after {:?}, by all after {:?}",
                times[150], times[299]
            );
            let version = 2 + number as u64;
            fleet.store.put_document(document(version, fleet.size));
            let times = fleet.times_to(CHANGE_WITHIN, |node| node.document() == version).await;
            println!(
                "document in force at the median after {:?}, at all after {:?}",
                times[150], times[299]
            );
        }
    });
}

/// Guards against entries that go on waiting for the keepers of all zones when these have died at once.
#[test]
fn a_change_reaches_all_entries_when_the_readers_have_died() {
    run(async {
        let fleet = started(100).await;
        let is_keeper = |node: &Node| {
            let control = node.control().expect("it runs");
            matches!(control.keepers().keeper, bergamotshift_forward::limits::Keeper::Own)
        };
        let keepers: Vec<_> = fleet.nodes.iter().filter(|node| is_keeper(node)).collect();
        assert_eq!(keepers.len(), 6, "one in each zone");
        for keeper in keepers {
            fleet.kill(keeper);
        }
        let times = leave(&fleet, 3).await;
        println!("known by all after {:?}", times.last());
    });
}

/// Guards against a rush of reads after the store was restored from a copy, or has lost its history.
#[test]
fn a_restored_store_is_not_read_by_all_entries_at_once() {
    for (entries, reads_per_second) in [(7, 2_000), (66, 6_000), (295, 16_000)] {
        run(async move {
            let fleet = started(entries).await;
            let from = Instant::now();
            fleet.store.restore(fleet.store.copy());
            fleet.write_all();
            sleep(Duration::from_secs(4)).await;
            let mut calls: Vec<_> = fleet.store.calls_since(from).iter().map(|call| call.at).collect();
            calls.sort_unstable();
            let in_second = |at: &Instant| {
                let end = *at + Duration::from_secs(1);
                calls.iter().filter(|other| (*at..end).contains(*other)).count()
            };
            let busiest = calls.iter().map(in_second).max().unwrap_or_default();
            println!("{entries} entries: {busiest} calls in the busiest second");
            assert!(busiest <= reads_per_second / 10, "{entries} entries: {busiest} calls");
            assert_eq!(leave(&fleet, 3).await.len(), entries);
        });
    }
}

/// Guards against an entry that sends requests to endpoints which left seconds ago: the store turns a third of all entries
/// away for long, and many endpoints leave, so that the entries that read the store know it at ever different positions.
#[test]
fn many_changes_reach_entries_that_the_store_turns_away() {
    run(async {
        // So many endpoints to an entry that a list of all of them takes a tenth of a second of a small VM's link.
        let fleet = Fleet::new(Size {
            endpoints: 3_000,
            ..Size::of(100)
        });
        fleet.start().await;
        sleep(START).await;
        for node in fleet.nodes.iter().step_by(3) {
            fleet.store.set_cut(&node.name, true);
        }
        sleep(START).await;
        for node in fleet.nodes.iter().step_by(3) {
            fleet.store.set_cut(&node.name, false);
        }
        let mut last = 0;
        for endpoint in 0..200 {
            let mut leaving = registration(endpoint);
            leaving.leaving = true;
            last = Endpoint::new(leaving.clone()).hash;
            fleet.write(leaving);
            sleep(Duration::from_millis(25)).await;
        }
        let times = fleet.times_to(CHANGE_WITHIN, |node| node.has_left(last)).await;
        println!(
            "known by the median after {:?}, by all after {:?}",
            times[50], times[99]
        );
    });
}
