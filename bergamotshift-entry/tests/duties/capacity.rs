//! Purchases in zones with free capacity, and stops of idle VMs.

use bergamotshift_core::prelude::*;

use crate::site::RATE;
use crate::site::Site;
use crate::site::ZONES;

#[ntex::test]
async fn starts_that_are_refused_go_elsewhere() {
    // One zone has no reclaimable VMs left and the cloud refuses to start them. The capacity has to be bought
    // elsewhere, so that the remaining zones can carry the demand after the loss of any one.
    let mut site = Site::start(true).await;
    let full = name::Zone::from("zone-a");
    let class = name::Class::from("small");
    site.cloud.set_capacity(full.clone(), class, Market::Reclaimable, 0);
    let mut duty = site.entry();
    let wanted = 4.0 * RATE;
    site.run(&mut duty, 300, wanted, false).await;
    let vms = site.cloud.vms();
    for lost in ZONES.map(name::Zone::from) {
        let left = vms.iter().filter(|spec| spec.zone != lost).count();
        assert!(left as f64 * RATE >= wanted, "without {lost}: {vms:?}");
    }
    let reclaimable = |spec: &&bergamotshift_standin::cloud::Spec| spec.market == Market::Reclaimable;
    assert!(vms.iter().filter(reclaimable).all(|spec| spec.zone != full));
}

#[ntex::test]
async fn a_vm_is_drained_and_idle_before_it_is_given_back() {
    // Demand falls permanently. VMs that are no longer needed are drained, but stopped only after their endpoints
    // report that they are idle, however long that takes.
    const LONG: u64 = 3 * 3_600;
    let mut site = Site::start(true).await;
    let mut duty = site.entry();
    site.run(&mut duty, 300, 6.0 * RATE, false).await;
    let bought = site.cloud.vms();
    site.run(&mut duty, LONG, 0.5 * RATE, false).await;
    assert_eq!(site.cloud.vms(), bought, "whatever drains is busy still");
    let draining = site.draining().await;
    assert!(!draining.is_empty());
    site.run(&mut duty, 600, 0.5 * RATE, true).await;
    let left = site.cloud.vms();
    assert!(left.len() < bought.len() && !left.is_empty());
    assert!(draining.iter().all(|vm| left.iter().all(|spec| spec.name != *vm)));
}
