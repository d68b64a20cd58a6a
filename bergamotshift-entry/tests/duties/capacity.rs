//! Buying where there is room, and giving back what runs nothing.

use bergamotshift_core::prelude::*;

use crate::site::RATE;
use crate::site::Site;
use crate::site::ZONES;

#[ntex::test]
async fn starts_that_are_refused_go_elsewhere() {
    // One zone has no reclaimable VMs left just when more are needed. The cloud refuses them; what they
    // should have carried is bought elsewhere, so that the loss of any zone can still be borne.
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
    // Demand falls for good. VMs that are not needed are told to drain and kept as long as anything runs there, however
    // long that takes; only when they say that they are idle are they given back.
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
