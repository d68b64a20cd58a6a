//! The wanted placement, built item by item.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;

use super::Host;
use super::Item;
use super::Order;
use super::Settings;

/// Differences of rates below this are rounding.
const EPSILON: f64 = 1e-9;

#[derive(Debug)]
struct Room<'a> {
    host: &'a Host,
    rate: f64,
    memory: u64,
    wanted: BTreeSet<&'a name::Model>,
}

#[derive(Debug)]
pub(super) struct Assignment<'a> {
    rooms: Vec<Room<'a>>,
    items: BTreeMap<&'a name::Model, &'a Item>,
    zones: usize,
    /// Loads in the order in which they are needed.
    loads: Vec<(usize, &'a name::Model)>,
}

impl<'a> Assignment<'a> {
    pub(super) fn new(hosts: &'a [Host], items: &'a [Item]) -> Self {
        let room = |host: &'a Host| Room {
            host,
            rate: host.rate,
            memory: host.memory,
            wanted: BTreeSet::new(),
        };
        let zones: BTreeSet<_> = hosts.iter().map(|host| &host.zone).collect();
        Self {
            rooms: hosts.iter().map(room).collect(),
            items: items.iter().map(|item| (&item.name, item)).collect(),
            zones: zones.len(),
            loads: Vec::new(),
        }
    }

    /// Gives an item room in small pieces, each in the zone where it has least.
    ///
    /// Urgent items get so much that what is left without any one zone carries their demand.
    pub(super) fn assign(&mut self, item: &'a Item, settings: Settings) {
        let demand = item.demand * (1.0 + settings.headroom);
        let zones = self.zones as f64;
        let spread = item.urgent && self.zones > 1;
        let need = if spread { demand * zones / (zones - 1.0) } else { demand };
        let least = if spread { 2 } else { 1 };
        let piece = if spread { need / zones } else { need };
        let mut given: BTreeMap<&name::Zone, f64> = BTreeMap::new();
        let mut used = BTreeSet::new();
        let mut total = 0.0;
        while total + EPSILON < need || used.len() < least {
            let Some(index) = self.pick(item, &given, &used) else {
                return;
            };
            let room = &mut self.rooms[index];
            let amount = piece.min(room.rate).min((need - total).max(0.0));
            room.rate -= amount;
            total += amount;
            *given.entry(&room.host.zone).or_insert(0.0) += amount;
            used.insert(index);
            self.place(index, item);
        }
    }

    /// Picks the host for an item's next piece: the zone with least of it, then one that holds it, then the emptiest.
    fn pick(&self, item: &Item, given: &BTreeMap<&name::Zone, f64>, used: &BTreeSet<usize>) -> Option<usize> {
        let fits = |index: &usize| {
            let room = &self.rooms[*index];
            let busy = room.rate <= EPSILON && item.demand > 0.0;
            !used.contains(index) && !busy && self.missing(*index, item) <= room.memory
        };
        let order = |index: &usize| {
            let room = &self.rooms[*index];
            let here = given.get(&room.host.zone).copied().unwrap_or(0.0);
            let held = room.host.held.contains(&item.name);
            (micros(here), !held, core::cmp::Reverse(micros(room.rate)))
        };
        (0..self.rooms.len()).filter(fits).min_by_key(order)
    }

    /// Returns the memory that an item still needs on a host, its base included.
    fn missing(&self, index: usize, item: &Item) -> u64 {
        let needed = |name: &&name::Model| !self.rooms[index].wanted.contains(*name);
        let names = core::iter::once(&item.name).chain(item.base.as_ref());
        let size = |name: &name::Model| self.items.get(name).map_or(0, |item| item.size);
        names.filter(needed).map(size).sum()
    }

    fn place(&mut self, index: usize, item: &'a Item) {
        // The base comes first, as an adapter cannot be loaded without it.
        for name in item.base.iter().chain(core::iter::once(&item.name)) {
            let size = self.items.get(name).map_or(0, |item| item.size);
            let room = &mut self.rooms[index];
            if room.wanted.insert(name) {
                room.memory -= size;
                if !room.host.held.contains(name) {
                    self.loads.push((index, name));
                }
            }
        }
    }

    /// Returns the orders; a host that lacks memory for a load first gives up what is not wanted there.
    pub(super) fn orders(self) -> Vec<Order> {
        let mut orders = Vec::new();
        let mut free: Vec<_> = self.rooms.iter().map(|room| self.unused(room)).collect();
        let mut spare: Vec<Vec<_>> = self.rooms.iter().map(|room| self.spare(room)).collect();
        for (index, name) in &self.loads {
            let vm = &self.rooms[*index].host.vm;
            let size = self.size(name);
            while free[*index] < size {
                let Some(item) = spare[*index].pop() else { break };
                free[*index] += self.size(item);
                orders.push(Order::Unload {
                    vm: vm.clone(),
                    item: item.clone(),
                });
            }
            free[*index] = free[*index].saturating_sub(size);
            orders.push(Order::Load {
                vm: vm.clone(),
                item: (*name).clone(),
            });
        }
        orders
    }

    fn unused(&self, room: &Room<'_>) -> u64 {
        let held: u64 = room.host.held.iter().map(|name| self.size(name)).sum();
        room.host.memory.saturating_sub(held)
    }

    /// Returns what a host holds and is not wanted there, the least asked for last.
    fn spare<'b>(&self, room: &Room<'b>) -> Vec<&'b name::Model> {
        let held = room.host.held.iter();
        let mut spare: Vec<_> = held.filter(|name| !room.wanted.contains(name)).collect();
        let demand = |name: &name::Model| self.items.get(name).map_or(0.0, |item| item.demand);
        spare.sort_by(|left, right| demand(right).total_cmp(&demand(left)));
        spare
    }

    /// Returns an item's size; one that is no longer configured counts as nothing, and goes first.
    fn size(&self, name: &name::Model) -> u64 {
        self.items.get(name).map_or(0, |item| item.size)
    }
}

fn micros(figure: f64) -> u64 {
    (figure * 1e6) as u64
}
