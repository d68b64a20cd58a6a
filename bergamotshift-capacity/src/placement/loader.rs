//! How many loads run at once.

use core::time::Duration;
use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;

use super::Order;

/// Lets loads begin as fast as the weight store can serve them.
///
/// Failure: a zone is replaced and all its VMs load weights at once. Symptom: the store divides its rate among them
/// and none is ready for long. Only so many load at once that each gets its full rate, the most needed first, so the
/// first is ready as early as it can be and the last no later.
#[derive(Clone, Debug)]
pub struct Loader {
    /// Bytes per second that the store gives in all.
    store_rate: f64,
    /// Bytes per second that one load can use.
    load_rate: f64,
    running: BTreeMap<(name::Vm, name::Model), Instant>,
}

/// How many times its expected time a load may take before its place is given away.
const TIMEOUT_FACTOR: f64 = 4.0;

impl Loader {
    /// Makes a loader; rates are in bytes per second.
    pub const fn new(store_rate: f64, load_rate: f64) -> Self {
        Self {
            store_rate,
            load_rate,
            running: BTreeMap::new(),
        }
    }

    /// Returns how many loads may run at once.
    pub fn slots(&self) -> usize {
        ((self.store_rate / self.load_rate) as usize).max(1)
    }

    /// Returns the orders that are issued now, and notes the loads among them.
    ///
    /// A load that is already running is not repeated. A VM's unloads go out with its first load that is let through,
    /// and not before: memory is not given up for a load that has to wait.
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

    /// Notes that a load ended, well or not.
    pub fn ended(&mut self, vm: &name::Vm, item: &name::Model) {
        self.running.remove(&(vm.clone(), item.clone()));
    }
}

const fn vm_of(order: &Order) -> &name::Vm {
    match order {
        Order::Load { vm, .. } | Order::Unload { vm, .. } => vm,
    }
}
