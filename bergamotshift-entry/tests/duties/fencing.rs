//! A holder that was paused while another entry took over.

use core::time::Duration;

use bergamotshift_core::prelude::*;

use crate::site::RATE;
use crate::site::Site;
use crate::site::is_own;

/// Returns the fencing number in the name of a VM that was bought.
fn bought_under(vm: &name::Vm) -> u64 {
    vm.as_str().split('-').nth(1).unwrap().parse().unwrap()
}

#[ntex::test]
async fn a_paused_holder_gives_no_order_after_its_successor_took_over() {
    // An entry holds the duty and has bought VMs when it is paused. Its lease lapses and another entry takes over. The
    // first one wakes up in the middle of its round, still believing in its lease, with work that asks for more VMs and
    // endpoints without models. It gives no order, neither to the cloud nor to the engines, whether those check numbers
    // or not; the second one does what is needed.
    for checks in [true, false] {
        let mut site = Site::start(checks).await;
        let (mut first, mut second) = (site.entry(), site.entry());
        site.run(&mut first, 120, 2.0 * RATE, false).await;
        let before = site.cloud.vms();
        assert!(!before.is_empty() && before.iter().all(is_own));
        assert!(before.iter().all(|spec| bought_under(&spec.name) == 1));

        for _ in 0..60 {
            site.pass(Duration::from_secs(1));
            second.keep().await;
        }
        assert!(first.is_held() && second.is_held(), "the first believes in its lease");
        let more = 20.0 * RATE;
        let woken = site.picture(more, false);
        for _ in 0..3 {
            first.act(&woken).await;
        }
        assert_eq!(site.cloud.vms(), before);
        site.run(&mut second, 300, more, false).await;
        for _ in 0..3 {
            first.act(&woken).await;
        }
        first.keep().await;
        assert!(!first.is_held());

        let after = site.cloud.vms();
        let new: Vec<_> = after.iter().filter(|spec| !before.contains(spec)).collect();
        assert!(!new.is_empty() && new.iter().all(|spec| bought_under(&spec.name) == 2));
        for spec in &after {
            let numbers = site.numbers(&spec.name);
            assert!(numbers.is_sorted(), "{numbers:?}");
            assert_eq!(numbers.last(), Some(&2), "the second one loads everything again");
        }
    }
}

#[ntex::test]
async fn a_successor_waits_for_those_who_check_no_number() {
    // The holder is gone without a word. Its successor gives engines that check the number their orders at once. The
    // cloud, and engines that ignore the number, get none before the pause and the way of an order are waited out.
    for checks in [true, false] {
        let mut site = Site::start(checks).await;
        // A new holder buys at once, so that only the wait keeps it from the cloud.
        site.settings.duty.max_list_lag = Duration::ZERO;
        let (mut first, mut second) = (site.entry(), site.entry());
        site.run(&mut first, 120, 2.0 * RATE, false).await;
        drop(first);
        let vms = site.cloud.vms();
        while !second.is_held() {
            site.pass(Duration::from_secs(1));
            second.keep().await;
        }
        let picture = site.picture(20.0 * RATE, false);
        second.act(&picture).await;
        assert_eq!(site.cloud.vms(), vms, "nothing is bought yet");
        let loaded = site.numbers(&vms[0].name).contains(&2);
        assert_eq!(loaded, checks);
        site.run(&mut second, 120, 20.0 * RATE, false).await;
        assert!(site.cloud.vms().len() > vms.len());
        assert!(site.numbers(&vms[0].name).contains(&2));
    }
}
