//! The service's VMs, as far as they are known.

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

/// Where a VM is on its way out; the order is that of the way, and no mark is unset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Course {
    Up,
    Draining { idle: bool },
    Leaving,
    Stopped,
}

#[derive(Clone, Debug)]
struct Row {
    pool: Pool,
    incarnation: Incarnation,
    since: Instant,
    serving: Option<Instant>,
    heard: Option<Instant>,
    listed: bool,
    overdue: bool,
    course: Course,
    /// When the last order for it was given.
    ordered: Instant,
}

impl Row {
    const fn new(since: Instant, pool: Pool) -> Self {
        Self {
            pool,
            incarnation: Incarnation::new(0),
            since,
            serving: None,
            heard: None,
            listed: false,
            overdue: false,
            course: Course::Up,
            ordered: since,
        }
    }

    /// Returns how the policy sees it, unless it was given back or has not come up.
    const fn phase(&self) -> Option<Phase> {
        match (self.course, self.serving) {
            (Course::Stopped, _) => None,
            (Course::Leaving, _) => Some(Phase::Leaving),
            (Course::Draining { idle }, _) => Some(Phase::Draining { idle }),
            (Course::Up, Some(since)) => Some(Phase::Live(since)),
            (Course::Up, None) if self.overdue => None,
            (Course::Up, None) => Some(Phase::Starting),
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct Fleet {
    rows: BTreeMap<name::Vm, Row>,
}

impl Fleet {
    /// Notes a VM that was sold; the list shows it later.
    pub(super) fn bought(&mut self, now: Instant, vm: name::Vm, pool: Pool) {
        self.rows.entry(vm).or_insert_with(|| Row::new(now, pool));
    }

    /// Takes the platform's list over, and returns the pools of VMs that it took back.
    ///
    /// Failure: the list lags. Symptoms: a VM just sold is missing, a VM given back or leaving is shown as live.
    /// One that was never listed is not taken for gone, and marks of an incarnation are never unset.
    pub(super) fn listed(&mut self, now: Instant, listings: &[Listing]) -> Vec<Pool> {
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
            if leaves && row.course < Course::Leaving {
                row.course = Course::Leaving;
                reclaimed.push(pool);
            }
        }
        let shown = |vm: &name::Vm| listings.iter().any(|listing| listing.name == *vm);
        let gone = self.rows.extract_if(.., |vm, row| row.listed && !shown(vm));
        let taken = gone.filter(|(_, row)| row.course < Course::Leaving);
        reclaimed.extend(taken.map(|(_, row)| row.pool));
        reclaimed
    }

    pub(super) fn serving(&mut self, now: Instant, vm: &name::Vm, idle: bool) {
        if let Some(row) = self.rows.get_mut(vm) {
            row.serving.get_or_insert(now);
            row.heard = Some(now);
            if matches!(row.course, Course::Draining { .. }) {
                row.course = Course::Draining { idle };
            }
        }
    }

    /// Returns the pools of VMs that have just become overdue; the policy no longer counts on them.
    pub(super) fn overdue(&mut self, now: Instant, boot: Duration) -> Vec<Pool> {
        let late = |row: &&mut Row| row.phase() == Some(Phase::Starting) && now.since(row.since) >= boot;
        let rows = self.rows.values_mut().filter(late);
        rows.map(|row| {
            row.overdue = true;
            row.pool.clone()
        })
        .collect()
    }

    /// Returns overdue VMs that are certainly not up.
    ///
    /// Failure: the holder is cut off from a zone, or has just taken over. Symptom: VMs that serve their own zone look
    /// as if they never came up, and stopping them would cut requests. Only where another VM of the zone is heard is
    /// silence taken for a failed start.
    pub(super) fn failed(&self, now: Instant, fresh: Duration) -> Vec<name::Vm> {
        let heard = |row: &&Row| row.heard.is_some_and(|at| now.since(at) <= fresh);
        let zones: BTreeSet<_> = self.rows.values().filter(heard).map(|row| &row.pool.zone).collect();
        let failed = |row: &Row| row.overdue && row.phase().is_none() && row.course == Course::Up;
        let rows = self
            .rows
            .iter()
            .filter(|(_, row)| failed(row) && zones.contains(&row.pool.zone));
        rows.map(|(vm, _)| vm.clone()).collect()
    }

    /// Drains a VM; only a report after that may call it idle, as it may have got work until then.
    pub(super) fn drain(&mut self, now: Instant, vm: name::Vm) -> Option<Order> {
        self.send(now, &vm, Course::Draining { idle: false })?;
        Some(Order::Drain(vm))
    }

    pub(super) fn stop(&mut self, now: Instant, vm: name::Vm) -> Option<Order> {
        self.send(now, &vm, Course::Stopped)?;
        Some(Order::Stop(vm))
    }

    fn send(&mut self, now: Instant, vm: &name::Vm, course: Course) -> Option<()> {
        let row = self.rows.get_mut(vm)?;
        row.course = course;
        row.ordered = now;
        Some(())
    }

    /// Gives orders again that show no effect: a drained VM still works, a stopped one is still listed.
    pub(super) fn repeat(&mut self, now: Instant, after: Duration) -> Vec<Order> {
        let mut orders = Vec::new();
        for (vm, row) in &mut self.rows {
            let order = match row.course {
                Course::Draining { idle: false } => Order::Drain(vm.clone()),
                Course::Stopped => Order::Stop(vm.clone()),
                Course::Draining { idle: true } | Course::Up | Course::Leaving => continue,
            };
            if now.since(row.ordered) >= after {
                row.ordered = now;
                orders.push(order);
            }
        }
        orders
    }

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
