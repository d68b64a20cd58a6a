//! Capacity by zone, and the capacity that remains when a zone is lost.

use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;

use crate::demand::Demand;
use crate::market::Phase;
use crate::market::Vm;

/// Tolerance for rounding errors in sums of rates.
pub(super) const EPSILON: f64 = 1e-9;

/// Capacity of VMs by zone, in units of work per second.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    zones: BTreeMap<name::Zone, f64>,
    total: f64,
}

impl Tally {
    /// Sums the capacity of VMs that serve or are starting.
    pub(super) fn planned(vms: &[Vm]) -> Self {
        Self::of(vms, |phase| matches!(phase, Phase::Starting | Phase::Live(_)))
    }

    /// Sums the capacity of VMs that serve.
    pub(super) fn live(vms: &[Vm]) -> Self {
        Self::of(vms, |phase| matches!(phase, Phase::Live(_)))
    }

    fn of(vms: &[Vm], counts: impl Fn(Phase) -> bool) -> Self {
        let mut tally = Self::default();
        for vm in vms.iter().filter(|vm| counts(vm.phase)) {
            tally.add(&vm.pool.zone, vm.rate);
        }
        tally
    }

    pub(super) fn add(&mut self, zone: &name::Zone, rate: f64) {
        *self.zones.entry(zone.clone()).or_insert(0.0) += rate;
        self.total += rate;
    }

    pub(super) fn remove(&mut self, zone: &name::Zone, rate: f64) {
        self.add(zone, -rate);
    }

    pub(super) const fn total(&self) -> f64 {
        self.total
    }

    pub(super) fn zone(&self, zone: &name::Zone) -> f64 {
        self.zones.get(zone).copied().unwrap_or(0.0)
    }

    /// Returns the capacity of the largest zone.
    pub(super) fn largest(&self) -> f64 {
        self.zones.values().copied().fold(0.0, f64::max)
    }

    /// Returns whether the capacity covers urgent work with any one zone lost, and all work with none lost.
    ///
    /// The reserve for a lost zone is not idle: deferrable work uses it until a zone is lost.
    pub(super) fn covers(&self, need: Demand) -> bool {
        let without_largest = self.total - self.largest();
        without_largest + EPSILON >= need.urgent && self.total + EPSILON >= need.total()
    }
}
