//! Loads a service's models at its endpoints, at the weight store's rate.

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
use super::Picture;

/// How long to wait when the store does not say.
const WAIT: Duration = Duration::from_secs(10);

/// What one holder has had loaded; a new holder orders everything again, which changes nothing where it is loaded.
#[derive(Debug, Default)]
pub(super) struct Loader {
    loaded: BTreeSet<(name::Vm, Incarnation, name::Model)>,
    not_before: Instant,
}

impl Loader {
    /// Orders what is missing, until the store's rate is used up or the lease gives no permit.
    pub(super) async fn load(
        &mut self,
        lease: &Lease,
        clock: &Clock,
        service: &Service,
        weights: &dyn Weights,
        adapter: &dyn Adapter,
        picture: &Picture,
    ) {
        let live = |vm: &name::Vm, life: Incarnation| {
            let reached = picture.reached.get(vm);
            reached.is_some_and(|reached| reached.incarnation == life)
        };
        self.loaded.retain(|(vm, life, _)| live(vm, *life));
        for (vm, reached) in &picture.reached {
            for model in &service.models {
                let item = (vm.clone(), reached.incarnation, model.clone());
                if self.loaded.contains(&item) {
                    continue;
                }
                if clock.now() < self.not_before || !self.may_load(clock, weights, model).await {
                    return;
                }
                // Endpoints that check the number refuse an old one themselves, so no time need be waited out.
                let Some(fencing) = lease.permit(service.checks_fencing) else {
                    return;
                };
                let action = Action::Load {
                    model: model.clone(),
                    version: SmolStr::default(),
                };
                let order = Order { action, fencing };
                if adapter.order(&reached.target, order).await.is_ok() {
                    self.loaded.insert(item);
                }
            }
        }
    }

    /// Asks the store for leave to load a model.
    async fn may_load(&mut self, clock: &Clock, weights: &dyn Weights, model: &name::Model) -> bool {
        let spec = Spec {
            model: model.clone(),
            version: SmolStr::default(),
        };
        let wait = match weights.fetch(spec).await {
            Ok(_) => return true,
            Err(Error::Throttled { retry_after }) => retry_after.unwrap_or(WAIT),
            Err(_) => WAIT,
        };
        self.not_before = clock.now() + wait;
        false
    }
}
