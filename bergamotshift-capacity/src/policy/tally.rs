//! Capacity by zone, and what of it a lost zone leaves.

use std::collections::BTreeMap;

use bergamotshift_core::prelude::*;

use crate::demand::Demand;
use crate::market::Phase;
use crate::market::Vm;

/// Figures are sums of rates; differences below this are rounding.
pub(super) const EPSILON: f64 = 1e-9;

/// Work per second that VMs can do, by zone.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    zones: BTreeMap<name::Zone, f64>,
    total: f64,
}

impl Tally {
    /// Counts VMs that serve or soon will.
    pub(super) fn planned(vms: &[Vm]) -> Self {
        Self::of(vms, |phase| matches!(phase, Phase::Starting | Phase::Live(_)))
    }

    /// Counts VMs that serve.
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

    /// Returns whether urgent work is carried with any one zone lost, and all work with none.
    ///
    /// What is kept against the loss of a zone is not idle: deferrable work uses it until then.
    pub(super) fn carries(&self, need: Demand) -> bool {
        let survives = self.total - self.largest();
        survives + EPSILON >= need.urgent && self.total + EPSILON >= need.total()
    }
}
