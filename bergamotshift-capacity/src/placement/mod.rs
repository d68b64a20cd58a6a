//! Placement of models and adapters on VMs, and the roles of the VMs.
//!
//! [`plan`] compares the desired placement with the loaded models and returns orders. [`Loader`] limits concurrent
//! loads to the bandwidth of the weight store. [`roles`] splits a zone's VMs between prefill and decode.
//!
//! ```
//! use bergamotshift_capacity::placement::{plan, Host, Item, Order, Settings};
//! use bergamotshift_core::prelude::*;
//!
//! let host = |vm, zone| Host::new(name::Vm::from(vm), name::Zone::from(zone), 1.0, 80);
//! let items = [Item { name: name::Model::from("planner"), size: 30, base: None, demand: 0.5, urgent: true }];
//! let orders = plan(&[host("vm-1", "a"), host("vm-2", "b")], &items, Settings::default());
//! assert!(orders.iter().all(|order| matches!(order, Order::Load { .. })));
//! assert_eq!(orders.len(), 2, "urgent models are placed in two zones");
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

/// A model, or an adapter to a model.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Name of the model or adapter.
    pub name: name::Model,
    /// Memory that the weights take, in bytes.
    pub size: u64,
    /// Model that has to be loaded on the same VM, for an adapter.
    pub base: Option<name::Model>,
    /// Demand for the item, in units of work per second.
    pub demand: f64,
    /// Whether the item has to be served when a zone is lost.
    pub urgent: bool,
}

/// A serving VM with the items that it has loaded or is loading.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Name of the VM.
    pub vm: name::Vm,
    /// Availability zone.
    pub zone: name::Zone,
    /// Work that the VM does, in units per second.
    pub rate: f64,
    /// Memory for weights, in bytes.
    pub memory: u64,
    /// Items that are loaded or loading.
    pub held: BTreeSet<name::Model>,
}

impl Host {
    /// Creates a host with nothing loaded.
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

/// An order to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Load an item.
    Load {
        /// VM of the endpoint.
        vm: name::Vm,
        /// Item to load.
        item: name::Model,
    },
    /// Unload an item.
    Unload {
        /// VM of the endpoint.
        vm: name::Vm,
        /// Item to unload.
        item: name::Model,
    },
}

/// Settings of the placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Capacity kept above an item's demand, as a share of it.
    pub headroom: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { headroom: 0.2 }
    }
}

/// Returns the orders that lead to the desired placement. Urgent items come first, then those with the most demand.
///
/// The same orders are returned until they are executed, so an order that is lost or executed twice does no harm. Items
/// stay loaded until their memory is needed, so that an item with varying demand is not loaded again and again.
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
