//! Chooses the endpoint that is expected to answer a request soonest.
//!
//! A plain service's endpoints differ by the requests that are under way there. A model engine reads a prompt before
//! its first event, so what is still unread there counts, and so does the part of this prompt that its cache holds.

mod cache_index;

use core::net::SocketAddr;
use std::collections::HashMap;
use std::sync::Arc;

use bergamotshift_core::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use self::cache_index::CacheIndex;
pub use self::cache_index::CachedPart;
use crate::dialect::Metadata;
use crate::document::Engine;
use crate::endpoint::Endpoint;
use crate::view::Canary;
use crate::view::Service;

/// What choices are weighed with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Prompt tokens that an engine reads in a millisecond, while it also decodes.
    pub read_rate: f64,
    /// What a request under way adds to the time to the first event, in milliseconds: its share of each step.
    pub company: f64,
    /// How long a plain request takes, in milliseconds; only what lies beyond the places waits.
    pub work: f64,
    /// How long a request waits for a place of a model engine, for each one that waits before it, in milliseconds.
    pub turn: f64,
    /// What an endpoint that fails every request counts as slower, in milliseconds, and one whose zone is silent.
    pub trouble: f64,
    /// What another availability zone counts as slower, in milliseconds: about one way there and back.
    pub distance: f64,
    /// The same where the own zone has endpoints enough. What the entries of another zone have under way there is known
    /// late in a large fleet, so a choice there is a guess.
    pub far: f64,
    /// How many of a service's endpoints are enough for a zone.
    pub enough: usize,
    /// What sets the endpoint apart on which all entries agree for a part that nobody has read, in milliseconds.
    pub agreement: f64,
    /// The time to set a transfer of cached parts up, in milliseconds.
    pub transfer: f64,
    /// The least tokens that are worth a transfer.
    pub transferred: u64,
    /// What moving a cached token counts beside its time, in milliseconds, since memory that moves is paid for.
    pub moved: f64,
    /// The same for reading a token that some engine holds.
    pub reread: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            read_rate: 50.0,
            company: 1.5,
            work: 30.0,
            turn: 100.0,
            trouble: 1_500.0,
            distance: 1.0,
            far: 150.0,
            enough: 10,
            agreement: 30.0,
            transfer: 3.0,
            transferred: 256,
            moved: 0.0133,
            reread: 0.024,
        }
    }
}

/// A choice for a request.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Prompt tokens that it is expected to read.
    pub unread: u64,
    /// Another endpoint, from which it gets parts of the prompt that it does not hold.
    pub source: Option<SocketAddr>,
    /// The expected time to its answer, in milliseconds.
    pub cost: f64,
}

/// What a choice is made for.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// What the caller asks for.
    pub ask: &'a Metadata,
    /// What the service's model engines are like; `None` for a plain service.
    pub engine: Option<Engine>,
    /// The entry's own availability zone.
    pub own_zone: &'a name::Zone,
    /// The zone in which the request is to stay, when that has endpoints enough; set by [`choose`].
    pub preferred_zone: Option<&'a name::Zone>,
    /// Endpoints that had the request already.
    pub tried: &'a [u64],
    /// Endpoints that are not to be chosen, from which cached parts of the prompt may come.
    pub cache_sources: &'a [Arc<Endpoint>],
}

impl Request<'_> {
    fn is_near(&self, endpoint: &Endpoint) -> bool {
        self.preferred_zone
            .is_none_or(|zone| endpoint.registration.zone == *zone)
    }
}

/// Chooses among a service's endpoints; `None` when none takes work.
///
/// An endpoint that could not be reached lately is taken only when all others are gone: it may be back.
pub fn choose(
    settings: &Settings,
    now: Instant,
    endpoints: &[Arc<Endpoint>],
    request: &Request<'_>,
    recall: &CacheIndex,
) -> Option<Choice> {
    let here = endpoints
        .iter()
        .filter(|endpoint| !endpoint.is_leaving() && endpoint.registration.zone == *request.own_zone);
    let request = &Request {
        preferred_zone: (here.count() >= settings.enough).then_some(request.own_zone),
        ..*request
    };
    let open = || {
        let taking = endpoints
            .iter()
            .filter(|endpoint| !endpoint.is_leaving() && endpoint.closed_until(now).is_none());
        taking.filter(|endpoint| !request.tried.contains(&endpoint.hash))
    };
    let prompt = request
        .engine
        .map(|engine| Prompt::new(now, engine, endpoints, request, recall));
    let cost = |endpoint: &Arc<Endpoint>| weigh(settings, endpoint, request, prompt.as_ref());
    let best = |candidates: &mut dyn Iterator<Item = &Arc<Endpoint>>| {
        candidates.map(cost).min_by(|a, b| a.cost.total_cmp(&b.cost))
    };
    let reachable = || open().filter(|endpoint| !endpoint.health.is_paused(now));
    let is_likely = |endpoint: &&Arc<Endpoint>| {
        request.is_near(endpoint) || prompt.as_ref().is_some_and(|prompt| prompt.held(endpoint) > 0)
    };
    // What lies in another zone and holds nothing of the prompt counts as `far` slower at least. With thousands of endpoints
    // most need not be weighed, which is most of the time that a keeper takes for a choice.
    let likely = best(&mut reachable().filter(is_likely));
    likely
        .filter(|choice| choice.cost <= settings.far)
        .or_else(|| best(&mut reachable()))
        .or_else(|| best(&mut open()))
}

/// Chooses among the endpoints of the version that a request goes to; `None` when no endpoint takes work.
///
/// Failure: the endpoints of a new version have gone, or all of them are too busy. Symptom: its share of the callers is
/// refused while the version in force has room. What finds no place at one version goes to the other, if that serves
/// everybody.
pub fn choose_with_canary(
    settings: &Settings,
    now: Instant,
    service: &Service,
    canary: Option<&Canary>,
    request: &Request<'_>,
    recall: &CacheIndex,
) -> Option<Choice> {
    let at_canary = canary.and_then(|canary| {
        let request = Request {
            cache_sources: &service.endpoints,
            ..*request
        };
        choose(settings, now, &canary.endpoints, &request, recall)
    });
    at_canary.or_else(|| choose(settings, now, &service.endpoints, request, recall))
}

/// What is known of where a prompt's parts are.
struct Prompt<'a> {
    engine: Engine,
    ask: &'a Metadata,
    /// How many tokens of the prompt's beginning each endpoint holds that holds any.
    held: HashMap<u64, u64>,
    /// The endpoint on which all entries agree for a part that nobody has read.
    home: Option<u64>,
    /// The endpoint that holds most of the prompt's beginning, leaving ones included, and how many tokens.
    holder: Option<(&'a Arc<Endpoint>, u64)>,
}

impl<'a> Prompt<'a> {
    fn new(
        now: Instant,
        engine: Engine,
        endpoints: &'a [Arc<Endpoint>],
        request: &Request<'a>,
        recall: &CacheIndex,
    ) -> Self {
        let ask = request.ask;
        let held = recall.held_by_endpoint(&ask.parts);
        let sources = endpoints.iter().chain(request.cache_sources);
        let reachable = sources.filter(|endpoint| !endpoint.health.is_paused(now));
        let holders = reachable.filter_map(|endpoint| held.get(&endpoint.hash).map(|held| (endpoint, *held)));
        let holder = holders.max_by_key(|(_, held)| *held);
        let known = ask.shared_part().is_some_and(|part| recall.is_known(part.id));
        let open = endpoints
            .iter()
            .filter(|endpoint| !endpoint.is_leaving() && request.is_near(endpoint));
        Self {
            engine,
            ask,
            held,
            home: if known {
                None
            } else {
                home(ask, open.map(|endpoint| endpoint.hash))
            },
            holder,
        }
    }
}

/// Returns the endpoint on which all entries agree for a prompt's shared part, by rendezvous hash.
fn home(ask: &Metadata, endpoints: impl Iterator<Item = u64>) -> Option<u64> {
    let part = ask.shared_part()?;
    endpoints.max_by_key(|hash| xxh3_64_with_seed(&part.id.to_le_bytes(), *hash))
}

fn weigh(settings: &Settings, endpoint: &Arc<Endpoint>, request: &Request<'_>, prompt: Option<&Prompt<'_>>) -> Choice {
    let running = f64::from(endpoint.running());
    let slots = f64::from(endpoint.registration.slots.max(1));
    let away = match request.preferred_zone {
        _ if endpoint.registration.zone == *request.own_zone => 0.0,
        Some(_) => settings.far,
        None => settings.distance,
    };
    let silence = if endpoint.is_silent() { settings.trouble } else { 0.0 };
    let trouble = settings.trouble * endpoint.health.failure_rate() + silence;
    let turn = if prompt.is_some() { settings.turn } else { settings.work };
    let beyond = (running + 1.0 - slots).max(0.0) * turn;
    let mut choice = Choice {
        endpoint: Arc::clone(endpoint),
        unread: 0,
        source: None,
        cost: trouble + away + beyond,
    };
    match prompt {
        Some(prompt) => {
            choice.cost += prompt.weigh(settings, &mut choice.unread, &mut choice.source, endpoint);
            choice.cost += running * settings.company;
        }
        None => choice.cost += running / slots * settings.work,
    }
    choice
}

impl Prompt<'_> {
    /// Returns how many tokens of the prompt's beginning an endpoint holds.
    fn held(&self, endpoint: &Endpoint) -> u64 {
        self.held.get(&endpoint.hash).copied().unwrap_or_default()
    }

    /// Returns the expected time until an endpoint has read the prompt, with what it reads and what it gets from where.
    fn weigh(
        &self,
        settings: &Settings,
        unread: &mut u64,
        source: &mut Option<SocketAddr>,
        endpoint: &Endpoint,
    ) -> f64 {
        let held = self.held(endpoint);
        let total = u64::from(self.ask.size.unwrap_or_default().prompt);
        let elsewhere = self.holder.filter(|(holder, _)| holder.hash != endpoint.hash);
        let more = elsewhere.map_or(0, |(_, tokens)| tokens.saturating_sub(held));
        let mut time = 0.0;
        let mut gets = 0;
        if let (Some((holder, _)), Some(per_token)) = (elsewhere, self.engine.transfer)
            && more >= settings.transferred
        {
            gets = more;
            time += settings.transfer + more as f64 * (per_token + settings.moved);
            *source = Some(holder.registration.address);
        }
        time += (more - gets) as f64 * settings.reread;
        *unread = total.saturating_sub(held + gets);
        let agreed = if self.home.is_some_and(|home| home != endpoint.hash) {
            settings.agreement
        } else {
            0.0
        };
        time + agreed + (endpoint.unread() + *unread) as f64 / settings.read_rate
    }
}
