//! The task that keeps all duties of one entry.

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
use super::Clock;
use super::Hands;
use super::Lease;
use super::Picture;
use crate::worker;
use crate::worker::Shared;

/// The parts of the platform that duties cannot do without.
#[derive(Clone, Debug)]
struct Parts {
    table: Rc<dyn Table>,
    vms: Rc<dyn Vms>,
    cloud: Rc<dyn Cloud>,
}

/// Keeps the duties of an entry until it ends; returns at once when the platform's parts for them are not given.
pub async fn run(shared: Arc<Shared>, platform: Platform, adapters: BTreeMap<SmolStr, Rc<dyn Adapter>>) {
    let (Some(table), Some(vms), Some(cloud)) = (&platform.table, &platform.vms, &platform.cloud) else {
        return;
    };
    let parts = Parts {
        table: Rc::clone(table),
        vms: Rc::clone(vms),
        cloud: Rc::clone(cloud),
    };
    let mut duties = BTreeMap::new();
    let mut listed = None;
    let settings = shared.settings.duties.clone();
    let mut interval = tokio::time::interval(settings.tick);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !shared.is_draining() {
        interval.tick().await;
        reconcile(&shared, &platform, &parts, &adapters, &mut duties);
        for duty in duties.values_mut() {
            duty.keep().await;
        }
        let now = shared.now();
        let due = listed.is_none_or(|at| now.since(at) >= settings.list);
        if due && duties.values().any(Capacity::is_held) {
            listed = Some(now);
            if let Ok(listings) = parts.vms.list().await {
                for duty in duties.values_mut() {
                    duty.listed(&listings);
                }
            }
        }
        let snapshot = shared.publisher.current();
        for (name, duty) in &mut duties {
            let service = snapshot.config.services.get(name);
            let picture = service.and_then(|service| Picture::take(&snapshot, service));
            if let Some(picture) = picture {
                duty.act(&picture).await;
            }
        }
    }
    // No order is on its way any more, so a successor need not wait.
    for duty in duties.values_mut() {
        duty.resign().await;
    }
}

/// Takes up the duties of services that came, and lets go of those that went.
fn reconcile(
    shared: &Arc<Shared>,
    platform: &Platform,
    parts: &Parts,
    adapters: &BTreeMap<SmolStr, Rc<dyn Adapter>>,
    duties: &mut BTreeMap<name::Service, Capacity>,
) {
    let config = Arc::clone(&shared.publisher.current().config);
    duties.retain(|name, _| config.services.contains_key(name));
    for (name, service) in &config.services {
        if let Some(duty) = duties.get_mut(name) {
            duty.follow(service);
            continue;
        }
        let Some(adapter) = adapters.get(&service.adapter) else {
            continue;
        };
        let hands = Hands {
            cloud: Rc::clone(&parts.cloud),
            weights: platform.weights.clone(),
            adapter: Rc::clone(adapter),
            logger: shared.settings.logger.clone(),
        };
        duties.insert(name.clone(), duty(shared, parts, service, hands));
    }
}

fn duty(shared: &Arc<Shared>, parts: &Parts, service: &Service, hands: Hands) -> Capacity {
    let settings = shared.settings.duties.clone();
    let clock = {
        let shared = Arc::clone(shared);
        Clock::new(move || shared.now())
    };
    let mut generator = worker::generator();
    let life = attempt::Id::new(u128::from(generator.next_u64()) << 64 | u128::from(generator.next_u64()));
    let name = format_smolstr!("capacity/{}", service.name);
    let keeper = Keeper::new(settings.lease, name, shared.settings.name.clone(), life);
    let lease = Lease::new(keeper, Rc::clone(&parts.table), clock.clone(), generator);
    Capacity::new(settings, service.clone(), lease, hands, clock)
}
