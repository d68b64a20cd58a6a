//! The capacity duty when responses and VM lists of the platform are late or lost.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use bergamotshift_capacity::duty::Kernel;
use bergamotshift_capacity::duty::Order;
use bergamotshift_capacity::duty::Settings;
use bergamotshift_capacity::duty::Token;
use bergamotshift_capacity::prelude::*;
use bergamotshift_core::prelude::*;
use bergamotshift_core::vm::Listing;
use bergamotshift_core::vm::Role;
use bergamotshift_core::vm::State;

const ZONES: [&str; 3] = ["a", "b", "c"];
const LEAVING: State = State::Leaving { notice_ms: 30_000 };

fn at(second: u64) -> Instant {
    Instant::from_secs(second)
}

fn offers() -> Vec<Offer> {
    let offer = |zone| Offer {
        pool: Pool::new(
            name::Zone::new(zone),
            name::Class::new_static("gpu"),
            Market::Reclaimable,
        ),
        price: Price::from_micros(10),
        rate: 1.0,
    };
    ZONES.map(offer).to_vec()
}

fn listing(zone: &str, incarnation: u64, state: State) -> Listing {
    Listing {
        name: name::Vm::new(format!("vm-{zone}")),
        incarnation: Incarnation::new(incarnation),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        zone: name::Zone::new(zone),
        class: name::Class::new_static("gpu"),
        market: Market::Reclaimable,
        role: Role::Endpoint(name::Service::new_static("planner-llm")),
        state,
    }
}

fn kernel() -> Kernel {
    Kernel::new(
        Settings::default(),
        policy::build(policy::DEFAULT, policy::Settings::default()).unwrap(),
        7,
    )
}

fn tick(kernel: &mut Kernel, second: u64, urgent: f64) -> Vec<Order> {
    let demand = Demand {
        urgent,
        deferrable: 0.0,
    };
    kernel.tick(at(second), &offers(), demand)
}

fn purchases(orders: &[Order]) -> Vec<(Token, String)> {
    let purchase = |order: &Order| match order {
        Order::Start { token, pool } => Some((*token, pool.zone.to_string())),
        _ => None,
    };
    orders.iter().filter_map(purchase).collect()
}

/// Returns a kernel with a VM in each zone that has served since second 200.
fn settled() -> Kernel {
    let mut kernel = kernel();
    assert_eq!(tick(&mut kernel, 0, 2.0), []);
    for (token, zone) in purchases(&tick(&mut kernel, 60, 2.0)) {
        kernel.record_purchase(at(61), token, name::Vm::new(format!("vm-{zone}")));
    }
    kernel.record_listings(at(100), &ZONES.map(|zone| listing(zone, 1, State::Live)));
    for zone in ZONES {
        kernel.record_serving(at(200), &name::Vm::new(format!("vm-{zone}")), false);
    }
    assert_eq!(tick(&mut kernel, 201, 2.0), []);
    kernel
}

#[test]
fn new_holder_does_not_buy_what_the_last_one_just_bought() {
    // The previous holder bought three VMs and lost its lease, and the list shows them half a minute later. A new
    // holder that did not wait for the list would buy them again.
    let mut kernel = kernel();
    for second in [0, 10, 20] {
        assert_eq!(tick(&mut kernel, second, 2.0), []);
    }
    kernel.record_listings(at(25), &ZONES.map(|zone| listing(zone, 1, State::Live)));
    assert_eq!(tick(&mut kernel, 40, 2.0), []);
}

#[test]
fn purchase_without_an_answer_is_repeated_under_its_token() {
    // The platform's responses are lost. The same three purchases are repeated, and no others. When the responses
    // arrive twice, each VM is counted once.
    let mut kernel = kernel();
    tick(&mut kernel, 0, 2.0);
    let first = purchases(&tick(&mut kernel, 60, 2.0));
    assert_eq!(first.len(), 3);
    assert_eq!(tick(&mut kernel, 75, 2.0), []);
    assert_eq!(purchases(&tick(&mut kernel, 90, 2.0)), first);
    for (token, zone) in first.iter().chain(&first) {
        kernel.record_purchase(at(91), *token, name::Vm::new(format!("vm-{zone}")));
    }
    assert_eq!(tick(&mut kernel, 130, 2.0), []);
}

#[test]
fn vm_that_never_serves_is_given_back_and_bought_elsewhere() {
    // Three VMs are bought and two serve. After the boot timeout the third counts as a refused start, and replacements
    // are bought in the other zones. It is stopped only when another VM of its zone reports: until then the holder may
    // be cut off from the zone while the VM serves its callers.
    let mut kernel = kernel();
    tick(&mut kernel, 0, 2.0);
    for (token, zone) in purchases(&tick(&mut kernel, 60, 2.0)) {
        kernel.record_purchase(at(61), token, name::Vm::new(format!("vm-{zone}")));
    }
    for zone in ["a", "b"] {
        kernel.record_serving(at(200), &name::Vm::new(format!("vm-{zone}")), false);
    }
    let orders = tick(&mut kernel, 421, 2.0);
    let stop = Order::Stop(name::Vm::new("vm-c"));
    assert!(!orders.contains(&stop), "{orders:?}");
    let zones: Vec<_> = purchases(&orders).into_iter().map(|(_, zone)| zone).collect();
    assert_eq!(zones, ["a", "b"]);

    let mut other = listing("c", 1, State::Live);
    other.name = name::Vm::new("vm-other");
    kernel.record_listings(at(430), &[other]);
    kernel.record_serving(at(430), &name::Vm::new("vm-other"), false);
    assert!(tick(&mut kernel, 431, 2.0).contains(&stop));
}

#[test]
fn holder_that_is_cut_off_from_a_zone_stops_nothing_there() {
    // A new holder sees three VMs in the list but receives no reports from them, because it can reach only the
    // platform. It must stop none of them, however long that lasts. When they report again, they count as capacity.
    let mut kernel = kernel();
    tick(&mut kernel, 0, 2.0);
    kernel.record_listings(at(10), &ZONES.map(|zone| listing(zone, 1, State::Live)));
    for second in (20..2_000).step_by(20) {
        let orders = tick(&mut kernel, second, 2.0);
        assert!(
            orders.iter().all(|order| matches!(order, Order::Start { .. })),
            "{orders:?}"
        );
        for (token, _) in purchases(&orders) {
            kernel.record_refusal(at(second), token);
        }
    }
    for zone in ZONES {
        kernel.record_serving(at(2_000), &name::Vm::new(format!("vm-{zone}")), false);
    }
    assert_eq!(tick(&mut kernel, 2_001, 2.0), []);
}

#[test]
fn reclaimed_vm_is_replaced_elsewhere_although_the_list_lags() {
    // One VM receives a reclaim notice. It no longer counts, its pool is paused, and a delayed list that still shows it
    // as live does not bring it back. Its next incarnation counts again.
    let mut kernel = settled();
    let left = |state| {
        [
            listing("a", 1, State::Live),
            listing("b", 1, State::Live),
            listing("c", 1, state),
        ]
    };
    kernel.record_listings(at(300), &left(LEAVING));
    let bought = purchases(&tick(&mut kernel, 301, 2.0));
    assert!(
        bought.iter().all(|(_, zone)| zone != "c") && !bought.is_empty(),
        "{bought:?}"
    );
    for (token, _) in bought {
        kernel.record_refusal(at(302), token);
    }
    kernel.record_listings(at(303), &left(State::Live));
    assert!(
        !purchases(&tick(&mut kernel, 400, 2.0)).is_empty(),
        "the leaving VM counts no more"
    );
    let mut kernel = settled();
    kernel.record_listings(at(300), &left(LEAVING));
    kernel.record_listings(
        at(310),
        &[
            listing("a", 1, State::Live),
            listing("b", 1, State::Live),
            listing("c", 2, State::Live),
        ],
    );
    assert_eq!(tick(&mut kernel, 311, 2.0), []);
}

#[test]
fn scale_in_stops_only_what_is_idle_after_its_drain() {
    // Demand falls to zero. A VM that was idle before its drain may have received work since, so only a report after
    // the drain counts. The stop is repeated until the list no longer shows the VM.
    let mut kernel = settled();
    let mut second = 300;
    let drained = loop {
        second += 60;
        for zone in ZONES {
            kernel.record_serving(at(second), &name::Vm::new(format!("vm-{zone}")), true);
        }
        if let [Order::Drain(vm)] = &*tick(&mut kernel, second, 0.0) {
            break vm.clone();
        }
        assert!(second < 10_000, "nothing is drained");
    };
    let stop = Order::Stop(drained.clone());
    assert!(!tick(&mut kernel, second + 1, 0.0).contains(&stop));
    let again = tick(&mut kernel, second + 31, 0.0);
    assert!(
        again.contains(&Order::Drain(drained.clone())) && !again.contains(&stop),
        "{again:?}"
    );
    kernel.record_serving(at(second + 32), &drained, true);
    assert!(tick(&mut kernel, second + 33, 0.0).contains(&stop));
    assert!(!tick(&mut kernel, second + 34, 0.0).contains(&stop));
    assert!(tick(&mut kernel, second + 70, 0.0).contains(&stop));
    let listings = ZONES.map(|zone| listing(zone, 1, State::Live));
    let left: Vec<_> = listings.into_iter().filter(|listing| listing.name != drained).collect();
    kernel.record_listings(at(second + 80), &left);
    assert!(!tick(&mut kernel, second + 120, 0.0).contains(&stop));
}
