//! Handling of the platform's VM listings.

use core::sync::atomic::Ordering;
use std::sync::Arc;

use bergamotshift_core::vm;
use bergamotshift_core::vm::Listing;
use bergamotshift_core::vm::Role;
use bergamotshift_endpoint::call::Target;
use slog::info;

use super::State;
use super::state::Due;
use crate::sharing;
use crate::snapshot::Endpoint;

impl State {
    /// Handles the platform's listing of one VM.
    pub(super) fn handle_listing(&mut self, vm: &Listing) {
        match &vm.role {
            Role::Endpoint(service) => {
                let endpoint = Endpoint {
                    vm: vm.name.clone(),
                    incarnation: vm.incarnation,
                    zone: vm.zone.clone(),
                    service: service.clone(),
                    target: Target::new(vm.address, self.shared.settings.endpoints.tls.is_some()),
                    isolation: sharing::Isolation::default(),
                    pulse: Arc::default(),
                    statement: Arc::default(),
                };
                self.handle_endpoint(vm, &endpoint);
            }
            Role::Entry => self.handle_entry(vm),
        }
    }

    /// Adds an endpoint's new incarnation, and marks the endpoint as leaving unless its VM is live.
    fn handle_endpoint(&mut self, vm: &Listing, endpoint: &Endpoint) {
        if !self.config.services.contains_key(&endpoint.service) {
            return;
        }
        let known = self.fleet.records.get(&vm.name).map(|known| known.endpoint.incarnation);
        if known.is_none_or(|known| known < vm.incarnation) {
            let listed = endpoint.clone();
            self.fleet.insert(&self.config, listed, vm.class.clone(), vm.market);
            self.schedule(Due::Now);
        }
        if vm.state != vm::State::Live && self.fleet.mark_leaving(endpoint) {
            info!(self.shared.settings.logger, "endpoint is leaving"; endpoint);
            self.record_announcement(endpoint);
            self.schedule(Due::Now);
        }
    }

    /// Drains this entry if its own VM is leaving, so that the load balancer sends it no new callers.
    fn handle_entry(&self, vm: &Listing) {
        let own = vm.name.as_str() == self.shared.settings.name.as_str();
        if own && vm.state != vm::State::Live && !self.shared.draining.swap(true, Ordering::AcqRel) {
            info!(self.shared.settings.logger, "this entry's VM is leaving");
        }
    }
}
