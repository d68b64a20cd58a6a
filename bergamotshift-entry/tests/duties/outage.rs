//! The table is away for an hour.

use core::time::Duration;

use bergamotshift_standin::fault::Fault;

use crate::site::RATE;
use crate::site::Site;

#[ntex::test]
async fn duties_pause_while_the_table_is_away_and_come_back_without_a_stampede() {
    // Eight entries watch one duty when the table goes away for an hour. The holder's lease runs out and from then on
    // nobody gives an order, though far more work comes; everybody asks the table ever more rarely. When it is back one
    // of them takes the duty up, and all of them together ask for no more than they do in quiet times.
    const ENTRIES: usize = 8;
    let mut site = Site::start(true).await;
    let mut entries: Vec<_> = (0..ENTRIES).map(|_| site.entry()).collect();
    let calls = round(&mut site, &mut entries, 120, 2.0 * RATE).await;
    let bought = site.cloud.vms();
    assert!(!bought.is_empty());

    site.table.fault(Fault::Down);
    round(&mut site, &mut entries, 30, 2.0 * RATE).await;
    let during = round(&mut site, &mut entries, 3_600, 20.0 * RATE).await;
    assert_eq!(site.cloud.vms(), bought, "no order without a lease");
    // At most thirty seconds and at least fifteen lie between two tries.
    assert!(during <= ENTRIES as u32 * 3_600 / 15, "{during} calls in an hour");

    site.table.fault(Fault::Up);
    let after = round(&mut site, &mut entries, 120, 20.0 * RATE).await;
    assert!(
        after <= 2 * calls,
        "{after} calls in two minutes, {calls} in quiet ones"
    );
    assert_eq!(entries.iter().filter(|entry| entry.is_held()).count(), 1);
    round(&mut site, &mut entries, 120, 20.0 * RATE).await;
    assert!(site.cloud.vms().len() > bought.len());
}

/// Lets all entries do their part for some seconds, and returns how often they called the table.
async fn round(
    site: &mut Site,
    entries: &mut [bergamotshift_entry::duties::Capacity],
    seconds: u64,
    urgent: f64,
) -> u32 {
    let before = site.calls.get();
    for _ in 0..seconds {
        site.pass(Duration::from_secs(1));
        let picture = site.picture(urgent, false);
        let listings = site.listings();
        for entry in &mut *entries {
            entry.keep().await;
            entry.listed(&listings);
            entry.act(&picture).await;
        }
    }
    site.calls.get() - before
}
