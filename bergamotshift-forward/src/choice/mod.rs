//! Chooses the endpoint that is expected to answer a request soonest.
//!
//! A plain service's endpoints differ by the requests that are under way there. A model engine reads a prompt before
//! its first event, so what is still unread there counts, and so does the part of this prompt that its cache holds.

mod recall;

use std::sync::Arc;

use bergamotshift_core::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use self::recall::Recall;
use crate::dialect::Ask;
use crate::endpoint::Endpoint;

/// What choices are weighed with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Prompt tokens that an engine reads in a millisecond, while it also decodes; engines of the size met so far read
    /// 64 when they do nothing else.
    pub read_rate: f64,
    /// What a request under way adds to the time to the first event, in milliseconds: its share of each step.
    pub company: f64,
    /// How long a plain request takes, in milliseconds; only what lies beyond the places waits.
    pub work: f64,
    /// What an endpoint that fails every request counts as slower, in milliseconds.
    pub trouble: f64,
    /// What another availability zone counts as slower, in milliseconds: about one way there and back.
    pub distance: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            read_rate: 50.0,
            company: 1.5,
            work: 30.0,
            trouble: 1_500.0,
            distance: 1.0,
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
    /// The expected time to its answer, in milliseconds.
    pub cost: f64,
}

/// What a choice is made for.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// What the caller asks for.
    pub ask: &'a Ask,
    /// Whether the service is a model engine.
    pub engine: bool,
    /// The entry's own availability zone.
    pub zone: &'a name::Zone,
    /// Endpoints that had the request already.
    pub tried: &'a [u64],
}

/// Chooses among a service's endpoints; `None` when none takes work.
///
/// An endpoint that could not be reached lately is taken only when all others are gone: it may be back.
pub fn choose(
    settings: &Settings,
    now: Instant,
    endpoints: &[Arc<Endpoint>],
    request: &Request<'_>,
    recall: &Recall,
) -> Option<Choice> {
    let open = || {
        let taking = endpoints.iter().filter(|endpoint| !endpoint.is_leaving());
        taking.filter(|endpoint| !request.tried.contains(&endpoint.hash))
    };
    let home = home(request.ask, open().map(|endpoint| endpoint.hash));
    let cost = |endpoint: &Arc<Endpoint>| weigh(settings, endpoint, request, recall, home);
    let best = |candidates: &mut dyn Iterator<Item = &Arc<Endpoint>>| {
        candidates.map(cost).min_by(|a, b| a.cost.total_cmp(&b.cost))
    };
    let reachable = best(&mut open().filter(|endpoint| !endpoint.health.is_paused(now)));
    reachable.or_else(|| best(&mut open()))
}

/// Returns the endpoint on which all entries agree for a prompt's shared part, by rendezvous hash.
fn home(ask: &Ask, endpoints: impl Iterator<Item = u64>) -> Option<u64> {
    let part = ask.shared()?;
    endpoints.max_by_key(|hash| xxh3_64_with_seed(&part.id.to_le_bytes(), *hash))
}

fn weigh(
    settings: &Settings,
    endpoint: &Arc<Endpoint>,
    request: &Request<'_>,
    recall: &Recall,
    home: Option<u64>,
) -> Choice {
    let running = f64::from(endpoint.running());
    let slots = f64::from(endpoint.registration.slots.max(1));
    let away = if endpoint.registration.zone == *request.zone {
        0.0
    } else {
        settings.distance
    };
    let trouble = settings.trouble * endpoint.health.trouble();
    let mut unread = 0;
    let work = if request.engine {
        unread = unread_tokens(request.ask, endpoint.hash, recall, home);
        let ahead = endpoint.unread() + unread;
        let queue = (running - slots).max(0.0) * settings.work;
        ahead as f64 / settings.read_rate + running * settings.company + queue
    } else {
        running / slots * settings.work + (running - slots).max(0.0) * settings.work
    };
    Choice {
        endpoint: Arc::clone(endpoint),
        unread,
        cost: work + trouble + away,
    }
}

/// Returns how many tokens of a prompt an endpoint is expected to read.
fn unread_tokens(ask: &Ask, endpoint: u64, recall: &Recall, home: Option<u64>) -> u64 {
    let prompt = u64::from(ask.size.unwrap_or_default().prompt);
    let shared = ask.parts.len().saturating_sub(1);
    let mut cached = 0;
    for (place, part) in ask.parts.iter().enumerate() {
        let held = match recall.holds(part.id, endpoint) {
            Some(held) => held,
            // Nobody is known to have it: where all entries send it is the best guess.
            None => place < shared && home == Some(endpoint),
        };
        if !held {
            break;
        }
        cached += u64::from(part.tokens);
    }
    prompt.saturating_sub(cached)
}
