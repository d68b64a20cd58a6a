//! Admission decisions for workers, on the request path.

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
use crate::share::Allowance;

/// Account and allowances of one organisation.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) account: Arc<Account>,
    pub(super) allowances: FxHashMap<name::Service, Arc<Allowance>>,
}

/// Organisations and services of one configuration.
///
/// It is cheap to clone and does not change with the load.
#[derive(Clone, Debug, Default)]
pub struct Table {
    pub(super) rows: Arc<FxHashMap<name::Organisation, Row>>,
    pub(super) gates: Arc<FxHashMap<name::Service, Arc<Gate>>>,
}

impl Table {
    /// Decides on a request; returns `None` if the organisation may not use the service.
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
        let share = row.allowances.get(service)?;
        let gate = self.gates.get(service)?;
        Some(admission::decide(now, request, cost, &row.account, share, gate, rng))
    }

    /// Replaces the expected cost of an admitted request by its actual cost.
    pub fn settle(&self, now: Instant, organisation: &name::Organisation, expected: Cost, used: Cost) {
        if let Some(row) = self.rows.get(organisation) {
            row.account.settle(now, expected, used);
        }
    }

    /// Records that an admitted request ended, so that its slot counts as free at once.
    pub fn complete(&self, service: &name::Service, urgency: Urgency, work: u64) {
        if let Some(gate) = self.gates.get(service) {
            gate.complete(urgency, work);
        }
    }

    /// Returns the gate of a service, for releasing deferred jobs and for metrics.
    pub fn gate(&self, service: &name::Service) -> Option<&Gate> {
        self.gates.get(service).map(AsRef::as_ref)
    }
}
