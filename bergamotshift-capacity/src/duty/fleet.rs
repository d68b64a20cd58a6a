//! Known state of the service's VMs.

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;
use bergamotshift_core::vm::Listing;
use bergamotshift_core::vm::State;

use super::Order;
use crate::market::Phase;
use crate::market::Pool;
use crate::market::Vm;

/// Progress of one incarnation of a VM towards its end. Later stages compare as greater and are never left for earlier
/// ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Up,
    Draining { idle: bool },
    Leaving,
    Stopped,
}

/// Known state of one VM.
#[derive(Clone, Debug)]
struct Row {
    pool: Pool,
    incarnation: Incarnation,
    /// Time when the VM was bought or first listed.
    known_since: Instant,
    /// Time of the first report of the VM's endpoint.
    serving_since: Option<Instant>,
    /// Time of the last report of the VM's endpoint.
    last_report: Option<Instant>,
    /// Whether the platform's list has shown the VM.
    listed: bool,
    /// Whether the VM did not serve within the boot timeout.
    overdue: bool,
    stage: Stage,
    /// Time of the last order for the VM.
    last_order: Instant,
}

impl Row {
    const fn new(known_since: Instant, pool: Pool) -> Self {
        Self {
            pool,
            incarnation: Incarnation::new(0),
            known_since,
            serving_since: None,
            last_report: None,
            listed: false,
            overdue: false,
            stage: Stage::Up,
            last_order: known_since,
        }
    }

    /// Returns the phase that the policy sees, or `None` when the VM was given back or is overdue.
    const fn phase(&self) -> Option<Phase> {
        match (self.stage, self.serving_since) {
            (Stage::Stopped, _) => None,
            (Stage::Leaving, _) => Some(Phase::Leaving),
            (Stage::Draining { idle }, _) => Some(Phase::Draining { idle }),
            (Stage::Up, Some(since)) => Some(Phase::Live(since)),
            (Stage::Up, None) if self.overdue => None,
            (Stage::Up, None) => Some(Phase::Starting),
        }
    }
}

/// The VMs of the service by name.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    rows: BTreeMap<name::Vm, Row>,
}

impl Fleet {
    /// Adds a VM that was bought and may not be listed yet.
    pub(super) fn add_purchased(&mut self, now: Instant, vm: name::Vm, pool: Pool) {
        self.rows.entry(vm).or_insert_with(|| Row::new(now, pool));
    }

    /// Applies the platform's VM list and returns the pools of VMs that were reclaimed.
    ///
    /// The list is delayed: a VM that was just sold can be missing, and a VM that was given back or is leaving can be
    /// shown as live. A VM that was never listed is therefore not considered gone, and the list never moves an
    /// incarnation back to an earlier stage.
    pub(super) fn update_listings(&mut self, now: Instant, listings: &[Listing]) -> Vec<Pool> {
        let mut reclaimed = Vec::new();
        for listing in listings {
            let pool = Pool::new(listing.zone.clone(), listing.class.clone(), listing.market);
            let new = || Row::new(now, pool.clone());
            let row = self.rows.entry(listing.name.clone()).or_insert_with(new);
            if row.listed && listing.incarnation > row.incarnation {
                *row = new();
            }
            row.listed = true;
            row.incarnation = row.incarnation.max(listing.incarnation);
            let leaves = matches!(listing.state, State::Leaving { .. });
            if leaves && row.stage < Stage::Leaving {
                row.stage = Stage::Leaving;
                reclaimed.push(pool);
            }
        }
        let shown = |vm: &name::Vm| listings.iter().any(|listing| listing.name == *vm);
        let gone = self.rows.extract_if(.., |vm, row| row.listed && !shown(vm));
        let taken = gone.filter(|(_, row)| row.stage < Stage::Leaving);
        reclaimed.extend(taken.map(|(_, row)| row.pool));
        reclaimed
    }

    /// Records that a VM's endpoint responds, and whether it is idle.
    pub(super) fn record_serving(&mut self, now: Instant, vm: &name::Vm, idle: bool) {
        if let Some(row) = self.rows.get_mut(vm) {
            row.serving_since.get_or_insert(now);
            row.last_report = Some(now);
            if matches!(row.stage, Stage::Draining { .. }) {
                row.stage = Stage::Draining { idle };
            }
        }
    }

    /// Marks VMs that have not served in time as overdue, and returns their pools. The policy no longer sees these VMs.
    pub(super) fn mark_overdue(&mut self, now: Instant, boot_timeout: Duration) -> Vec<Pool> {
        let late = |row: &&mut Row| row.phase() == Some(Phase::Starting) && now.since(row.known_since) >= boot_timeout;
        let rows = self.rows.values_mut().filter(late);
        rows.map(|row| {
            row.overdue = true;
            row.pool.clone()
        })
        .collect()
    }

    /// Returns overdue VMs whose start has failed.
    ///
    /// A holder that is cut off from a zone, or has just taken over, receives no reports from VMs that do serve, and
    /// stopping them would cut requests. A silent VM therefore counts as failed only if another VM of its zone has
    /// reported within `max_age`.
    pub(super) fn failed_starts(&self, now: Instant, max_age: Duration) -> Vec<name::Vm> {
        let reported = |row: &&Row| row.last_report.is_some_and(|at| now.since(at) <= max_age);
        let zones: BTreeSet<_> = self.rows.values().filter(reported).map(|row| &row.pool.zone).collect();
        let failed = |row: &Row| row.overdue && row.phase().is_none() && row.stage == Stage::Up;
        let rows = self
            .rows
            .iter()
            .filter(|(_, row)| failed(row) && zones.contains(&row.pool.zone));
        rows.map(|(vm, _)| vm.clone()).collect()
    }

    /// Drains a VM. Only a later report may mark it as idle, because it may have received work until now.
    pub(super) fn drain(&mut self, now: Instant, vm: name::Vm) -> Option<Order> {
        self.set_stage(now, &vm, Stage::Draining { idle: false })?;
        Some(Order::Drain(vm))
    }

    /// Gives a VM back.
    pub(super) fn stop(&mut self, now: Instant, vm: name::Vm) -> Option<Order> {
        self.set_stage(now, &vm, Stage::Stopped)?;
        Some(Order::Stop(vm))
    }

    /// Moves a VM to a stage by an order.
    fn set_stage(&mut self, now: Instant, vm: &name::Vm, stage: Stage) -> Option<()> {
        let row = self.rows.get_mut(vm)?;
        row.stage = stage;
        row.last_order = now;
        Some(())
    }

    /// Repeats orders without a visible effect: a drained VM is not idle, or a stopped VM is still listed.
    pub(super) fn retry_orders(&mut self, now: Instant, interval: Duration) -> Vec<Order> {
        let mut orders = Vec::new();
        for (vm, row) in &mut self.rows {
            let order = match row.stage {
                Stage::Draining { idle: false } => Order::Drain(vm.clone()),
                Stage::Stopped => Order::Stop(vm.clone()),
                Stage::Draining { idle: true } | Stage::Up | Stage::Leaving => continue,
            };
            if now.since(row.last_order) >= interval {
                row.last_order = now;
                orders.push(order);
            }
        }
        orders
    }

    /// Returns the VMs as the policy sees them, with their rates from `rate`.
    pub(super) fn vms(&self, rate: impl Fn(&Pool) -> f64) -> impl Iterator<Item = Vm> {
        self.rows.iter().filter_map(move |(name, row)| {
            Some(Vm {
                name: name.clone(),
                pool: row.pool.clone(),
                rate: rate(&row.pool),
                phase: row.phase()?,
            })
        })
    }
}
