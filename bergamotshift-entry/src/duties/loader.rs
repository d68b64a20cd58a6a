//! Loads a service's models at its endpoints, no faster than the weight store allows.

use core::time::Duration;
use std::collections::BTreeSet;

use bergamotshift_config::config::Service;
use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::adapter::Adapter;
use bergamotshift_endpoint::order::Action;
use bergamotshift_endpoint::order::Order;
use bergamotshift_platform::Error;
use bergamotshift_platform::weights::Spec;
use bergamotshift_platform::weights::Weights;
use smol_str::SmolStr;

use super::Clock;
use super::Lease;
use super::Observation;

/// Delay before the next load when the weight store names none.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(10);

/// Models that one holder of the duty has had loaded.
///
/// A new holder orders every load again; an order for a model that is already loaded has no effect.
#[derive(Debug, Default)]
pub(super) struct Loader {
    loaded: BTreeSet<(name::Vm, Incarnation, name::Model)>,
    not_before: Instant,
}

impl Loader {
    /// Orders the missing loads until the weight store throttles them or the lease gives no permit.
    pub(super) async fn load(
        &mut self,
        lease: &Lease,
        clock: &Clock,
        service: &Service,
        weights: &dyn Weights,
        adapter: &dyn Adapter,
        observation: &Observation,
    ) {
        let is_current = |vm: &name::Vm, incarnation: Incarnation| {
            let endpoint = observation.endpoints.get(vm);
            endpoint.is_some_and(|endpoint| endpoint.incarnation == incarnation)
        };
        self.loaded.retain(|(vm, incarnation, _)| is_current(vm, *incarnation));
        for (vm, endpoint) in &observation.endpoints {
            for model in &service.models {
                let item = (vm.clone(), endpoint.incarnation, model.clone());
                if self.loaded.contains(&item) {
                    continue;
                }
                if clock.now() < self.not_before || !self.may_load(clock, weights, model).await {
                    return;
                }
                // Endpoints that check fencing numbers refuse orders of an earlier holder, so a new one need not wait.
                let Some(fencing) = lease.permit(service.checks_fencing) else {
                    return;
                };
                let action = Action::Load {
                    model: model.clone(),
                    version: SmolStr::default(),
                };
                let order = Order { action, fencing };
                if adapter.order(&endpoint.target, order).await.is_ok() {
                    self.loaded.insert(item);
                }
            }
        }
    }

    /// Asks the weight store whether a model may be loaded now; if not, sets the time before which not to ask again.
    async fn may_load(&mut self, clock: &Clock, weights: &dyn Weights, model: &name::Model) -> bool {
        let spec = Spec {
            model: model.clone(),
            version: SmolStr::default(),
        };
        let delay = match weights.fetch(spec).await {
            Ok(_) => return true,
            Err(Error::Throttled { retry_after }) => retry_after.unwrap_or(DEFAULT_RETRY_DELAY),
            Err(_) => DEFAULT_RETRY_DELAY,
        };
        self.not_before = clock.now() + delay;
        false
    }
}
