//! An outage of the table that lasts an hour.

use core::time::Duration;

use bergamotshift_standin::fault::Fault;

use crate::site::RATE;
use crate::site::Site;

#[ntex::test]
async fn duties_pause_while_the_table_is_away_and_come_back_without_a_stampede() {
    // The table is down for an hour while eight entries watch one duty. After the lease expires no entry may give an
    // order, although demand grows, and all of them back off. After the outage one entry takes the duty, and the calls
    // of all entries together stay within twice their usual number.
    const ENTRIES: usize = 8;
    let mut site = Site::start(true).await;
    let mut entries: Vec<_> = (0..ENTRIES).map(|_| site.entry()).collect();
    let calls = run_all(&mut site, &mut entries, 120, 2.0 * RATE).await;
    let bought = site.cloud.vms();
    assert!(!bought.is_empty());

    site.table.fault(Fault::Down);
    run_all(&mut site, &mut entries, 30, 2.0 * RATE).await;
    let during = run_all(&mut site, &mut entries, 3_600, 20.0 * RATE).await;
    assert_eq!(site.cloud.vms(), bought, "no order without a lease");
    // Two attempts of an entry are 15 to 30 seconds apart.
    assert!(during <= ENTRIES as u32 * 3_600 / 15, "{during} calls in an hour");

    site.table.fault(Fault::Up);
    let after = run_all(&mut site, &mut entries, 120, 20.0 * RATE).await;
    assert!(
        after <= 2 * calls,
        "{after} calls in two minutes, {calls} in quiet ones"
    );
    assert_eq!(entries.iter().filter(|entry| entry.is_held()).count(), 1);
    run_all(&mut site, &mut entries, 120, 20.0 * RATE).await;
    assert!(site.cloud.vms().len() > bought.len());
}

/// Runs all entries for a number of seconds, and returns how often they called the table.
async fn run_all(
    site: &mut Site,
    entries: &mut [bergamotshift_entry::duties::Capacity],
    seconds: u64,
    urgent: f64,
) -> u32 {
    let before = site.calls.get();
    for _ in 0..seconds {
        site.advance(Duration::from_secs(1));
        let observation = site.observation(urgent, false);
        let listings = site.listings();
        for entry in &mut *entries {
            entry.update_lease().await;
            entry.record_listings(&listings);
            entry.tick(&observation).await;
        }
    }
    site.calls.get() - before
}
