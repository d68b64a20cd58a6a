//! Takes in what the platform's list says of VMs.

use core::sync::atomic::Ordering;

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
    /// Takes what the platform says of one VM.
    pub(super) fn listed(&mut self, vm: &Listing) {
        match &vm.role {
            Role::Endpoint(service) => {
                let endpoint = Endpoint {
                    vm: vm.name.clone(),
                    incarnation: vm.incarnation,
                    zone: vm.zone.clone(),
                    service: service.clone(),
                    target: Target::new(vm.address, self.shared.settings.endpoints.tls.is_some()),
                    seat: sharing::Seat::default(),
                };
                self.listed_endpoint(vm, &endpoint);
            }
            Role::Entry => self.listed_entry(vm),
        }
    }

    fn listed_endpoint(&mut self, vm: &Listing, endpoint: &Endpoint) {
        if !self.config.services.contains_key(&endpoint.service) {
            return;
        }
        let known = self.fleet.known.get(&vm.name).map(|known| known.endpoint.incarnation);
        if known.is_none_or(|known| known < vm.incarnation) {
            let listed = endpoint.clone();
            self.fleet.insert(&self.config, listed, vm.class.clone(), vm.market);
            self.due(Due::Now);
        }
        if vm.state != vm::State::Live && self.fleet.leave(endpoint) {
            info!(self.shared.settings.logger, "endpoint is leaving"; endpoint);
            self.announced(endpoint);
            self.due(Due::Now);
        }
    }

    /// Drains this entry when its own VM is leaving: the balancer sends no new callers then.
    fn listed_entry(&self, vm: &Listing) {
        let own = vm.name.as_str() == self.shared.settings.name.as_str();
        if own && vm.state != vm::State::Live && !self.shared.draining.swap(true, Ordering::AcqRel) {
            info!(self.shared.settings.logger, "this entry's VM is leaving");
        }
    }
}
