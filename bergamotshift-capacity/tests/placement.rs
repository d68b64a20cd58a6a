//! Placement of models and adapters on VMs, concurrent loads and roles.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_capacity::placement::Host;
use bergamotshift_capacity::placement::Item;
use bergamotshift_capacity::placement::Loader;
use bergamotshift_capacity::placement::Order;
use bergamotshift_capacity::placement::Role;
use bergamotshift_capacity::placement::Settings;
use bergamotshift_capacity::placement::Split;
use bergamotshift_capacity::placement::plan;
use bergamotshift_capacity::placement::roles;
use bergamotshift_core::prelude::*;
use quickcheck::quickcheck;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const MEMORY: u64 = 80;

fn hosts(count: usize) -> Vec<Host> {
    let host = |index: usize| {
        let vm = name::Vm::new(format!("vm-{index}"));
        Host::new(vm, name::Zone::new(ZONES[index % ZONES.len()]), 1.0, MEMORY)
    };
    (0..count).map(host).collect()
}

fn item(name: &str, size: u64, demand: f64, urgent: bool) -> Item {
    let name = name::Model::new(name);
    Item {
        name,
        size,
        base: None,
        demand,
        urgent,
    }
}

/// Executes orders and returns the resulting hosts.
fn carry_out(mut hosts: Vec<Host>, orders: &[Order]) -> Vec<Host> {
    for order in orders {
        let (vm, item, load) = match order {
            Order::Load { vm, item } => (vm, item, true),
            Order::Unload { vm, item } => (vm, item, false),
        };
        let host = hosts.iter_mut().find(|host| host.vm == *vm).unwrap();
        let changed = if load {
            host.held.insert(item.clone())
        } else {
            host.held.remove(item)
        };
        assert!(changed, "{order:?} changes nothing");
    }
    hosts
}

fn zones_of(hosts: &[Host], item: &str) -> BTreeSet<String> {
    let holds = |host: &&Host| host.held.contains(&name::Model::new(item));
    hosts.iter().filter(holds).map(|host| host.zone.to_string()).collect()
}

fn load(vm: usize, item: &str) -> Order {
    Order::Load {
        vm: name::Vm::new(format!("vm-{vm}")),
        item: name::Model::new(item),
    }
}

#[test]
fn urgent_models_survive_the_loss_of_any_zone() {
    let items = [item("planner", 40, 6.0, true), item("map", 40, 1.0, false)];
    let hosts = carry_out(hosts(12), &plan(&hosts(12), &items, Settings::default()));
    assert_eq!(zones_of(&hosts, "planner").len(), 4);
    let mut left: BTreeMap<_, usize> = BTreeMap::new();
    for host in hosts
        .iter()
        .filter(|host| host.held.contains(&name::Model::new("planner")))
    {
        *left.entry(host.zone.clone()).or_default() += 1;
    }
    let total: usize = left.values().sum();
    assert!(left.values().all(|lost| total - lost >= 6), "{left:?}");
}

#[test]
fn placed_models_stay_when_demand_swings() {
    // Varying demand must not cause the same weights to be loaded again and again. Loaded models stay until their
    // memory is needed.
    let wanted = |planner, map| [item("planner", 40, planner, true), item("map", 40, map, false)];
    let settings = Settings::default();
    let hosts = carry_out(hosts(4), &plan(&hosts(4), &wanted(1.0, 1.0), settings));
    let hosts = carry_out(hosts.clone(), &plan(&hosts, &wanted(1.5, 0.5), settings));
    for swing in [1.0, 1.4, 0.7, 1.2] {
        assert_eq!(plan(&hosts, &wanted(swing, 1.5 - swing), settings), [], "{swing}");
    }
}

#[test]
fn memory_is_freed_before_it_is_filled() {
    let mut hosts = hosts(1);
    hosts[0].held = BTreeSet::from([name::Model::new("old"), name::Model::new("map")]);
    let items = [
        item("old", 50, 0.0, false),
        item("map", 30, 0.1, false),
        item("planner", 50, 0.5, false),
    ];
    // The item without demand still needs one host, but does not fit beside the others.
    let orders = plan(&hosts, &items, Settings::default());
    let unload = Order::Unload {
        vm: name::Vm::new("vm-0"),
        item: name::Model::new("old"),
    };
    assert_eq!(orders, [unload, load(0, "planner")]);
}

#[test]
fn adapter_follows_its_base() {
    let adapter = Item {
        base: Some(name::Model::new("planner")),
        ..item("hotel-adapter", 5, 0.5, false)
    };
    let items = [item("planner", 40, 0.1, false), adapter];
    let orders = plan(&hosts(2), &items, Settings::default());
    let hosts = carry_out(hosts(2), &orders);
    for host in hosts
        .iter()
        .filter(|host| host.held.contains(&name::Model::new("hotel-adapter")))
    {
        assert!(host.held.contains(&name::Model::new("planner")));
    }
    let place = |name: &str| {
        orders
            .iter()
            .position(|order| matches!(order, Order::Load { item, .. } if item.as_str() == name))
    };
    assert!(place("planner") < place("hotel-adapter"), "{orders:?}");
}

#[test]
fn loads_are_bounded_by_the_weight_store() {
    // A lost zone is replaced and eight loads are requested at once, of which the store serves two at full rate.
    // Further loads start when one ends, or when one has taken so long that it counts as lost.
    let mut loader = Loader::new(20.0, 10.0);
    let orders: Vec<_> = (0..8).map(|vm| load(vm, "planner")).collect();
    let size = |_: &name::Model| 40;
    assert_eq!(loader.admit(Instant::ZERO, &orders, size), orders[..2]);
    assert_eq!(loader.admit(Instant::from_secs(1), &orders, size), []);
    loader.ended(&name::Vm::new("vm-0"), &name::Model::new("planner"));
    assert_eq!(loader.admit(Instant::from_secs(2), &orders[1..], size), orders[2..3]);
    assert_eq!(loader.admit(Instant::from_secs(16), &orders[2..], size), orders[3..4]);
}

#[test]
fn roles_are_split_and_stay_within_the_tolerance() {
    use Role::Decode as D;
    use Role::Mixed as M;
    use Role::Prefill as P;
    let table = [
        (vec![M; 3], 0.5, vec![M; 3]),
        (vec![M; 4], 0.25, vec![P, D, D, D]),
        (vec![P, D, D, D], 0.4, vec![P, D, D, D]),
        (vec![P, D, D, D], 0.5, vec![P, P, D, D]),
        (vec![D, D, P, P], 0.2, vec![D, D, P, D]),
        (vec![M; 4], 0.0, vec![P, D, D, D]),
    ];
    for (present, prefill, wanted) in table {
        assert_eq!(
            roles(&present, prefill, Split::default()),
            wanted,
            "{present:?} {prefill}"
        );
    }
}

quickcheck! {
    fn placement_fits_and_settles(raw: Vec<(u8, u8, bool)>, count: u8) -> bool {
        let item = |(index, (size, demand, urgent)): (usize, &(u8, u8, bool))| {
            let demand = f64::from(*demand) / 64.0;
            item(&format!("model-{index}"), u64::from(size % 60) + 1, demand, *urgent)
        };
        let items: Vec<_> = raw.iter().take(8).enumerate().map(item).collect();
        let hosts = hosts(usize::from(count % 12) + 1);
        let after = carry_out(hosts.clone(), &plan(&hosts, &items, Settings::default()));
        let size = |name: &name::Model| items.iter().find(|item| item.name == *name).map_or(0, |item| item.size);
        let fits = after.iter().all(|host| host.held.iter().map(size).sum::<u64>() <= MEMORY);
        fits && plan(&after, &items, Settings::default()).is_empty()
    }
}
