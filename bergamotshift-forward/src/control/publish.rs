//! Builds and publishes the view that requests are served from.

use core::sync::atomic::AtomicU64;
use std::collections::HashMap;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_rollout::tracker::Admission;
use bergamotshift_route::speed;
use bergamotshift_route::speed::Typical;

use super::inner::Inner;
use super::inner::ServiceState;
use super::inner::retry_budget;
use super::organisation::Organisation;
use crate::endpoint::Endpoint;
use crate::limits::Demand;
use crate::routes::Table;
use crate::view::Accounts;
use crate::view::Service;
use crate::view::Shared;
use crate::view::View;

impl Organisation {
    /// Returns the accounts that requests are charged to.
    fn accounts(&self) -> Accounts {
        Accounts {
            own: Arc::clone(&self.account),
            zone: Arc::clone(&self.zone_account),
        }
    }
}

impl Inner {
    /// Builds a view from the current state and publishes it.
    pub(super) fn publish(&mut self, shared: &Shared) {
        let mut endpoints: HashMap<name::Service, Vec<Arc<Endpoint>>> = HashMap::new();
        for endpoint in self.directory.endpoints() {
            let service = endpoint.registration.service.clone();
            if self.admission(endpoint) == Admission::Stable {
                endpoints.entry(service).or_default().push(Arc::clone(endpoint));
            }
        }
        let now = shared.clock.now();
        self.update_versions(now, shared);
        let by_hash = self.directory.endpoints();
        let by_hash = by_hash.map(|endpoint| (endpoint.hash, Arc::clone(endpoint))).collect();
        let open = endpoints.values().flatten().filter(|endpoint| !endpoint.is_leaving());
        shared.metrics.endpoints.set(open.count() as i64);
        let document = Arc::clone(&self.document);
        let mut objectives = document.objectives();
        let mut services = HashMap::new();
        for service in &document.services {
            let state = self
                .services
                .entry(service.name.clone())
                .or_insert_with(|| ServiceState {
                    budget: Arc::new(retry_budget(shared)),
                    requested_tokens: Arc::new(AtomicU64::new(0)),
                    prompt_demand: Demand::default(),
                    typical_prompt: Arc::default(),
                    typical: Arc::new(Typical::new(speed::Settings::default())),
                });
            let snapshot = Service {
                canary: None,
                endpoints: endpoints.remove(&service.name).unwrap_or_default().into(),
                engine: service.engine,
                budget: Arc::clone(&state.budget),
                requested_tokens: Arc::clone(&state.requested_tokens),
                typical_prompt: Arc::clone(&state.typical_prompt),
                versions: self.versions.of(&service.name),
                objectives: objectives.remove(&service.name).unwrap_or_default().into(),
                typical: Arc::clone(&state.typical),
                learn: shared.settings.speed.learn,
            };
            let canary = self.canary(now, &service.name);
            services.insert(service.name.clone(), Service { canary, ..snapshot });
        }
        let memories = document.services.iter().filter_map(|service| service.engine);
        if let Some(memory) = memories.map(|engine| engine.memory).min() {
            shared.cache_index().set_memory(memory);
        }
        let accounts = self.organisations.iter();
        let view = View {
            table: (document.version > 0).then(|| Table::new(Arc::clone(&document))),
            history: self.routing.history.clone(),
            services,
            by_hash,
            accounts: accounts.map(|(name, one)| (name.clone(), one.accounts())).collect(),
            suspects: self.quarantine.table(),
            suspect_parts: self.part_table(shared),
            keepers: self.keepers,
            granters: Arc::clone(&self.granters),
            knows_endpoints: self.directory.endpoints().next().is_some(),
            knows_entries: self.entries_listed,
        };
        let can_serve = view.can_serve();
        shared.view.store(Arc::new(view));
        if can_serve {
            shared.view_ready.notify_waiters();
        }
    }
}
