//! Request handling of a zone's keeper, which grants units of limits and chooses endpoints for the entries of its zone.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_limit::precedence::Kind;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;

use super::message::InFlight;
use super::permit::Permits;
use super::question::read_body;
use crate::choice;
use crate::choice::Choice;
use crate::dialect::Metadata;
use crate::dialect::Size;
use crate::endpoint::Wanted;
use crate::limits::Keeper;
use crate::limits::Refused;
use crate::limits::keeper::Answer;
use crate::limits::keeper::Estimate;
use crate::limits::keeper::Generation;
use crate::limits::keeper::Placement;
use crate::limits::keeper::Question;
use crate::limits::keeper::Units;
use crate::limits::shortage::Judgement;
use crate::limits::shortage::Terms;
use crate::view;
use crate::view::Scope;
use crate::view::Service;
use crate::view::Shared;
use crate::view::View;

/// Path of requests to a zone's keeper.
pub const PATH: &str = "/keep";

/// Maximum size of a request's body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1_024;

/// Maximum number of endpoints to try for a generation: a rate-limited one may have no permit left.
const MAX_PLACEMENT_ATTEMPTS: usize = 3;

/// Answers a request of an entry of the zone.
///
/// An entry that is not the keeper by its own view, nor the deputy of a request that addresses the deputy, responds
/// with a conflict. The requester's view of the zone then differs from this entry's, and two keepers would grant the
/// zone's share twice.
pub async fn answer_keep(permits: &Permits, mut request: Request) -> Response {
    let shared = permits.shared();
    let question = match read_body::<Question>(&mut request, MAX_BODY_BYTES).await {
        Ok(question) => question,
        Err(status) => return Response::new(status),
    };
    let view = shared.view.load_full();
    let keeping = view.keepers;
    if keeping.keeper != Keeper::Own && !(keeping.is_deputy && question.deputy) {
        return Response::new(StatusCode::CONFLICT);
    }
    let now = shared.clock.now();
    record_in_flight(shared, &view, now, &question.entry, &question.in_flight);
    shared.record_samples(now, &view, &question.context.samples);
    let answer = decide(permits, &view, &question).await;
    if let Some(placement) = answer.placement {
        let mut ledger = shared.ledger();
        ledger.record_placement(&question.entry, placement.endpoint, placement.unread);
        if let Some(endpoint) = view.endpoint(placement.endpoint) {
            ledger.apply_to(endpoint);
        }
    }
    match postcard::to_stdvec(&answer) {
        Ok(bytes) => Response::build(StatusCode::OK).body(bytes),
        Err(_) => Response::new(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Grants the units and chooses the endpoint that a request asks for.
pub async fn decide(permits: &Permits, view: &View, question: &Question) -> Answer {
    let now = permits.shared().clock.now();
    let kind = question.context.kind();
    let units = question.units.as_ref();
    let granted = units.map_or(Ok(()), |units| grant(view, now, units, kind));
    if let Err(refused) = granted {
        return Answer {
            retry_after_ms: Some(refused.retry_after.as_millis() as u64),
            ..Answer::default()
        };
    }
    let placed = match &question.generation {
        Some(generation) => place(permits, view, generation, question.context.terms.as_ref(), "").await,
        None => Placed::default(),
    };
    if let Some(Judgement::Refused { .. }) = placed.judgement
        && let Some(units) = &question.units
    {
        refund(view, units);
    }
    let mut answer = Answer::granted(placed.placement);
    answer.detail.judgement = placed.judgement;
    answer
}

/// Records the work that an entry of the zone has in flight, and updates the sums of the endpoints concerned.
fn record_in_flight(shared: &Shared, view: &View, now: Instant, entry: &name::Entry, in_flight: &[InFlight]) {
    let mut ledger = shared.ledger();
    let changed = ledger.update(now, entry, in_flight);
    for endpoint in changed.into_iter().filter_map(|hash| view.endpoint(hash)) {
        ledger.apply_to(endpoint);
    }
}

/// Grants units of the zone's share of a limit, and charges those that the entry admitted by its own share before.
///
/// # Errors
///
/// Returns [`Refused`] with the time until enough units are available.
pub fn grant(view: &View, now: Instant, units: &Units, kind: Kind) -> Result<(), Refused> {
    let Some(accounts) = view.accounts.get(&units.organisation) else {
        return Ok(());
    };
    accounts.zone.charge(now, units.unreported);
    accounts.zone.take(now, units.count, kind)
}

/// Refunds granted units of a request that did not run.
fn refund(view: &View, units: &Units) {
    if let Some(accounts) = view.accounts.get(&units.organisation) {
        accounts.zone.refund(units.count);
    }
}

/// Outcome of the choice of an endpoint for a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Placed {
    /// Endpoint that was chosen; `None` if none accepts the generation, or if it is refused.
    pub placement: Option<Placement>,
    /// Judgement by the rules for a shortage; `None` where they do not apply, and if no endpoint accepts the generation.
    pub judgement: Option<Judgement>,
}

/// Decides by the rules for a shortage whether a generation is admitted, chooses an endpoint for it, and acquires a
/// permit if the endpoint is rate-limited.
pub async fn place(
    permits: &Permits,
    view: &View,
    generation: &Generation,
    terms: Option<&Terms>,
    request: &str,
) -> Placed {
    let mut placed = Placed::default();
    let Some(service) = view.services.get(&generation.service) else {
        return placed;
    };
    let shared = permits.shared();
    for _ in 0..MAX_PLACEMENT_ATTEMPTS {
        let Some(choice) = choose(shared, service, generation) else {
            break;
        };
        if let (None, Some(terms)) = (placed.judgement, terms) {
            let estimate = view::Estimate {
                wait: choice.wait,
                read: choice.read,
            };
            placed.judgement = shared.judge(service, &generation.service, terms, estimate, Scope::Zone, request);
            if let Some(Judgement::Refused { .. }) = placed.judgement {
                break;
            }
        }
        let is_limited = choice.endpoint.signals.throttle.rate().is_some();
        if is_limited && !permits.acquire(&choice.endpoint, "").await {
            continue;
        }
        let endpoint = choice.endpoint.hash;
        shared
            .cache_index()
            .record_choice(shared.clock.now(), endpoint, &generation.parts);
        placed.placement = Some(Placement {
            endpoint,
            unread: choice.unread,
            source: choice.source,
            cost: choice.cost,
            is_granted: is_limited,
            estimate: choice.is_learned.then(|| Estimate {
                wait_ms: millis(choice.wait),
                read_ms: millis(choice.read),
                ahead: choice.ahead.unwrap_or_default(),
                running: choice.running,
            }),
        });
        break;
    }
    placed
}

/// Returns a duration in whole milliseconds.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn choose(shared: &Shared, service: &Service, generation: &Generation) -> Option<Choice> {
    let metadata = Metadata {
        size: Some(Size {
            prompt: generation.prompt,
            output: 0,
        }),
        parts: generation.parts.clone(),
        ..Metadata::default()
    };
    let request = choice::Request {
        ask: &metadata,
        engine: service.engine,
        own_zone: &shared.settings.zone,
        preferred_zone: None,
        tried: &generation.avoided,
        wanted: Wanted::Any,
        seed: choice::seed(&shared.settings.name),
        cache_sources: &[],
        typical: service.learned(),
    };
    let canary = service.canary_for(generation.is_canary);
    let recall = shared.cache_index();
    let weights = choice::Settings::default();
    choice::choose_with_canary(&weights, shared.clock.now(), service, canary, &request, &recall)
}
