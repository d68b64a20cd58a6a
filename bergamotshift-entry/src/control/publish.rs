//! Publication of snapshots for the worker threads, and the metrics of their contents.

use std::collections::BTreeMap;
use std::sync::Arc;

use bergamotshift_config::accept::record::Version;
use bergamotshift_config::config::Retry;
use bergamotshift_core::prelude::*;
use bergamotshift_limit::retry;
use bergamotshift_route::set::Set;

use super::State;
use super::state::Due;
use crate::snapshot;
use crate::snapshot::Snapshot;

impl State {
    /// Publishes a snapshot if one is due immediately.
    pub(super) fn publish(&mut self) {
        if self.due == Due::Now {
            self.publish_now();
        }
    }

    /// Publishes a snapshot unconditionally.
    pub(crate) fn publish_now(&mut self) {
        self.due = Due::Never;
        self.number += 1;
        let services = self.services();
        let parts = self.part_table();
        let zones = self.organisation_zones();
        let snapshot = Snapshot {
            number: self.number,
            config: Arc::clone(&self.config),
            view: self.fleet.registry.publish(self.shared.now()),
            endpoints: self.fleet.endpoints(),
            pulses: self.fleet.pulses(),
            services,
            zones,
            quarantine: self.quarantine.table(),
            parts,
            sharing: self.sharing.update_config(self.shared.now(), &self.config),
            ready: self.is_configured(),
        };
        self.shared.publisher.publish(snapshot);
        self.shared.metrics.snapshots.inc();
        self.update_metrics();
    }

    /// Updates the metrics to match the published snapshot.
    fn update_metrics(&mut self) {
        let metrics = &self.shared.metrics;
        let quarantined = self.shared.publisher.current().quarantine.len();
        metrics.quarantined.set(quarantined as i64);
        metrics.config.set(self.version.map_or(0, Version::get) as i64);
        let census = self.fleet.census();
        metrics.count_endpoints(&self.census, &census);
        self.census = census;
    }

    /// Returns the services of the configuration in force.
    fn services(&mut self) -> BTreeMap<name::Service, snapshot::Service> {
        let config = Arc::clone(&self.config);
        let zones: Vec<_> = config.zones.keys().collect();
        let mut services = BTreeMap::new();
        for (name, service) in &config.services {
            let registry = &mut self.fleet.registry;
            let Ok(number) = registry.service(name) else { continue };
            let allowed = zones
                .iter()
                .filter(|zone| service.zones.is_empty() || service.zones.contains(zone))
                .filter_map(|zone| registry.zone(zone).ok())
                .fold(Set::EMPTY, |set, zone| set.with(zone.number()));
            let classes = service
                .classes
                .iter()
                .filter_map(|class| registry.class(class).ok())
                .fold(Set::EMPTY, |set, class| set.with(class.number()));
            services.insert(
                name.clone(),
                snapshot::Service {
                    number,
                    zones: allowed,
                    classes: if service.classes.is_empty() { Set::ALL } else { classes },
                    adapter: service.adapter.clone(),
                    budget: self.budget(name, service.retry),
                    metrics: self.shared.metrics.service(name),
                    retry: retry::Policy {
                        attempts: service.retry.attempts,
                        ..retry::Policy::default()
                    },
                },
            );
        }
        services
    }

    /// Returns a service's retry budget, which is kept across snapshots until its rule changes.
    fn budget(&mut self, name: &name::Service, rule: Retry) -> Arc<retry::Budget> {
        if let Some((previous, budget)) = self.budgets.get(name)
            && *previous == rule
        {
            return Arc::clone(budget);
        }
        let settings = retry::Settings {
            ratio: rule.budget,
            ..retry::Settings::default()
        };
        let budget = Arc::new(retry::Budget::new(settings));
        self.budgets.insert(name.clone(), (rule, Arc::clone(&budget)));
        budget
    }

    /// Returns the allowed zones of each organisation that is restricted to some.
    fn organisation_zones(&mut self) -> BTreeMap<name::Organisation, Set> {
        let config = Arc::clone(&self.config);
        let registry = &mut self.fleet.registry;
        let restricted = config
            .organisations
            .values()
            .filter(|organisation| !organisation.zones.is_empty());
        restricted
            .map(|organisation| {
                let zones = organisation.zones.iter().filter_map(|zone| registry.zone(zone).ok());
                let set = zones.fold(Set::EMPTY, |set, zone| set.with(zone.number()));
                (organisation.name.clone(), set)
            })
            .collect()
    }
}
