//! Division of one service's capacity among organisations, on the control thread.

use core::time::Duration;
use std::collections::BTreeMap;
use std::sync::Arc;

use bergamotshift_core::prelude::*;

use super::Allowance;
use super::Claimant;
use super::divide;
use crate::demand::View;

/// Parameters for the division of capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Wait, as a fraction of the latency target, from which the divided capacity is reduced.
    pub contention: f64,
    /// Burst of an organisation, as time at the rate of its share.
    ///
    /// The sum of this and the wait at which contention begins has to stay below the service's latency target.
    pub burst: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            contention: 0.4,
            burst: Duration::from_millis(500),
        }
    }
}

/// Current capacity and wait of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Supply {
    /// Units of work per second, over all endpoints that can be reached from here.
    pub capacity: f64,
    /// Predicted wait of a request that arrives now.
    pub wait: Duration,
    /// Latency target of the service.
    pub target: Duration,
}

impl Supply {
    /// Returns the capacity to divide, which is reduced while the wait is too long.
    ///
    /// If the shares added up to the whole capacity, a queue that has grown would never shrink: its length would drift
    /// up to the target, and small organisations would be refused within their share. The divided capacity falls with
    /// the wait, down to half at `contention` plus half a target, so that the queue settles where contention begins.
    fn divisible(&self, contention: f64) -> f64 {
        const MAX_REDUCTION: f64 = 0.5;
        let target = self.target.as_secs_f64().max(f64::MIN_POSITIVE);
        let excess = self.wait.as_secs_f64() / target - contention;
        self.capacity * (1.0 - excess.clamp(0.0, MAX_REDUCTION))
    }
}

#[derive(Debug)]
struct Row {
    weight: f64,
    allowance: Arc<Allowance>,
}

/// Capacity of one service, divided among organisations at each tick.
#[derive(Debug)]
pub struct Pool {
    /// View of the demand in the fleet, in units of work per second.
    pub view: View,
    settings: Settings,
    rows: BTreeMap<name::Organisation, Row>,
}

impl Pool {
    /// Creates a pool without organisations.
    pub const fn new(settings: Settings, view: View) -> Self {
        let rows = BTreeMap::new();
        Self { view, settings, rows }
    }

    /// Adds an organisation, or changes its weight, and returns its allowance.
    ///
    /// The allowance is empty until the next [`Pool::tick`].
    pub fn join(&mut self, organisation: name::Organisation, weight: f64) -> Arc<Allowance> {
        let new = || Row {
            weight,
            allowance: Arc::new(Allowance::new()),
        };
        let row = self.rows.entry(organisation).or_insert_with(new);
        row.weight = weight;
        Arc::clone(&row.allowance)
    }

    /// Keeps only the organisations for which `keep` returns `true`.
    pub fn retain(&mut self, keep: impl Fn(&name::Organisation) -> bool) {
        self.rows.retain(|organisation, _| keep(organisation));
    }

    /// Returns the demand of all organisations over the whole fleet, in units of work per second.
    pub fn demand(&self, now: Instant) -> f64 {
        let sums = self.view.sums(now);
        self.rows.keys().map(|name| sums.total(name)).sum()
    }

    /// Records the demand since the last call and divides the supply.
    ///
    /// An organisation with little or no demand still gets the share of its weight. An unused share costs nothing, and
    /// the organisation's first requests must not wait until the next tick.
    pub fn tick(&mut self, now: Instant, supply: Supply) {
        let capacity = supply.divisible(self.settings.contention);
        let requested = self
            .rows
            .iter()
            .map(|(name, row)| (name.clone(), row.allowance.take_requested()));
        self.view.tick(now, requested);
        let sums = self.view.sums(now);
        let claimant = |(name, row): (&name::Organisation, &Row)| Claimant {
            weight: row.weight,
            demand: sums.total(name),
        };
        let claimants: Vec<_> = self.rows.iter().map(claimant).collect();
        let weights: f64 = claimants.iter().map(|claimant| claimant.weight).sum();
        let shares = divide(capacity, &claimants);
        for ((organisation, row), (claimant, share)) in self.rows.iter().zip(claimants.iter().zip(shares)) {
            let guaranteed = capacity * claimant.weight / weights.max(f64::MIN_POSITIVE);
            let rate = share.max(guaranteed);
            let portion = sums.reachable_portion(organisation);
            // The arrivals at one entry fluctuate by the square root of their number, so the burst shrinks with the
            // square root of the portion.
            let burst = rate * portion.sqrt() * self.settings.burst.as_secs_f64();
            row.allowance.set(now, rate * portion, burst);
        }
    }
}
