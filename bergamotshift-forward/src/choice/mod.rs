//! Chooses the endpoint that is expected to answer a request first.
//!
//! For a plain service, endpoints differ by their requests in flight. A model engine prefills a prompt before it sends
//! its first event, so the prompt tokens that are still to be prefilled there count too, and so does the part of the
//! prompt that its cache holds already.

mod cache_index;

use core::net::SocketAddr;
use core::time::Duration;
use std::collections::HashMap;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use bergamotshift_route::speed::Typical;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use self::cache_index::CachedPart;
pub use self::cache_index::Index;
use crate::dialect::Metadata;
use crate::document::Engine;
use crate::endpoint::Endpoint;
use crate::endpoint::Wanted;
use crate::view::Canary;
use crate::view::Service;

/// Parameters of the cost estimate by which endpoints are compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Prompt tokens that an engine prefills per millisecond while it also decodes.
    pub prefill_rate: f64,
    /// Time that each request in flight adds to the time to the first event, in milliseconds: its share of each step.
    pub request_overhead: f64,
    /// Duration of a plain request, in milliseconds; a request waits only while all slots are taken.
    pub plain_request_time: f64,
    /// Time that a request waits for a slot of a model engine per request that waits before it, in milliseconds.
    pub slot_wait: f64,
    /// Penalty of an endpoint that fails every request, and of one in a silent availability zone, in milliseconds.
    pub failure_penalty: f64,
    /// Penalty of an endpoint in another availability zone, in milliseconds: about one round trip.
    pub zone_round_trip: f64,
    /// Penalty of an endpoint in another availability zone while the own zone has enough endpoints, in milliseconds. In
    /// a large fleet, the requests that entries of another zone have in flight there are known late, so such a choice
    /// is based on stale load.
    pub remote_zone_penalty: f64,
    /// Number of endpoints of a service that are enough for an availability zone.
    pub enough_endpoints: usize,
    /// Penalty of every endpoint but the one that all entries agree on, for a prompt part that no endpoint holds, in
    /// milliseconds.
    pub home_penalty: f64,
    /// Time to set up a transfer of cached parts, in milliseconds.
    pub transfer_setup: f64,
    /// Smallest number of tokens that is worth a transfer.
    pub min_transfer: u64,
    /// Cost of transferring a cached token beside its time, in milliseconds, since memory that moves is paid for.
    pub transfer_cost: f64,
    /// Cost of prefilling a token that another engine holds beside its time, in milliseconds.
    pub recompute_cost: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            prefill_rate: 50.0,
            request_overhead: 1.5,
            plain_request_time: 30.0,
            slot_wait: 100.0,
            failure_penalty: 1_500.0,
            zone_round_trip: 1.0,
            remote_zone_penalty: 150.0,
            enough_endpoints: 10,
            home_penalty: 30.0,
            transfer_setup: 3.0,
            min_transfer: 256,
            transfer_cost: 0.0133,
            recompute_cost: 0.024,
        }
    }
}

/// Endpoint that was chosen for a request.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Prompt tokens that it is expected to prefill.
    pub unread: u64,
    /// Address of another endpoint, from which it fetches cached parts of the prompt that it does not hold.
    pub source: Option<SocketAddr>,
    /// Expected time to its answer, with penalties, in milliseconds.
    pub cost: f64,
    /// Expected time for the work ahead of the request, without penalties.
    pub wait: Duration,
    /// Expected time for the request's own unread tokens, for a transfer of cached parts, and to the first event beside
    /// reading, without penalties.
    pub read: Duration,
    /// Prompt tokens of other requests that the endpoint has to read first; `None` if they are not known, as the entry
    /// that chose it did not state them.
    pub ahead: Option<u64>,
    /// Number of other requests in flight there.
    pub running: u32,
    /// Whether the times are those by learned speeds.
    pub is_learned: bool,
}

/// Request that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Metadata from the caller's request head.
    pub ask: &'a Metadata,
    /// Properties of the service's model engines; `None` for a plain service.
    pub engine: Option<Engine>,
    /// Availability zone of this entry.
    pub own_zone: &'a name::Zone,
    /// Availability zone in which the request should stay; set by [`choose`] when that zone has enough endpoints.
    pub preferred_zone: Option<&'a name::Zone>,
    /// Endpoints that are left out since they had the request already, by their hashes.
    pub tried: &'a [u64],
    /// Versions that the request may go to.
    pub wanted: Wanted<&'a str>,
    /// Seed of the order among endpoints of the same cost, which differs between entries.
    pub seed: u64,
    /// Endpoints that are not candidates, but from which cached parts of the prompt may be fetched.
    pub cache_sources: &'a [Arc<Endpoint>],
    /// Learned figures of the service; `None` if the fixed ones of [`Settings`] apply.
    pub typical: Option<&'a Typical>,
}

impl Request<'_> {
    fn is_near(&self, endpoint: &Endpoint) -> bool {
        self.preferred_zone
            .is_none_or(|zone| endpoint.registration.zone == *zone)
    }
}

/// Returns the seed of an entry's order among endpoints of the same cost.
pub fn seed(entry: &name::Entry) -> u64 {
    xxh3_64(entry.as_str().as_bytes())
}

/// Chooses among a service's endpoints; returns `None` when none of them takes requests.
///
/// An endpoint that could not be reached lately is chosen only when no other is left, as it may be back.
pub fn choose(
    settings: &Settings,
    now: Instant,
    endpoints: &[Arc<Endpoint>],
    request: &Request<'_>,
    cache_index: &Index,
) -> Option<Choice> {
    let local = endpoints
        .iter()
        .filter(|endpoint| !endpoint.is_leaving() && endpoint.registration.zone == *request.own_zone);
    let request = &Request {
        preferred_zone: (local.count() >= settings.enough_endpoints).then_some(request.own_zone),
        ..*request
    };
    let available = || {
        let open = endpoints
            .iter()
            .filter(|endpoint| !endpoint.is_leaving() && endpoint.closed_until(now).is_none());
        open.filter(|endpoint| !request.tried.contains(&endpoint.hash) && endpoint.is_wanted(request.wanted))
    };
    let prompt = request
        .engine
        .map(|engine| Prompt::new(now, engine, endpoints, request, cache_index));
    let estimated = |endpoint: &Arc<Endpoint>| estimate(settings, now, endpoint, request, prompt.as_ref());
    // To each of hundreds of entries, most endpoints of a plain service are idle. If all entries preferred the same one of
    // them, it would get nearly all requests of its zone.
    let order = |choice: &Choice| xxh3_64_with_seed(&choice.endpoint.hash.to_le_bytes(), request.seed);
    let best = |candidates: &mut dyn Iterator<Item = &Arc<Endpoint>>| {
        let by_cost = |a: &Choice, b: &Choice| a.cost.total_cmp(&b.cost).then_with(|| order(a).cmp(&order(b)));
        candidates.map(estimated).min_by(by_cost)
    };
    let reachable = || available().filter(|endpoint| !endpoint.health.is_paused(now));
    let is_likely = |endpoint: &&Arc<Endpoint>| {
        request.is_near(endpoint) || prompt.as_ref().is_some_and(|prompt| prompt.held(endpoint) > 0)
    };
    // An endpoint in another zone that holds nothing of the prompt costs at least `remote_zone_penalty`, so a cheaper
    // likely one need not be compared with it. With thousands of endpoints, the estimates are most of the time that a
    // keeper takes for a choice.
    let likely = best(&mut reachable().filter(is_likely));
    likely
        .filter(|choice| choice.cost <= settings.remote_zone_penalty)
        .or_else(|| best(&mut reachable()))
        .or_else(|| best(&mut available()))
}

/// Chooses among the endpoints of the canary if there is one, and otherwise or when none of those takes the request,
/// among the service's other endpoints; returns `None` when no endpoint takes requests.
///
/// Without this fallback, the canary's share of the callers would be refused when its endpoints have gone or are all
/// too busy, although the version in force has room.
pub fn choose_with_canary(
    settings: &Settings,
    now: Instant,
    service: &Service,
    canary: Option<&Canary>,
    request: &Request<'_>,
    cache_index: &Index,
) -> Option<Choice> {
    let at_canary = canary.and_then(|canary| {
        let request = Request {
            cache_sources: &service.endpoints,
            ..*request
        };
        choose(settings, now, &canary.endpoints, &request, cache_index)
    });
    at_canary.or_else(|| choose(settings, now, &service.endpoints, request, cache_index))
}

/// Prompt of a request, with the endpoints that hold parts of it.
struct Prompt<'a> {
    engine: Engine,
    metadata: &'a Metadata,
    /// Number of tokens at the beginning of the prompt that each endpoint holds, by its hash; endpoints that hold none
    /// are left out.
    held: HashMap<u64, u64>,
    /// Endpoint that all entries agree on for a shared part that no endpoint holds.
    home: Option<u64>,
    /// Endpoint that holds most of the prompt's beginning, leaving ones included, and its number of tokens.
    holder: Option<(&'a Arc<Endpoint>, u64)>,
}

impl<'a> Prompt<'a> {
    fn new(
        now: Instant,
        engine: Engine,
        endpoints: &'a [Arc<Endpoint>],
        request: &Request<'a>,
        cache_index: &Index,
    ) -> Self {
        let metadata = request.ask;
        let held = cache_index.held_by_endpoint(&metadata.parts);
        let sources = endpoints.iter().chain(request.cache_sources);
        let reachable = sources.filter(|endpoint| !endpoint.health.is_paused(now));
        let holders = reachable.filter_map(|endpoint| held.get(&endpoint.hash).map(|held| (endpoint, *held)));
        let holder = holders.max_by_key(|(_, held)| *held);
        let is_known = metadata.shared_part().is_some_and(|part| cache_index.is_known(part.id));
        let candidates = endpoints
            .iter()
            .filter(|endpoint| !endpoint.is_leaving() && request.is_near(endpoint));
        Self {
            engine,
            metadata,
            held,
            home: if is_known {
                None
            } else {
                home(metadata, candidates.map(|endpoint| endpoint.hash))
            },
            holder,
        }
    }
}

/// Returns the endpoint that all entries agree on for a prompt's shared part, by rendezvous hash.
fn home(metadata: &Metadata, endpoints: impl Iterator<Item = u64>) -> Option<u64> {
    let part = metadata.shared_part()?;
    endpoints.max_by_key(|hash| xxh3_64_with_seed(&part.id.to_le_bytes(), *hash))
}

/// Estimates the time to an endpoint's answer, with penalties in milliseconds.
fn estimate(
    settings: &Settings,
    now: Instant,
    endpoint: &Arc<Endpoint>,
    request: &Request<'_>,
    prompt: Option<&Prompt<'_>>,
) -> Choice {
    let in_flight = endpoint.running();
    let running = f64::from(in_flight);
    let slots = f64::from(endpoint.registration.slots.max(1));
    let zone_penalty = match request.preferred_zone {
        _ if endpoint.registration.zone == *request.own_zone => 0.0,
        Some(_) => settings.remote_zone_penalty,
        None => settings.zone_round_trip,
    };
    let silence_penalty = if endpoint.is_silent() {
        settings.failure_penalty
    } else {
        0.0
    };
    let health_penalty = settings.failure_penalty * endpoint.health.failure_rate() + silence_penalty;
    let wait = if prompt.is_some() {
        settings.slot_wait
    } else {
        settings.plain_request_time
    };
    let queue_time = (running + 1.0 - slots).max(0.0) * wait;
    let mut choice = Choice {
        endpoint: Arc::clone(endpoint),
        unread: 0,
        source: None,
        cost: health_penalty + zone_penalty + queue_time,
        wait: Duration::ZERO,
        read: Duration::ZERO,
        ahead: None,
        running: in_flight,
        is_learned: false,
    };
    let Some(prompt) = prompt else {
        let share = running / slots * settings.plain_request_time;
        choice.cost += share;
        choice.wait = millis(queue_time + share);
        return choice;
    };
    let transfer = prompt.plan(settings, endpoint);
    let ahead = endpoint.unread();
    let share = running * settings.request_overhead;
    choice.unread = transfer.unread;
    choice.source = transfer.source;
    choice.ahead = Some(ahead);
    if let Some(typical) = request.typical {
        let pace = endpoint.speed.pace(now);
        let token_time = typical.token_time() * pace;
        let wait = ahead as f64 * token_time + (queue_time + share) * pace;
        let read = typical.overhead() + transfer.unread as f64 * token_time + transfer.time;
        choice.cost = health_penalty + zone_penalty + wait + read + transfer.penalty;
        choice.wait = millis(wait);
        choice.read = millis(read);
        choice.is_learned = true;
    } else {
        choice.cost += transfer.time_and_penalty + (ahead + transfer.unread) as f64 / settings.prefill_rate;
        choice.cost += share;
        choice.wait = millis(queue_time + ahead as f64 / settings.prefill_rate + share);
        choice.read = millis(transfer.time + transfer.unread as f64 / settings.prefill_rate);
    }
    choice
}

/// Returns a time in milliseconds as a duration.
fn millis(time: f64) -> Duration {
    // A conversion from seconds takes three times as long (6 ns), and each endpoint of each choice needs two.
    Duration::from_micros((time * 1e3) as u64)
}

/// What an endpoint does with a prompt.
struct Plan {
    /// Tokens that it prefills.
    unread: u64,
    /// Endpoint from which it fetches cached parts.
    source: Option<SocketAddr>,
    /// Time for fetching them, in milliseconds.
    time: f64,
    /// Penalties for fetching, for prefilling what others hold, and for another endpoint than the home, in milliseconds.
    penalty: f64,
    /// Sum of the two, added up in the order that decisions without learned speeds have always had.
    time_and_penalty: f64,
}

impl Prompt<'_> {
    /// Returns the number of tokens at the beginning of the prompt that an endpoint holds.
    fn held(&self, endpoint: &Endpoint) -> u64 {
        self.held.get(&endpoint.hash).copied().unwrap_or_default()
    }

    /// Returns what an endpoint prefills of the prompt and what it fetches from another one.
    fn plan(&self, settings: &Settings, endpoint: &Endpoint) -> Plan {
        let held = self.held(endpoint);
        let total = u64::from(self.metadata.size.unwrap_or_default().prompt);
        let elsewhere = self.holder.filter(|(holder, _)| holder.hash != endpoint.hash);
        let held_elsewhere = elsewhere.map_or(0, |(_, tokens)| tokens.saturating_sub(held));
        let mut transfer_time = 0.0;
        let mut time_and_penalty = 0.0;
        let mut transferred = 0;
        let mut source = None;
        if let (Some((holder, _)), Some(per_token)) = (elsewhere, self.engine.transfer)
            && held_elsewhere >= settings.min_transfer
        {
            transferred = held_elsewhere;
            transfer_time = settings.transfer_setup + held_elsewhere as f64 * per_token;
            time_and_penalty += settings.transfer_setup + held_elsewhere as f64 * (per_token + settings.transfer_cost);
            source = Some(holder.registration.address);
        }
        time_and_penalty += (held_elsewhere - transferred) as f64 * settings.recompute_cost;
        let home_penalty = if self.home.is_some_and(|home| home != endpoint.hash) {
            settings.home_penalty
        } else {
            0.0
        };
        time_and_penalty += home_penalty;
        Plan {
            unread: total.saturating_sub(held + transferred),
            source,
            time: transfer_time,
            penalty: time_and_penalty - transfer_time,
            time_and_penalty,
        }
    }
}
