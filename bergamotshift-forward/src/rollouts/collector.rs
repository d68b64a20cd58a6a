//! Collects evidence about the answers of both versions.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bergamotshift_core::prelude::*;
use bergamotshift_rollout::prelude::*;

#[derive(Debug, Default)]
struct Inner {
    evidence: BTreeMap<name::Service, Evidence>,
    has_canary_failed: bool,
}

/// Evidence of this entry about the answers of both versions, by service; threads hold its lock for microseconds.
#[derive(Debug, Default)]
pub struct Collector {
    inner: Mutex<Inner>,
}

impl Collector {
    /// Sets the rollout orders whose answers are counted, by service; evidence of other orders is removed.
    pub fn set_orders(&self, orders: &BTreeMap<name::Service, u64>) {
        let mut inner = self.lock();
        let evidence = &mut inner.evidence;
        evidence.retain(|service, evidence| orders.get(service) == Some(&evidence.order));
        for (service, order) in orders {
            let evidence = evidence.entry(service.clone());
            evidence.or_insert_with(|| Evidence::new(*order));
        }
    }

    /// Records an answer; one of an order that is not counted any more is ignored.
    pub fn record(&self, service: &name::Service, order: u64, route: u32, group: Group, answer: Answer) {
        let mut inner = self.lock();
        let evidence = inner.evidence.get_mut(service);
        let Some(evidence) = evidence.filter(|evidence| evidence.order == order) else {
            return;
        };
        evidence.record(route, group, answer);
        inner.has_canary_failed |= group != Group::Stable && answer == Answer::Bad;
    }

    /// Returns the evidence so far.
    pub fn evidence(&self) -> Vec<(name::Service, Evidence)> {
        let inner = self.lock();
        let evidence = inner.evidence.iter();
        evidence
            .map(|(service, evidence)| (service.clone(), evidence.clone()))
            .collect()
    }

    /// Returns whether a request at a new version failed since the last call.
    pub fn take_canary_failed(&self) -> bool {
        core::mem::take(&mut self.lock().has_canary_failed)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
