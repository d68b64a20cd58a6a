//! Determines which versions of a service receive requests, and exchanges rollout state with other entries.

use core::sync::atomic::Ordering::Relaxed;
use core::time::Duration;
use std::collections::BTreeMap;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_rollout::directive::FULL_SHARE;
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

/// Marks the share of a version whose order has ended; larger than any real share.
const ENDED: u16 = FULL_SHARE + 1;

/// State of a rollout order that the holder of the duties needs to direct it.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// Order of the operators.
    pub order: Order,
    /// Last directive.
    pub directive: Option<Directive>,
    /// Input of the director.
    pub observation: Observation,
}

impl Control {
    /// Returns whether an endpoint runs a version that receives all requests.
    pub fn is_stable(&self, registration: &Registration) -> bool {
        self.inner.borrow().admission_of(registration) == Admission::Stable
    }

    /// Returns the number of a service's endpoints in each zone, including leaving ones, whose version does not receive
    /// all requests.
    pub fn unstable_endpoints(&self, service: &name::Service) -> BTreeMap<name::Zone, u32> {
        let inner = self.inner.borrow();
        let mut zones = BTreeMap::new();
        let endpoints = inner.directory.endpoints();
        let own = endpoints.filter(|endpoint| endpoint.registration.service == *service);
        for endpoint in own.filter(|endpoint| inner.admission(endpoint) != Admission::Stable) {
            *zones.entry(endpoint.registration.zone.clone()).or_default() += 1;
        }
        zones
    }

    /// Returns the orders that are neither completed nor rolled back.
    pub fn rollouts(&self) -> Vec<Rollout> {
        let now = self.now();
        let inner = self.inner.borrow();
        let open = inner.trackers.iter().filter(|(_, tracker)| tracker.is_open());
        open.filter_map(|(service, tracker)| inner.rollout(now, &self.shared, service, tracker))
            .collect()
    }

    /// Returns the orders that are completed or rolled back, with their state.
    pub fn closed_rollouts(&self) -> Vec<(Order, State)> {
        let inner = self.inner.borrow();
        let closed = inner.trackers.values().filter(|tracker| !tracker.is_open());
        closed
            .filter_map(|tracker| Some((tracker.last_order()?.clone(), tracker.directive()?.phase.final_state()?)))
            .collect()
    }

    /// Puts a directive for a service's requests in force; other entries receive it with the next exchange.
    pub fn apply_directive(&self, service: &name::Service, directive: Directive) {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        let tracker = inner.trackers.get_mut(service);
        if tracker.is_some_and(|tracker| tracker.apply_directive(now, directive)) {
            inner.apply_shares(now, &self.shared);
        }
    }
}

impl Inner {
    /// Returns which requests an endpoint may receive.
    pub(super) fn admission(&self, endpoint: &Endpoint) -> Admission {
        self.admission_of(&endpoint.registration)
    }

    /// Returns which requests an endpoint with this registration may receive.
    fn admission_of(&self, registration: &Registration) -> Admission {
        let tracker = self.trackers.get(&registration.service);
        tracker.map_or(Admission::Stable, |tracker| tracker.admission(&registration.version))
    }

    /// Applies the operators' orders from the store, with the last state that was written for each.
    ///
    /// A store that was just restored may hold an earlier order in place of the last one, which its operator writes
    /// again.
    pub(super) fn apply_stored_rollouts(
        &mut self,
        now: Instant,
        shared: &Shared,
        written: Vec<(Order, State)>,
        is_restored: bool,
    ) {
        for (order, state) in written {
            let last = self.trackers.get(&order.service).and_then(Tracker::last_order);
            if is_restored && last.is_some_and(|last| !order.repeats(last)) {
                info!(shared.log.always(), "restored order dropped"; "service" => order.service.as_str(),
                    "to" => order.to.as_str(), "order" => order.number);
                continue;
            }
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

    /// Applies another entry's orders, directives and evidence.
    pub(super) fn apply_peer_rollouts(&mut self, now: Instant, shared: &Shared, state: &peers::State) {
        for rollout in &state.rollouts {
            let age = Duration::from_millis(rollout.age_ms.into());
            let order = rollout.order.clone();
            self.apply_rollout(now, shared, order, age, rollout.directive, state.entry.as_str());
        }
        let key = state.process();
        // Only the holder of the duties needs the evidence. Entries send their full sums, so a successor misses
        // nothing.
        if self.holds_duties && !state.evidence.is_empty() {
            self.peer_evidence.insert(key, state.evidence.clone());
        }
    }

    /// Applies an order that was given `age` ago and its directive, and logs what changed.
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
        let tracker = self.trackers.entry(service.clone());
        let tracker = tracker.or_insert_with(|| Tracker::new(&shared.settings.rollout));
        let (to, number) = (order.to.clone(), order.number);
        let before = tracker.directive().map(|directive| directive.phase);
        let is_ordered = tracker.apply_order(now, order, age);
        let is_directed = directive.is_some_and(|directive| tracker.apply_directive(now, directive));
        if is_ordered {
            info!(shared.log.always(), "rollout ordered"; "service" => service.as_str(), "to" => to.as_str(),
                "order" => number, "age_ms" => age.as_millis() as u64, "from" => from);
        }
        let phase = tracker.directive().map(|directive| directive.phase);
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

    /// Returns the orders and directives that this entry sends to others.
    pub(super) fn announced_rollouts(&self, now: Instant) -> Vec<peers::Rollout> {
        let rollouts = self.trackers.values().filter_map(|tracker| {
            Some(peers::Rollout {
                order: tracker.last_order()?.clone(),
                age_ms: u32::try_from(tracker.age(now).as_millis()).unwrap_or(u32::MAX),
                directive: tracker.directive().copied(),
            })
        });
        rollouts.collect()
    }

    /// Publishes a view if the share or the state of a new version changed, and restricts evidence to open orders.
    pub(super) fn apply_shares(&mut self, now: Instant, shared: &Shared) {
        self.track_open_orders(shared);
        let share_of = |tracker: &Tracker| match tracker.directive() {
            // The end of an order changes the admission of its version even if the share stays the same.
            Some(directive) if directive.phase.is_final() => ENDED,
            _ => tracker.share(now),
        };
        let known = self.trackers.iter();
        let newest: BTreeMap<_, _> = known
            .map(|(service, tracker)| (service.clone(), share_of(tracker)))
            .collect();
        if newest == self.shares {
            return;
        }
        self.shares = newest;
        for (service, share) in &self.shares {
            shared
                .metrics
                .set_canary_share(service, if *share == ENDED { 0 } else { *share });
        }
        self.publish(shared);
    }

    /// Collects evidence for services with an open order only, and drops the evidence of all others.
    fn track_open_orders(&mut self, shared: &Shared) {
        let open = self.trackers.iter().filter(|(_, tracker)| tracker.is_open());
        let orders: BTreeMap<_, _> = open
            .filter_map(|(service, tracker)| Some((service.clone(), tracker.last_order()?.number)))
            .collect();
        shared.rollout_evidence.set_orders(&orders);
        if orders.is_empty() {
            self.peer_evidence.clear();
        }
    }

    /// Returns a service's new version while its order is open.
    pub(super) fn canary(&self, now: Instant, service: &name::Service) -> Option<Canary> {
        let tracker = self.trackers.get(service).filter(|tracker| tracker.is_open())?;
        let order = tracker.last_order()?.number;
        let share = tracker.share(now);
        let phase = tracker.directive().map(|directive| directive.phase);
        let (stable, canary) = self.endpoints_by_version(service);
        let limit = match phase {
            Some(Phase::Canary) => canary_count(stable.len(), share),
            Some(Phase::Stress) => 1,
            _ => canary.len(),
        };
        let typical = &self.services.get(service)?.typical_prompt;
        Some(Canary {
            order,
            endpoints: spread_over_zones(canary, order, limit).into(),
            share,
            max_prompt_tokens: (phase == Some(Phase::Stress)).then(|| typical.load(Relaxed)),
        })
    }

    /// Returns the endpoints that accept requests: those of the stable version, and those of the new one.
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

    /// Returns the state of a service's order, with the evidence of all entries summed up.
    fn rollout(&self, now: Instant, shared: &Shared, service: &name::Service, tracker: &Tracker) -> Option<Rollout> {
        let order = tracker.last_order()?.clone();
        let mut evidence = Evidence::new(order.number);
        let own = shared.rollout_evidence.evidence();
        let all = self.peer_evidence.values().flatten().chain(&own);
        for (_, part) in all.filter(|(name, _)| name == service) {
            evidence.add(part);
        }
        let (stable, canary) = self.endpoints_by_version(service);
        let slots = canary.iter().map(|endpoint| endpoint.registration.slots);
        Some(Rollout {
            directive: tracker.directive().copied(),
            observation: Observation {
                age: tracker.age(now),
                evidence,
                stable_in_flight: stable.iter().map(|endpoint| endpoint.running()).sum(),
                stable_endpoints: stable.len(),
                canary_endpoints: canary.len(),
                slots: slots.max().unwrap_or(1),
            },
            order,
        })
    }
}

/// Returns the number of endpoints of the new version that receive its share of the requests, so that each has the load
/// of a stable endpoint.
fn canary_count(stable: usize, share: u16) -> usize {
    let count = stable as f64 * f64::from(share) / f64::from(FULL_SHARE);
    (count as usize).max(1)
}

/// Returns at most `limit` endpoints, spread evenly over the zones. The order depends on hashes only, so all entries
/// select the same endpoints.
fn spread_over_zones(endpoints: Vec<&Arc<Endpoint>>, order: u64, limit: usize) -> Vec<Arc<Endpoint>> {
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
    ranked.truncate(limit);
    ranked
        .into_iter()
        .map(|(_, _, endpoint)| Arc::clone(endpoint))
        .collect()
}
