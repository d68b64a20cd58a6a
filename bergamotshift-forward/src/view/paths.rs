//! Records whether the entry reaches the endpoints of each service.

use bergamotshift_core::prelude::*;
use slog::info;

use super::Shared;
use crate::endpoint::Endpoint;

impl Shared {
    /// Records that a connection to an endpoint of a service was opened.
    pub fn record_reached(&self, service: &name::Service) {
        if self.reach.record_reached(service) {
            self.report_paths(service, false);
        }
    }

    /// Records that no connection to an endpoint was opened; returns whether the entry is cut off from the service since.
    pub fn record_unreached(&self, endpoint: &Endpoint) -> bool {
        let service = &endpoint.registration.service;
        let view = self.view.load();
        let Some(known) = view.services.get(service) else {
            return false;
        };
        let count = known.all_endpoints().filter(|endpoint| !endpoint.is_leaving()).count();
        let is_cut_off = self.reach.record_unreached(service, endpoint.hash, count);
        if is_cut_off {
            for endpoint in known.all_endpoints() {
                endpoint.health.forget_unreachable();
            }
            self.report_paths(service, true);
        }
        is_cut_off
    }

    fn report_paths(&self, service: &name::Service, is_cut_off: bool) {
        self.metrics.cut_off.set(self.reach.count() as i64);
        info!(self.log.always(), "paths to endpoints"; "service" => service.as_str(), "cut_off" => is_cut_off,
            "services_cut_off" => self.reach.count(), "no_relay" => self.relays.is_empty());
    }
}
