//! What workers ask on a request's path.

use std::sync::Arc;

use bergamotshift_core::prelude::*;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;

use crate::admission;
use crate::admission::Decision;
use crate::admission::Gate;
use crate::admission::Request;
use crate::quota::Account;
use crate::quota::Cost;
use crate::share::Cell;

#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) account: Arc<Account>,
    pub(super) cells: FxHashMap<name::Service, Arc<Cell>>,
}

/// One configuration's organisations and services; cheap to clone, and the same whatever the load.
#[derive(Clone, Debug, Default)]
pub struct Table {
    pub(super) rows: Arc<FxHashMap<name::Organisation, Row>>,
    pub(super) gates: Arc<FxHashMap<name::Service, Arc<Gate>>>,
}

impl Table {
    /// Decides on a request, or returns nothing when the organisation may not use the service.
    pub fn decide(
        &self,
        now: Instant,
        organisation: &name::Organisation,
        service: &name::Service,
        request: Request,
        cost: Cost,
        rng: &mut Pcg64Mcg,
    ) -> Option<Decision> {
        let row = self.rows.get(organisation)?;
        let cell = row.cells.get(service)?;
        let gate = self.gates.get(service)?;
        Some(admission::decide(now, request, cost, &row.account, cell, gate, rng))
    }

    /// Corrects an admitted request's expected cost to what it did use.
    pub fn settle(&self, now: Instant, organisation: &name::Organisation, expected: Cost, used: Cost) {
        if let Some(row) = self.rows.get(organisation) {
            row.account.settle(now, expected, used);
        }
    }

    /// Notes that an admitted request ended, so that its place is free at once.
    pub fn complete(&self, service: &name::Service, urgency: Urgency, work: u64) {
        if let Some(gate) = self.gates.get(service) {
            gate.complete(urgency, work);
        }
    }

    /// Returns a service's gate, for releasing deferred jobs and for metrics.
    pub fn gate(&self, service: &name::Service) -> Option<&Gate> {
        self.gates.get(service).map(AsRef::as_ref)
    }
}
