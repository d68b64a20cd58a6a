//! The division of one service's capacity, kept by the control thread.

use core::time::Duration;
use std::collections::BTreeMap;
use std::sync::Arc;

use bergamotshift_core::prelude::*;

use super::Cell;
use super::Claim;
use super::fill;
use crate::demand::View;

/// How shares are divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The part of the target at which waits begin to shrink what is divided.
    pub contention: f64,
    /// How long at its share's rate an organisation may save up; with the wait at which contention begins, it has to
    /// stay under the service's target.
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

/// What a service can do now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Supply {
    /// Units of work per second, over all endpoints that can be reached from here.
    pub capacity: f64,
    /// The wait of a request that arrives now.
    pub wait: Duration,
    /// The service's latency target.
    pub target: Duration,
}

impl Supply {
    /// Returns the capacity to divide: less than all while the wait is too long.
    ///
    /// Failure: shares add up to the capacity exactly, so a queue once grown never shrinks. Symptom: its length drifts
    /// up to the target and small organisations are refused within their share. What is divided falls with the wait,
    /// down to half at `contention` plus half a target, so the queue settles where contention begins.
    fn divisible(&self, contention: f64) -> f64 {
        const LEAST: f64 = 0.5;
        let target = self.target.as_secs_f64().max(f64::MIN_POSITIVE);
        let excess = self.wait.as_secs_f64() / target - contention;
        self.capacity * (1.0 - excess.clamp(0.0, LEAST))
    }
}

#[derive(Debug)]
struct Row {
    weight: f64,
    cell: Arc<Cell>,
}

/// Divides one service's capacity among organisations at each tick.
#[derive(Debug)]
pub struct Pool {
    /// What is known of demand, in units of work per second.
    pub view: View,
    settings: Settings,
    rows: BTreeMap<name::Organisation, Row>,
}

impl Pool {
    /// Makes a pool without organisations.
    pub const fn new(settings: Settings, view: View) -> Self {
        let rows = BTreeMap::new();
        Self { view, settings, rows }
    }

    /// Adds an organisation, or changes its weight, and returns its cell.
    ///
    /// The cell has no share before the next [`Pool::tick`].
    pub fn join(&mut self, organisation: name::Organisation, weight: f64) -> Arc<Cell> {
        let new = || Row {
            weight,
            cell: Arc::new(Cell::new()),
        };
        let row = self.rows.entry(organisation).or_insert_with(new);
        row.weight = weight;
        Arc::clone(&row.cell)
    }

    /// Removes organisations that are no longer configured.
    pub fn retain(&mut self, keep: impl Fn(&name::Organisation) -> bool) {
        self.rows.retain(|organisation, _| keep(organisation));
    }

    /// Returns the work that all organisations ask for per second, here and elsewhere.
    pub fn demand(&self, now: Instant) -> f64 {
        let sums = self.view.sums(now);
        self.rows.keys().map(|name| sums.total(name)).sum()
    }

    /// Folds what was asked for since the last call and divides the supply.
    ///
    /// Whoever asks for little or nothing keeps the share of its weight open: it costs nothing while unused, and its
    /// first requests must not wait for the next tick to be known.
    pub fn tick(&mut self, now: Instant, supply: Supply) {
        let capacity = supply.divisible(self.settings.contention);
        let asked = self
            .rows
            .iter()
            .map(|(name, row)| (name.clone(), row.cell.drain_asked()));
        self.view.tick(now, asked);
        let sums = self.view.sums(now);
        let claim = |(name, row): (&name::Organisation, &Row)| Claim {
            weight: row.weight,
            demand: sums.total(name),
        };
        let claims: Vec<_> = self.rows.iter().map(claim).collect();
        let weights: f64 = claims.iter().map(|claim| claim.weight).sum();
        let shares = fill(capacity, &claims);
        for ((organisation, row), (claim, share)) in self.rows.iter().zip(claims.iter().zip(shares)) {
            let guaranteed = capacity * claim.weight / weights.max(f64::MIN_POSITIVE);
            let whole = share.max(guaranteed);
            let portion = sums.reachable(organisation);
            // Arrivals that are split over entries fluctuate by the root of their number, not by the number.
            let burst = whole * portion.sqrt() * self.settings.burst.as_secs_f64();
            row.cell.set(now, whole * portion, burst);
        }
    }
}
