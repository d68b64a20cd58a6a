//! Which versions of a service take work, and what other entries tell of that.

use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;
use std::collections::BTreeMap;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_rollout::directive::WHOLE;
use bergamotshift_rollout::prelude::*;
use slog::info;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Control;
use super::inner::Inner;
use crate::endpoint::Endpoint;
use crate::endpoint::Registration;
use crate::peers;
use crate::view::Canary;
use crate::view::Shared;

/// Stands for the share of a version whose order has ended.
const ENDED: u16 = WHOLE + 1;

/// What the holder of the duties needs to direct an order.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// The order.
    pub order: Order,
    /// What was last directed.
    pub directive: Option<Directive>,
    /// What its director sees.
    pub observation: Sight,
}

impl Control {
    /// Returns whether an endpoint is of a version that serves everybody.
    pub fn is_stable(&self, registration: &Registration) -> bool {
        self.inner.borrow().admission_of(registration) == Admission::Stable
    }

    /// Returns how many endpoints of a service, leaving ones included, the platform started in each zone for a version that
    /// does not serve everybody.
    pub fn unstable_endpoints(&self, service: &name::Service) -> BTreeMap<name::Zone, u32> {
        let inner = self.inner.borrow();
        let mut zones = BTreeMap::new();
        let all = inner.directory.endpoints();
        let own = all.filter(|endpoint| endpoint.registration.service == *service);
        for endpoint in own.filter(|endpoint| inner.admission(endpoint) != Admission::Stable) {
            *zones.entry(endpoint.registration.zone.clone()).or_default() += 1;
        }
        zones
    }

    /// Returns the orders that stand and are not ended.
    pub fn rollouts(&self) -> Vec<Rollout> {
        let now = self.now();
        let inner = self.inner.borrow();
        let open = inner.standings.iter().filter(|(_, standing)| standing.is_open());
        open.filter_map(|(service, standing)| inner.rollout(now, &self.shared, service, standing))
            .collect()
    }

    /// Puts in force, and tells all entries, what is to happen to a service's requests.
    pub fn apply_directive(&self, service: &name::Service, directive: Directive) {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        let standing = inner.standings.get_mut(service);
        if standing.is_some_and(|standing| standing.direct(now, directive)) {
            inner.apply_shares(now, &self.shared);
        }
    }
}

impl Inner {
    /// Returns what an endpoint may get.
    pub(super) fn admission(&self, endpoint: &Endpoint) -> Admission {
        self.admission_of(&endpoint.registration)
    }

    fn admission_of(&self, registration: &Registration) -> Admission {
        let standing = self.standings.get(&registration.service);
        standing.map_or(Admission::Stable, |standing| standing.admission(&registration.version))
    }

    /// Takes in the orders that the operators wrote, with what they were told of each.
    pub(super) fn apply_stored_rollouts(&mut self, now: Instant, shared: &Shared, written: Vec<(Order, State)>) {
        for (order, state) in written {
            let directive = state.is_final().then_some(Directive {
                order: order.number,
                term: 0,
                step: 0,
                phase: state.into(),
                share: 0,
            });
            self.apply_rollout(now, shared, order, Duration::ZERO, directive, "store");
        }
    }

    /// Takes in what another entry tells of orders.
    pub(super) fn apply_peer_rollouts(&mut self, now: Instant, shared: &Shared, state: &peers::State) {
        for told in &state.rollouts {
            let age = Duration::from_millis(told.age_ms.into());
            let order = told.order.clone();
            self.apply_rollout(now, shared, order, age, told.directive, state.entry.as_str());
        }
        let key = (state.entry.clone(), state.life);
        // Whoever takes the duties over next hears the whole sums anew.
        if self.holds_duties && !state.evidence.is_empty() {
            self.peer_evidence.insert(key, state.evidence.clone());
        }
    }

    fn apply_rollout(
        &mut self,
        now: Instant,
        shared: &Shared,
        order: Order,
        age: Duration,
        directive: Option<Directive>,
        from: &str,
    ) {
        let service = order.service.clone();
        let standing = self.standings.entry(service.clone());
        let standing = standing.or_insert_with(|| Standing::new(&shared.settings.rollout));
        let (to, number) = (order.to.clone(), order.number);
        let before = standing.directive().map(|directive| directive.phase);
        let is_ordered = standing.order(now, order, age);
        let is_directed = directive.is_some_and(|directive| standing.direct(now, directive));
        if is_ordered {
            info!(shared.log.always(), "rollout ordered"; "service" => service.as_str(), "to" => to.as_str(),
                "order" => number, "age_ms" => age.as_millis() as u64, "from" => from);
        }
        let phase = standing.directive().map(|directive| directive.phase);
        if phase != before {
            info!(shared.log.always(), "rollout phase"; "service" => service.as_str(), "to" => to.as_str(),
                "order" => number, "before" => ?before, "phase" => ?phase, "from" => from);
        }
        if is_ordered {
            self.publish(shared);
        }
        if is_directed {
            self.apply_shares(now, shared);
        }
    }

    /// Returns what this entry tells others of the orders.
    pub(super) fn announced_rollouts(&self, now: Instant) -> Vec<peers::Rollout> {
        let told = self.standings.values().filter_map(|standing| {
            Some(peers::Rollout {
                order: standing.last_order()?.clone(),
                age_ms: u32::try_from(standing.age(now).as_millis()).unwrap_or(u32::MAX),
                directive: standing.directive().copied(),
            })
        });
        told.collect()
    }

    /// Publishes a picture if a new version's share or standing changed, and counts the answers of open orders alone.
    pub(super) fn apply_shares(&mut self, now: Instant, shared: &Shared) {
        self.track_open_orders(shared);
        let share_of = |standing: &Standing| match standing.directive() {
            // What a version may get changes with the end of an order, also where the share stays the same.
            Some(directive) if directive.phase.is_final() => ENDED,
            _ => standing.share(now),
        };
        let known = self.standings.iter();
        let newest: BTreeMap<_, _> = known
            .map(|(service, standing)| (service.clone(), share_of(standing)))
            .collect();
        if newest == self.shares {
            return;
        }
        self.shares = newest;
        for (service, share) in &self.shares {
            shared.metrics.canary(service, if *share == ENDED { 0 } else { *share });
        }
        self.publish(shared);
    }

    /// Has the answers of the services with an open order counted, and forgets those of others.
    fn track_open_orders(&mut self, shared: &Shared) {
        let open = self.standings.iter().filter(|(_, standing)| standing.is_open());
        let orders: BTreeMap<_, _> = open
            .filter_map(|(service, standing)| Some((service.clone(), standing.last_order()?.number)))
            .collect();
        shared.rollout_evidence.open(&orders);
        if orders.is_empty() {
            self.peer_evidence.clear();
        }
    }

    /// Returns a service's new version as requests see it, while an order stands.
    pub(super) fn canary(&self, now: Instant, service: &name::Service) -> Option<Canary> {
        let standing = self.standings.get(service).filter(|standing| standing.is_open())?;
        let order = standing.last_order()?.number;
        let share = standing.share(now);
        let phase = standing.directive().map(|directive| directive.phase);
        let (stable, canary) = self.endpoints_by_version(service);
        let most = match phase {
            Some(Phase::Canary) => canary_count(stable.len(), share),
            Some(Phase::Stress) => 1,
            _ => canary.len(),
        };
        let usual = &self.services.get(service)?.typical_prompt;
        Some(Canary {
            order,
            endpoints: spread_over_zones(canary, order, most).into(),
            share,
            max_prompt_tokens: (phase == Some(Phase::Stress)).then(|| usual.load(Relaxed)),
        })
    }

    /// Returns the endpoints that take work, of the version in force and of the new one.
    fn endpoints_by_version(&self, service: &name::Service) -> (Vec<&Arc<Endpoint>>, Vec<&Arc<Endpoint>>) {
        let of = |admission: Admission| {
            let own = self.directory.endpoints().filter(|endpoint| {
                endpoint.registration.service == *service
                    && !endpoint.is_leaving()
                    && self.admission(endpoint) == admission
            });
            own.collect()
        };
        (of(Admission::Stable), of(Admission::Canary))
    }

    fn rollout(&self, now: Instant, shared: &Shared, service: &name::Service, standing: &Standing) -> Option<Rollout> {
        let order = standing.last_order()?.clone();
        let mut evidence = Evidence::new(order.number);
        let own = shared.rollout_evidence.evidence();
        let all = self.peer_evidence.values().flatten().chain(&own);
        for (_, seen) in all.filter(|(of, _)| of == service) {
            evidence.add(seen);
        }
        let (stable, canary) = self.endpoints_by_version(service);
        let slots = canary.iter().map(|endpoint| endpoint.registration.slots);
        Some(Rollout {
            directive: standing.directive().copied(),
            observation: Sight {
                age: standing.age(now),
                evidence,
                busy: stable.iter().map(|endpoint| endpoint.running()).sum(),
                stable: stable.len(),
                canary: canary.len(),
                slots: slots.max().unwrap_or(1),
            },
            order,
        })
    }
}

/// Returns how many endpoints of the new version take a share of the requests, so that each is loaded as one of those in
/// force is.
fn canary_count(stable: usize, share: u16) -> usize {
    let alike = stable as f64 * f64::from(share) / f64::from(WHOLE);
    (alike as usize).max(1)
}

/// Returns so many endpoints, on which all entries agree: spread over the zones, by hash.
fn spread_over_zones(endpoints: Vec<&Arc<Endpoint>>, order: u64, most: usize) -> Vec<Arc<Endpoint>> {
    let mut zones: BTreeMap<&name::Zone, Vec<(u64, &Arc<Endpoint>)>> = BTreeMap::new();
    for endpoint in endpoints {
        let key = xxh3_64_with_seed(&endpoint.hash.to_le_bytes(), order);
        let zone = zones.entry(&endpoint.registration.zone).or_default();
        zone.push((key, endpoint));
    }
    let mut ranked = Vec::new();
    for zone in zones.values_mut() {
        zone.sort_by_key(|(key, _)| *key);
        ranked.extend(
            zone.iter()
                .enumerate()
                .map(|(place, (key, endpoint))| (place, *key, *endpoint)),
        );
    }
    ranked.sort_by_key(|(place, key, _)| (*place, *key));
    ranked.truncate(most);
    ranked
        .into_iter()
        .map(|(_, _, endpoint)| Arc::clone(endpoint))
        .collect()
}
