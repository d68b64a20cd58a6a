//! Decisions of the default capacity policy.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_capacity::prelude::*;
use bergamotshift_core::prelude::*;
use quickcheck::quickcheck;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

fn pool(zone: &str, market: Market) -> Pool {
    Pool::new(name::Zone::new(zone), name::Class::new_static("gpu"), market)
}

fn offers(prices: [u64; 4]) -> Vec<Offer> {
    let offer = |(zone, price): (&str, u64), market, factor| Offer {
        pool: pool(zone, market),
        price: Price::from_micros(price * factor),
        rate: 1.0,
    };
    let zones = || ZONES.into_iter().zip(prices);
    let reclaimable = zones().map(|zone| offer(zone, Market::Reclaimable, 1));
    reclaimable
        .chain(zones().map(|zone| offer(zone, Market::OnDemand, 3)))
        .collect()
}

fn vm(number: usize, pool: Pool, phase: Phase) -> Vm {
    Vm {
        name: name::Vm::new(format!("vm-{number}")),
        pool,
        rate: 1.0,
        phase,
    }
}

fn live(zones: &[&str], market: Market) -> Vec<Vm> {
    let vm = |(index, zone): (usize, &&str)| vm(index, pool(zone, market), Phase::Live(Instant::ZERO));
    zones.iter().enumerate().map(vm).collect()
}

fn exact() -> policy::Settings {
    policy::Settings {
        headroom: 0.0,
        scale_in_margin: 0.0,
        ..policy::Settings::default()
    }
}

fn plan(policy: &mut dyn Policy, second: u64, offers: &[Offer], vms: &[Vm], urgent: f64) -> Vec<Action> {
    let demand = Demand {
        urgent,
        deferrable: 0.0,
    };
    policy.plan(Instant::from_secs(second), &Situation { offers, vms, demand })
}

/// Counts starts by zone and market.
fn starts(actions: &[Action]) -> BTreeMap<(String, bool), usize> {
    let mut counts = BTreeMap::new();
    for action in actions {
        if let Action::Start(pool) = action {
            let key = (pool.zone.to_string(), pool.reclaimable());
            *counts.entry(key).or_insert(0) += 1;
        }
    }
    counts
}

fn expected(counts: &[(&str, bool, usize)]) -> BTreeMap<(String, bool), usize> {
    counts
        .iter()
        .map(|(zone, market, count)| ((zone.to_string(), *market), *count))
        .collect()
}

fn spread() -> Box<dyn Policy> {
    policy::build(policy::DEFAULT, exact()).unwrap()
}

#[test]
fn policies_register_themselves() {
    let names = bergamotshift_core::plugin::names::<policy::Kind>();
    assert_eq!(names, ["reactive", "spread", "static-peak"]);
    let names = bergamotshift_core::plugin::names::<steal::Kind>();
    assert_eq!(names, ["local", "push", "push-steal", "steal"]);
}

#[test]
fn spread_follows_prices() {
    // The urgent work needs six VMs. With four zones of the same price, eight VMs cover it, two in each zone. If one
    // zone is expensive, nine VMs in the other three cost less. With only two cheap zones, six VMs are needed in each.
    let table = [
        (
            [10, 10, 10, 10],
            vec![("a", true, 2), ("b", true, 2), ("c", true, 2), ("d", true, 2)],
        ),
        ([10, 10, 10, 30], vec![("a", true, 3), ("b", true, 3), ("c", true, 3)]),
        ([10, 10, 60, 60], vec![("a", true, 6), ("b", true, 6)]),
    ];
    for (prices, counts) in table {
        let actions = plan(&mut *spread(), 0, &offers(prices), &[], 6.0);
        assert_eq!(starts(&actions), expected(&counts), "{prices:?}");
    }
}

#[test]
fn deferrable_work_uses_the_reserve_for_a_lost_zone() {
    // Urgent work for three VMs takes four. Deferrable work for one VM fits into the reserve, for two it needs a fifth.
    for (deferrable, count) in [(0.0, 4), (1.0, 4), (2.0, 5)] {
        let demand = Demand {
            urgent: 3.0,
            deferrable,
        };
        let offers = offers([10; 4]);
        let situation = Situation {
            offers: &offers,
            vms: &[],
            demand,
        };
        assert_eq!(spread().plan(Instant::ZERO, &situation).len(), count, "{deferrable}");
    }
}

#[test]
fn refused_starts_go_elsewhere_and_back_off() {
    // The platform refuses VMs in the cheapest zone. The policy then buys in other zones, and tries the refused zone
    // again only after a backoff, which doubles.
    let mut policy = spread();
    let offers = offers([10, 11, 12, 13]);
    let refuse = |policy: &mut dyn Policy, second| {
        let event = Event::Refused(pool("a", Market::Reclaimable));
        policy.event(Instant::from_secs(second), &event);
    };
    let asks_a = |policy: &mut dyn Policy, second| {
        starts(&plan(policy, second, &offers, &[], 6.0)).contains_key(&("a".to_owned(), true))
    };
    assert!(asks_a(&mut *policy, 0));
    refuse(&mut *policy, 0);
    assert!(!asks_a(&mut *policy, 29));
    assert!(asks_a(&mut *policy, 30));
    refuse(&mut *policy, 30);
    assert!(!asks_a(&mut *policy, 89));
    assert!(asks_a(&mut *policy, 90));
}

#[test]
fn on_demand_covers_only_what_reclaimable_cannot() {
    // Reclaimable VMs are refused in three zones. The fourth zone alone cannot cover its own loss, so on-demand VMs are
    // bought. Later all zones sell again, and the on-demand VMs are replaced one by one, each drained only after its
    // replacement serves.
    let mut policy = spread();
    let offers = offers([10; 4]);
    for zone in ["a", "b", "c"] {
        policy.event(Instant::ZERO, &Event::Refused(pool(zone, Market::Reclaimable)));
    }
    let counts = starts(&plan(&mut *policy, 0, &offers, &[], 3.0));
    let on_demand: usize = counts
        .iter()
        .filter(|((_, reclaimable), _)| !reclaimable)
        .map(|(_, count)| count)
        .sum();
    assert_eq!((on_demand, counts.values().sum::<usize>()), (3, 4), "{counts:?}");

    let mut vms = live(&["d"], Market::Reclaimable);
    vms.push(vm(1, pool("a", Market::OnDemand), Phase::Live(Instant::ZERO)));
    vms.push(vm(2, pool("b", Market::OnDemand), Phase::Live(Instant::ZERO)));
    vms.push(vm(3, pool("c", Market::OnDemand), Phase::Live(Instant::ZERO)));
    let actions = plan(&mut *policy, 3_600, &offers, &vms, 3.0);
    assert!(
        matches!(&*actions, [Action::Start(pool)] if pool.reclaimable()),
        "{actions:?}"
    );
    vms.push(vm(
        4,
        pool("a", Market::Reclaimable),
        Phase::Live(Instant::from_secs(3_700)),
    ));
    let actions = plan(&mut *policy, 3_700, &offers, &vms, 3.0);
    assert_eq!(actions, [Action::Drain(name::Vm::new("vm-1"))]);
}

#[test]
fn scale_in_waits_drains_and_then_stops() {
    // Demand falls from six to three. Nothing happens within the hold time. Then VMs are drained one at a time, and
    // stopped only when they are idle.
    let mut policy = spread();
    let offers = offers([10; 4]);
    let mut vms = live(&["a", "b", "c", "d", "a", "b", "c", "d"], Market::Reclaimable);
    let mut second = 0;
    let mut tick = |policy: &mut dyn Policy, vms: &[Vm], urgent| {
        second += 60;
        (second, plan(policy, second, &offers, vms, urgent))
    };
    assert_eq!(tick(&mut *policy, &vms, 6.0).1, []);
    let drained = loop {
        let (second, actions) = tick(&mut *policy, &vms, 3.0);
        if !actions.is_empty() {
            assert!(second > 900, "within the hold time");
            break actions;
        }
    };
    let [Action::Drain(name)] = &*drained else {
        panic!("{drained:?}");
    };
    let index = vms.iter().position(|vm| vm.name == *name).unwrap();
    vms[index].phase = Phase::Draining { idle: false };
    let stop = Action::Stop(name.clone());
    assert!(!tick(&mut *policy, &vms, 3.0).1.contains(&stop));
    vms[index].phase = Phase::Draining { idle: true };
    assert!(tick(&mut *policy, &vms, 3.0).1.contains(&stop));
}

#[test]
fn required_rate_meets_the_tightest_deadline() {
    let at = Instant::from_secs;
    let min_remaining = Duration::from_mins(1);
    let jobs = [(at(100), 50.0), (at(1_000), 50.0), (at(200), 100.0)];
    assert_eq!(demand::required_rate(at(0), min_remaining, jobs), 0.75);
    assert_eq!(demand::required_rate(at(99), min_remaining, [(at(100), 60.0)]), 1.0);
    assert_eq!(demand::required_rate(at(0), min_remaining, []), 0.0);
}

quickcheck! {
    fn purchases_survive_the_loss_of_any_zone(prices: (u8, u8, u8, u8), urgent: u8, have: Vec<u8>) -> bool {
        let price = |price: u8| u64::from(price) + 1;
        let prices = [price(prices.0), price(prices.1), price(prices.2), price(prices.3)];
        let urgent = f64::from(urgent % 40);
        let zones: Vec<_> = have.iter().take(20).map(|zone| ZONES[usize::from(zone % 4)]).collect();
        let vms = live(&zones, Market::Reclaimable);
        let actions = plan(&mut *spread(), 0, &offers(prices), &vms, urgent);
        let mut capacity = BTreeMap::new();
        for zone in zones {
            *capacity.entry(zone.to_owned()).or_insert(0.0) += 1.0;
        }
        for ((zone, _), count) in starts(&actions) {
            *capacity.entry(zone).or_insert(0.0) += count as f64;
        }
        let total: f64 = capacity.values().sum();
        capacity.values().all(|lost| total - lost >= urgent) || urgent == 0.0
    }
}
