//! Task that runs all duties of one entry.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_claim::lease::Keeper;
use bergamotshift_config::config::Service;
use bergamotshift_core::attempt;
use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::adapter::Adapter;
use bergamotshift_platform::Platform;
use bergamotshift_platform::cloud::Cloud;
use bergamotshift_platform::table::Table;
use bergamotshift_platform::vms::Vms;
use rand::Rng;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use super::Capacity;
use super::Clients;
use super::Clock;
use super::Lease;
use super::Observation;
use crate::worker;
use crate::worker::Shared;

/// Services of the platform that duties require.
#[derive(Clone, Debug)]
struct Services {
    table: Rc<dyn Table>,
    vms: Rc<dyn Vms>,
    cloud: Rc<dyn Cloud>,
}

/// Runs the duties of an entry until it drains; returns at once if the platform lacks a service that they require.
pub async fn run(shared: Arc<Shared>, platform: Platform, adapters: BTreeMap<SmolStr, Rc<dyn Adapter>>) {
    let (Some(table), Some(vms), Some(cloud)) = (&platform.table, &platform.vms, &platform.cloud) else {
        return;
    };
    let services = Services {
        table: Rc::clone(table),
        vms: Rc::clone(vms),
        cloud: Rc::clone(cloud),
    };
    let mut duties = BTreeMap::new();
    let mut last_listed = None;
    let settings = shared.settings.duties.clone();
    let mut interval = tokio::time::interval(settings.tick_interval);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !shared.is_draining() {
        interval.tick().await;
        reconcile(&shared, &platform, &services, &adapters, &mut duties);
        for duty in duties.values_mut() {
            duty.update_lease().await;
        }
        let now = shared.now();
        let due = last_listed.is_none_or(|at| now.since(at) >= settings.list_interval);
        if due && duties.values().any(Capacity::is_held) {
            last_listed = Some(now);
            if let Ok(listings) = services.vms.list().await {
                for duty in duties.values_mut() {
                    duty.record_listings(&listings);
                }
            }
        }
        let snapshot = shared.publisher.current();
        for (name, duty) in &mut duties {
            let service = snapshot.config.services.get(name);
            let observation = service.and_then(|service| Observation::new(&snapshot, service));
            if let Some(observation) = observation {
                duty.tick(&observation).await;
            }
        }
    }
    // No order is in flight any more, so a successor need not wait.
    for duty in duties.values_mut() {
        duty.resign().await;
    }
}

/// Adds duties for new services, drops those of removed services and updates the others.
fn reconcile(
    shared: &Arc<Shared>,
    platform: &Platform,
    services: &Services,
    adapters: &BTreeMap<SmolStr, Rc<dyn Adapter>>,
    duties: &mut BTreeMap<name::Service, Capacity>,
) {
    let config = Arc::clone(&shared.publisher.current().config);
    duties.retain(|name, _| config.services.contains_key(name));
    for (name, service) in &config.services {
        if let Some(duty) = duties.get_mut(name) {
            duty.update_service(service);
            continue;
        }
        let Some(adapter) = adapters.get(&service.adapter) else {
            continue;
        };
        let clients = Clients {
            cloud: Rc::clone(&services.cloud),
            weights: platform.weights.clone(),
            adapter: Rc::clone(adapter),
            logger: shared.settings.logger.clone(),
        };
        duties.insert(name.clone(), build_duty(shared, services, service, clients));
    }
}

/// Creates the capacity duty of a service.
fn build_duty(shared: &Arc<Shared>, services: &Services, service: &Service, clients: Clients) -> Capacity {
    let settings = shared.settings.duties.clone();
    let clock = {
        let shared = Arc::clone(shared);
        Clock::new(move || shared.now())
    };
    let mut generator = worker::generator();
    let process = attempt::Id::new(u128::from(generator.next_u64()) << 64 | u128::from(generator.next_u64()));
    let name = format_smolstr!("capacity/{}", service.name);
    let keeper = Keeper::new(settings.lease, name, shared.settings.name.clone(), process);
    let lease = Lease::new(keeper, Rc::clone(&services.table), clock.clone(), generator);
    Capacity::new(settings, service.clone(), lease, clients, clock)
}
