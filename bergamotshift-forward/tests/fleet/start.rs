//! Start of all entries at once, also after all were killed.

use core::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use crate::model::Fleet;
use crate::model::Node;
use crate::model::Size;
use crate::model::run;
use crate::store::Purpose;

/// Time within which all entries have to be able to serve. Their callers wait for 0.4 s, and retry once.
const READY_WITHIN: Duration = Duration::from_millis(1_500);

/// Time after a start in which its calls are counted.
const START: Duration = Duration::from_secs(5);

/// Starts a fleet, and returns the number of its calls of the store for a purpose.
async fn calls_of_start(fleet: &Fleet, purposes: &[Purpose]) -> usize {
    let from = Instant::now();
    fleet.start().await;
    fleet.wait_for_all("can serve", READY_WITHIN, Node::can_serve).await;
    sleep(START.saturating_sub(from.elapsed())).await;
    let calls = fleet.calls_since(from);
    println!(
        "{} entries: {calls:?}, {} kB",
        fleet.size.entries,
        fleet.store.bytes() / 1_000
    );
    let of = |purpose: &Purpose| calls.get(purpose).map_or(0, |(count, _)| *count);
    purposes.iter().map(of).sum()
}

/// Guards against a fleet of which each entry reads the whole store at its start: half of all calls of a day, and more
/// bytes than the store's link carries in seconds.
#[test]
fn a_starting_fleet_reads_the_store_through_some_of_its_entries() {
    for entries in [30, 100, 300] {
        run(async move {
            let fleet = Fleet::new(Size::of(entries));
            let calls = calls_of_start(&fleet, &[Purpose::Document, Purpose::Registrations]).await;
            // Each entry would make one call for the document, and one for each page of registrations.
            let all = entries * (1 + fleet.size.endpoints.div_ceil(500));
            assert!(calls <= all / 2 + 40, "{entries} entries: {calls} of {all} calls");
        });
    }
}

/// Guards against rows that all entries write in the same second, so that their partition refuses a third of the writes.
#[test]
fn a_starting_fleet_writes_its_rows_as_fast_as_they_are_taken() {
    run(async {
        let fleet = Fleet::new(Size::of(300));
        let from = Instant::now();
        fleet.start().await;
        sleep(START).await;
        let writes = fleet
            .calls_since(from)
            .get(&Purpose::EntryWrite)
            .copied()
            .unwrap_or_default();
        assert_eq!(writes.1, 0, "refused, of {}", writes.0);
    });
}

/// Guards against a fleet that serves nobody for long after all its entries were killed, as they wait for one another to
/// read the store.
#[test]
fn a_fleet_of_which_all_entries_were_killed_serves_again() {
    run(async {
        let fleet = Fleet::new(Size::of(100));
        fleet.start().await;
        sleep(START).await;
        fleet.nodes.iter().for_each(|node| fleet.kill(node));
        sleep(Duration::from_secs(1)).await;
        let calls = calls_of_start(&fleet, &[Purpose::Document, Purpose::Registrations]).await;
        assert!(calls <= 2 * fleet.size.entries, "{calls} calls");
    });
}
