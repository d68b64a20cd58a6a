//! Which models and adapters lie on which VM, and which role each VM has.
//!
//! [`plan`] compares what is wanted with what is loaded and returns orders; [`Loader`] lets as many begin as the weight
//! store's rate allows; [`roles`] splits a zone's VMs between prompts and answers.
//!
//! ```
//! use bergamotshift_capacity::placement::{plan, Host, Item, Order, Settings};
//! use bergamotshift_core::prelude::*;
//!
//! let host = |vm, zone| Host::new(name::Vm::from(vm), name::Zone::from(zone), 1.0, 80);
//! let items = [Item { name: name::Model::from("planner"), size: 30, base: None, demand: 0.5, urgent: true }];
//! let orders = plan(&[host("vm-1", "a"), host("vm-2", "b")], &items, Settings::default());
//! assert!(orders.iter().all(|order| matches!(order, Order::Load { .. })));
//! assert_eq!(orders.len(), 2, "urgent work is kept in two zones");
//! ```

mod assignment;
mod loader;
mod role;

use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;

use self::assignment::Assignment;
pub use self::loader::Loader;
pub use self::role::Role;
pub use self::role::Split;
pub use self::role::roles;

/// A model, or an adapter to one.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Its name.
    pub name: name::Model,
    /// The memory it takes, in bytes.
    pub size: u64,
    /// The model that has to lie beside it, for an adapter.
    pub base: Option<name::Model>,
    /// Work asked of it, in units per second.
    pub demand: f64,
    /// Whether its work has to go on when a zone is lost.
    pub urgent: bool,
}

/// A VM that serves, and what it holds or is loading.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Its name.
    pub vm: name::Vm,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Units of work per second that it does.
    pub rate: f64,
    /// Memory for weights, in bytes.
    pub memory: u64,
    /// What it holds or is loading.
    pub held: BTreeSet<name::Model>,
}

impl Host {
    /// Makes a host that holds nothing.
    pub const fn new(vm: name::Vm, zone: name::Zone, rate: f64, memory: u64) -> Self {
        Self {
            vm,
            zone,
            rate,
            memory,
            held: BTreeSet::new(),
        }
    }
}

/// What an endpoint is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// It loads an item.
    Load {
        /// Which VM.
        vm: name::Vm,
        /// What.
        item: name::Model,
    },
    /// It gives an item up.
    Unload {
        /// Which VM.
        vm: name::Vm,
        /// What.
        item: name::Model,
    },
}

/// How much room items get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// What is kept above an item's demand, as a part of it.
    pub headroom: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { headroom: 0.2 }
    }
}

/// Returns the orders that lead to a good placement, the most needed first.
///
/// Orders repeat the same wish until it is met, so one that is lost or carried out twice does no harm. What is loaded
/// stays where it is unless its memory is needed: an item whose demand swings is not loaded twice.
pub fn plan(hosts: &[Host], items: &[Item], settings: Settings) -> Vec<Order> {
    let mut assignment = Assignment::new(hosts, items);
    let mut order: Vec<_> = items.iter().collect();
    order.sort_by(|left, right| {
        let by_urgency = right.urgent.cmp(&left.urgent);
        let by_demand = right.demand.total_cmp(&left.demand);
        by_urgency.then(by_demand).then_with(|| left.name.cmp(&right.name))
    });
    for item in order {
        assignment.assign(item, settings);
    }
    assignment.orders()
}
