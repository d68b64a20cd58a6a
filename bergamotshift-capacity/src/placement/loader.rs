//! Limit on concurrent loads.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;

use super::Order;

/// Limits concurrent loads to the number that the weight store serves at full rate.
///
/// When a zone is replaced and all its VMs load weights at once, the store divides its bandwidth among them and no VM
/// is ready for a long time. With the limit each load gets its full rate, so the first VM is ready as early as possible
/// and the last one no later than without the limit.
#[derive(Clone, Debug)]
pub struct Loader {
    /// Total bandwidth of the store, in bytes per second.
    store_rate: f64,
    /// Maximum rate of one load, in bytes per second.
    load_rate: f64,
    running: BTreeMap<(name::Vm, name::Model), Instant>,
}

/// Multiple of its expected duration after which a load no longer counts as running.
const TIMEOUT_FACTOR: f64 = 4.0;

impl Loader {
    /// Creates a loader. Rates are in bytes per second.
    pub const fn new(store_rate: f64, load_rate: f64) -> Self {
        Self {
            store_rate,
            load_rate,
            running: BTreeMap::new(),
        }
    }

    /// Returns the maximum number of concurrent loads, which is at least one.
    pub fn slots(&self) -> usize {
        ((self.store_rate / self.load_rate) as usize).max(1)
    }

    /// Returns the orders to issue now, and counts the loads among them as running.
    ///
    /// A load that is already running is not repeated. Unloads of a VM are issued together with its first admitted
    /// load, so that no memory is given up for a load that has to wait.
    pub fn admit(&mut self, now: Instant, orders: &[Order], size: impl Fn(&name::Model) -> u64) -> Vec<Order> {
        self.running.retain(|_, expires_at| now < *expires_at);
        let mut admitted = Vec::new();
        let mut unloads = Vec::new();
        for order in orders {
            let Order::Load { vm, item } = order else {
                unloads.push(order);
                continue;
            };
            let key = (vm.clone(), item.clone());
            if self.running.contains_key(&key) || self.running.len() >= self.slots() {
                continue;
            }
            let timeout = size(item) as f64 / self.load_rate * TIMEOUT_FACTOR;
            let expires_at = now + Duration::try_from_secs_f64(timeout).unwrap_or(Duration::MAX);
            self.running.insert(key, expires_at);
            let (own, others) = unloads.into_iter().partition(|unload| vm_of(unload) == vm);
            unloads = others;
            let own: Vec<&Order> = own;
            admitted.extend(own.into_iter().cloned());
            admitted.push(order.clone());
        }
        admitted
    }

    /// Records that a load ended, successfully or not.
    pub fn ended(&mut self, vm: &name::Vm, item: &name::Model) {
        self.running.remove(&(vm.clone(), item.clone()));
    }
}

const fn vm_of(order: &Order) -> &name::Vm {
    match order {
        Order::Load { vm, .. } | Order::Unload { vm, .. } => vm,
    }
}
