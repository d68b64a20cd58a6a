//! Grants units and chooses endpoints for the entries of the zone that this entry keeps.

use bergamotshift_core::prelude::*;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;

use super::message::InFlight;
use super::permit::Permits;
use super::question::question;
use crate::choice;
use crate::choice::Choice;
use crate::dialect::Metadata;
use crate::dialect::Size;
use crate::limits::Keeper;
use crate::limits::Refused;
use crate::limits::keeper::Answer;
use crate::limits::keeper::Generation;
use crate::limits::keeper::Placement;
use crate::limits::keeper::Question;
use crate::limits::keeper::Units;
use crate::view::Shared;
use crate::view::View;

/// The path at which a zone's keeper is asked.
pub const PATH: &str = "/keep";

/// The largest question, in bytes.
const LARGEST: usize = 16 * 1_024;

/// How many endpoints are chosen for a generation at the most, as those that name a rate may refuse it.
const PLACES: usize = 3;

/// Answers an entry of the zone.
///
/// An entry that takes itself neither for the keeper nor for the deputy decides nothing: the one that asks hears other
/// entries than this one, and two keepers would give out the zone's share twice.
pub async fn answer_keep(permits: &Permits, mut request: Request) -> Response {
    let shared = permits.shared();
    let question = match question::<Question>(&mut request, LARGEST).await {
        Ok(question) => question,
        Err(status) => return Response::new(status),
    };
    let view = shared.view.load_full();
    let keeping = view.keeping;
    if keeping.keeper != Keeper::Own && !(keeping.is_deputy && question.deputy) {
        return Response::new(StatusCode::CONFLICT);
    }
    let now = shared.clock.now();
    told(shared, &view, now, &question.entry, &question.in_flight);
    let answer = decide(permits, &view, &question).await;
    if let Some(placed) = answer.placement {
        let mut ledger = shared.ledger();
        ledger.record_placement(&question.entry, placed.endpoint, placed.unread);
        if let Some(endpoint) = view.endpoint(placed.endpoint) {
            ledger.apply_to(endpoint);
        }
    }
    match postcard::to_stdvec(&answer) {
        Ok(bytes) => Response::build(StatusCode::OK).body(bytes),
        Err(_) => Response::new(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Grants units and chooses an endpoint, as a question asks.
pub async fn decide(permits: &Permits, view: &View, question: &Question) -> Answer {
    let now = permits.shared().clock.now();
    let granted = question.units.as_ref().map_or(Ok(()), |units| grant(view, now, units));
    if let Err(refused) = granted {
        return Answer {
            retry_after_ms: Some(refused.retry_after.as_millis() as u64),
            placement: None,
        };
    }
    let placement = match &question.generation {
        Some(generation) => place(permits, view, generation).await,
        None => None,
    };
    Answer {
        retry_after_ms: None,
        placement,
    }
}

/// Takes in what an entry of the zone has under way.
fn told(shared: &Shared, view: &View, now: Instant, entry: &name::Entry, flown: &[InFlight]) {
    let mut ledger = shared.ledger();
    let changed = ledger.update(now, entry, flown);
    for endpoint in changed.into_iter().filter_map(|hash| view.endpoint(hash)) {
        ledger.apply_to(endpoint);
    }
}

/// Grants units of the zone's share of a limit, and counts what the entry let in before it asked.
///
/// # Errors
///
/// Returns how long it takes until there is room.
pub fn grant(view: &View, now: Instant, units: &Units) -> Result<(), Refused> {
    let Some(accounts) = view.accounts.get(&units.organisation) else {
        return Ok(());
    };
    accounts.zone.charge(now, units.unreported);
    accounts.zone.take(now, units.count)
}

/// Chooses an endpoint for a generation, to which it is granted where the endpoint names a rate; `None` when none takes
/// work.
pub async fn place(permits: &Permits, view: &View, generation: &Generation) -> Option<Placement> {
    for _ in 0..PLACES {
        let choice = choose(permits.shared(), view, generation)?;
        let is_limited = choice.endpoint.signals.throttle.rate().is_some();
        if is_limited && !permits.acquire(&choice.endpoint, "").await {
            continue;
        }
        let shared = permits.shared();
        let endpoint = choice.endpoint.hash;
        shared
            .recall()
            .record_choice(shared.clock.now(), endpoint, &generation.parts);
        return Some(Placement {
            endpoint,
            unread: choice.unread,
            source: choice.source,
            cost: choice.cost,
            is_granted: is_limited,
        });
    }
    None
}

fn choose(shared: &Shared, view: &View, generation: &Generation) -> Option<Choice> {
    let service = view.services.get(&generation.service)?;
    let ask = Metadata {
        size: Some(Size {
            prompt: generation.prompt,
            output: 0,
        }),
        parts: generation.parts.clone(),
        ..Metadata::default()
    };
    let request = choice::Request {
        ask: &ask,
        engine: service.engine,
        own_zone: &shared.settings.zone,
        preferred_zone: None,
        tried: &generation.avoided,
        cache_sources: &[],
    };
    let canary = service.canary_for(generation.is_canary);
    let recall = shared.recall();
    let weights = choice::Settings::default();
    choice::choose_with_canary(&weights, shared.clock.now(), service, canary, &request, &recall)
}
