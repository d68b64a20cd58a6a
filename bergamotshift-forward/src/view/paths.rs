//! Records whether the entry reaches the endpoints of each service.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use slog::info;

use super::Shared;
use crate::endpoint::Endpoint;
use crate::relay::Reach;

impl Shared {
    /// Records that an endpoint of a service answered on a new connection.
    pub fn record_reached(&self, service: &name::Service) {
        if self.reach.record_reached(service) {
            self.report_paths(service, false);
        }
    }

    /// Records that a new connection to an endpoint of a service is open for a time.
    pub fn record_open(&self, service: &name::Service, open_for: Duration) {
        if self.reach.record_open(service, open_for) {
            self.report_paths(service, false);
        }
    }

    /// Records that no connection to an endpoint was opened; returns whether the entry is cut off from the service since.
    pub fn record_unreached(&self, endpoint: &Endpoint) -> bool {
        self.record_failed_path(endpoint, Reach::record_unreached)
    }

    /// Records that a new connection to an endpoint broke without an answer, `open_for` after it was opened.
    pub fn record_broken(&self, endpoint: &Endpoint, open_for: Duration) {
        self.record_failed_path(endpoint, |reach, service, hash, known| {
            reach.record_broken(service, hash, known, open_for)
        });
    }

    fn record_failed_path(
        &self,
        endpoint: &Endpoint,
        record: impl Fn(&Reach, &name::Service, u64, usize) -> bool,
    ) -> bool {
        let service = &endpoint.registration.service;
        let view = self.view.load();
        let Some(known) = view.services.get(service) else {
            return false;
        };
        let count = known.all_endpoints().filter(|endpoint| !endpoint.is_leaving()).count();
        let is_cut_off = record(&self.reach, service, endpoint.hash, count);
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
