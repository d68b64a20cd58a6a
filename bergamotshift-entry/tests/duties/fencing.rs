//! Orders of a holder that was paused or died while another entry took over.

use core::time::Duration;

use bergamotshift_core::prelude::*;

use crate::site::RATE;
use crate::site::Site;
use crate::site::is_own;

/// Returns the fencing number in the name of a VM that was bought.
fn fencing_number(vm: &name::Vm) -> u64 {
    vm.as_str().split('-').nth(1).unwrap().parse().unwrap()
}

#[ntex::test]
async fn a_paused_holder_gives_no_order_after_its_successor_took_over() {
    // A holder is paused until its lease expires and another entry takes over. It resumes in the middle of a round,
    // still believes that it holds the lease, and has VMs to buy and models to load. It must give no order to the cloud
    // or to the engines, whether these check fencing numbers or not.
    for checks in [true, false] {
        let mut site = Site::start(checks).await;
        let (mut first, mut second) = (site.entry(), site.entry());
        site.run(&mut first, 120, 2.0 * RATE, false).await;
        let before = site.cloud.vms();
        assert!(!before.is_empty() && before.iter().all(is_own));
        assert!(before.iter().all(|spec| fencing_number(&spec.name) == 1));

        for _ in 0..60 {
            site.advance(Duration::from_secs(1));
            second.update_lease().await;
        }
        assert!(first.is_held() && second.is_held(), "the first believes in its lease");
        let more = 20.0 * RATE;
        let stale = site.observation(more, false);
        for _ in 0..3 {
            first.tick(&stale).await;
        }
        assert_eq!(site.cloud.vms(), before);
        site.run(&mut second, 300, more, false).await;
        for _ in 0..3 {
            first.tick(&stale).await;
        }
        first.update_lease().await;
        assert!(!first.is_held());

        let after = site.cloud.vms();
        let new: Vec<_> = after.iter().filter(|spec| !before.contains(spec)).collect();
        assert!(!new.is_empty() && new.iter().all(|spec| fencing_number(&spec.name) == 2));
        for spec in &after {
            let numbers = site.fencing_numbers(&spec.name);
            assert!(numbers.is_sorted(), "{numbers:?}");
            assert_eq!(numbers.last(), Some(&2), "the second one loads everything again");
        }
    }
}

#[ntex::test]
async fn a_successor_waits_for_those_who_check_no_number() {
    // A holder dies without releasing its lease. Its successor sends orders at once to engines that check fencing
    // numbers. The cloud, and engines that ignore the number, must get none until the longest pause of the first
    // holder and the longest transit of an order are over.
    for checks in [true, false] {
        let mut site = Site::start(checks).await;
        // Without list lag a new holder buys at once, so that only the wait for orders in flight delays it.
        site.settings.duty.max_list_lag = Duration::ZERO;
        let (mut first, mut second) = (site.entry(), site.entry());
        site.run(&mut first, 120, 2.0 * RATE, false).await;
        drop(first);
        let vms = site.cloud.vms();
        while !second.is_held() {
            site.advance(Duration::from_secs(1));
            second.update_lease().await;
        }
        let observation = site.observation(20.0 * RATE, false);
        second.tick(&observation).await;
        assert_eq!(site.cloud.vms(), vms, "nothing is bought yet");
        let loaded = site.fencing_numbers(&vms[0].name).contains(&2);
        assert_eq!(loaded, checks);
        site.run(&mut second, 120, 20.0 * RATE, false).await;
        assert!(site.cloud.vms().len() > vms.len());
        assert!(site.fencing_numbers(&vms[0].name).contains(&2));
    }
}
