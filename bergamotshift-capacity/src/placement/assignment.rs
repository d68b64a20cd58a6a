//! Construction of the desired placement, item by item.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;

use super::Host;
use super::Item;
use super::Order;
use super::Settings;

/// Tolerance for rounding errors in rates.
const EPSILON: f64 = 1e-9;

/// A host with its unassigned capacity and the items that it should hold.
#[derive(Debug)]
struct Allocation<'a> {
    host: &'a Host,
    /// Unassigned work, in units per second.
    remaining_rate: f64,
    /// Memory that no wanted item takes, in bytes.
    free_memory: u64,
    wanted: BTreeSet<&'a name::Model>,
}

/// The desired placement under construction.
#[derive(Debug)]
pub(super) struct Assignment<'a> {
    allocations: Vec<Allocation<'a>>,
    items: BTreeMap<&'a name::Model, &'a Item>,
    zones: usize,
    /// Required loads, as host index and item, in the order of assignment.
    loads: Vec<(usize, &'a name::Model)>,
}

impl<'a> Assignment<'a> {
    pub(super) fn new(hosts: &'a [Host], items: &'a [Item]) -> Self {
        let allocation = |host: &'a Host| Allocation {
            host,
            remaining_rate: host.rate,
            free_memory: host.memory,
            wanted: BTreeSet::new(),
        };
        let zones: BTreeSet<_> = hosts.iter().map(|host| &host.zone).collect();
        Self {
            allocations: hosts.iter().map(allocation).collect(),
            items: items.iter().map(|item| (&item.name, item)).collect(),
            zones: zones.len(),
            loads: Vec::new(),
        }
    }

    /// Assigns capacity to an item in shares, each in the zone where the item has the least so far.
    ///
    /// Urgent items get enough capacity that the rest covers their demand when any one zone is lost.
    pub(super) fn assign(&mut self, item: &'a Item, settings: Settings) {
        let demand = item.demand * (1.0 + settings.headroom);
        let zones = self.zones as f64;
        let redundant = item.urgent && self.zones > 1;
        let need = if redundant {
            demand * zones / (zones - 1.0)
        } else {
            demand
        };
        let min_hosts = if redundant { 2 } else { 1 };
        let share = if redundant { need / zones } else { need };
        let mut assigned: BTreeMap<&name::Zone, f64> = BTreeMap::new();
        let mut used_hosts = BTreeSet::new();
        let mut total = 0.0;
        while total + EPSILON < need || used_hosts.len() < min_hosts {
            let Some(index) = self.pick(item, &assigned, &used_hosts) else {
                return;
            };
            let allocation = &mut self.allocations[index];
            let amount = share.min(allocation.remaining_rate).min((need - total).max(0.0));
            allocation.remaining_rate -= amount;
            total += amount;
            *assigned.entry(&allocation.host.zone).or_insert(0.0) += amount;
            used_hosts.insert(index);
            self.place(index, item);
        }
    }

    /// Picks the host for an item's next share.
    ///
    /// Prefers the zone in which the item has the least, then a host that has it loaded, then the most free capacity.
    fn pick(&self, item: &Item, assigned: &BTreeMap<&name::Zone, f64>, used_hosts: &BTreeSet<usize>) -> Option<usize> {
        let fits = |index: &usize| {
            let allocation = &self.allocations[*index];
            let busy = allocation.remaining_rate <= EPSILON && item.demand > 0.0;
            !used_hosts.contains(index) && !busy && self.missing_memory(*index, item) <= allocation.free_memory
        };
        let order = |index: &usize| {
            let allocation = &self.allocations[*index];
            let in_zone = assigned.get(&allocation.host.zone).copied().unwrap_or(0.0);
            let held = allocation.host.held.contains(&item.name);
            (
                micros(in_zone),
                !held,
                core::cmp::Reverse(micros(allocation.remaining_rate)),
            )
        };
        (0..self.allocations.len()).filter(fits).min_by_key(order)
    }

    /// Returns the memory that an item still needs on a host, including its base model.
    fn missing_memory(&self, index: usize, item: &Item) -> u64 {
        let needed = |name: &&name::Model| !self.allocations[index].wanted.contains(*name);
        let names = core::iter::once(&item.name).chain(item.base.as_ref());
        let size = |name: &name::Model| self.items.get(name).map_or(0, |item| item.size);
        names.filter(needed).map(size).sum()
    }

    /// Places an item and its base model on a host.
    fn place(&mut self, index: usize, item: &'a Item) {
        // The base model comes first, because an adapter cannot be loaded without it.
        for name in item.base.iter().chain(core::iter::once(&item.name)) {
            let size = self.items.get(name).map_or(0, |item| item.size);
            let allocation = &mut self.allocations[index];
            if allocation.wanted.insert(name) {
                allocation.free_memory -= size;
                if !allocation.host.held.contains(name) {
                    self.loads.push((index, name));
                }
            }
        }
    }

    /// Returns the orders. A host without enough memory for a load first unloads items that are not wanted there.
    pub(super) fn orders(self) -> Vec<Order> {
        let mut orders = Vec::new();
        let mut free_memory: Vec<_> = self
            .allocations
            .iter()
            .map(|allocation| self.free_memory(allocation))
            .collect();
        let mut evictable: Vec<Vec<_>> = self
            .allocations
            .iter()
            .map(|allocation| self.evictable(allocation))
            .collect();
        for (index, name) in &self.loads {
            let vm = &self.allocations[*index].host.vm;
            let size = self.size(name);
            while free_memory[*index] < size {
                let Some(item) = evictable[*index].pop() else { break };
                free_memory[*index] += self.size(item);
                orders.push(Order::Unload {
                    vm: vm.clone(),
                    item: item.clone(),
                });
            }
            free_memory[*index] = free_memory[*index].saturating_sub(size);
            orders.push(Order::Load {
                vm: vm.clone(),
                item: (*name).clone(),
            });
        }
        orders
    }

    /// Returns the host's memory that no loaded item takes.
    fn free_memory(&self, allocation: &Allocation<'_>) -> u64 {
        let held: u64 = allocation.host.held.iter().map(|name| self.size(name)).sum();
        allocation.host.memory.saturating_sub(held)
    }

    /// Returns the items that are loaded on a host and not wanted there, in descending order of demand. They are
    /// unloaded from the end.
    fn evictable<'b>(&self, allocation: &Allocation<'b>) -> Vec<&'b name::Model> {
        let held = allocation.host.held.iter();
        let mut evictable: Vec<_> = held.filter(|name| !allocation.wanted.contains(name)).collect();
        let demand = |name: &name::Model| self.items.get(name).map_or(0.0, |item| item.demand);
        evictable.sort_by(|left, right| demand(right).total_cmp(&demand(left)));
        evictable
    }

    /// Returns an item's size, or zero when it is no longer configured. Such an item has no demand and is unloaded
    /// first.
    fn size(&self, name: &name::Model) -> u64 {
        self.items.get(name).map_or(0, |item| item.size)
    }
}

/// Converts a value to integer millionths, which can be ordered.
fn micros(figure: f64) -> u64 {
    (figure * 1e6) as u64
}
