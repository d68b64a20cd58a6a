//! The OpenAI-compatible API of model services.

use std::borrow::Cow;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_config::config::Kind;
use bergamotshift_config::config::Organisation;
use bergamotshift_config::config::Service;
use bergamotshift_core::attempt;
use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::adapter::Adapter;
use bergamotshift_endpoint::engine::resume::CHAT;
use bergamotshift_endpoint::engine::resume::COMPLETIONS;
use bergamotshift_endpoint::header as hop;
use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::header;
use ntex::http::header::HeaderValue;
use ntex::http::uri::PathAndQuery;
use ntex::util::Bytes;
use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::Xxh3;

use super::body;
use super::error::Error;
use super::error::Reason;
use super::reply;
use super::reply::Active;
use super::request;
use crate::claims;
use crate::claims::Joined;
use crate::exchange;
use crate::exchange::Attempts;
use crate::exchange::Call;
use crate::exchange::Outgoing;
use crate::exchange::Work;
use crate::exchange::assemble;
use crate::exchange::attempts::BLOCK_BYTES;
use crate::exchange::events::Events;
use crate::exchange::stream::Relay;
use crate::exchange::whole;
use crate::exchange::whole::Whole;
use crate::sharing;
use crate::snapshot::Snapshot;
use crate::worker::Worker;

const MODELS: &str = "/v1/models";
const MODEL_PREFIX: &str = "/v1/models/";

/// Tokens that an answer is taken to have when its request sets no bound.
const ANSWER_TOKENS: u32 = 256;

/// A whole answer may take this many times its target before another attempt is made.
const SLOWDOWN: u32 = 4;

/// Bytes of a prompt that make up a token, on the whole.
const BYTES_PER_TOKEN: usize = 4;

/// What an entry needs to know of a completion request; the rest goes through as it is.
#[derive(Debug)]
#[derive(Deserialize)]
struct Completion<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default, borrow)]
    messages: Option<&'a RawValue>,
    #[serde(default, borrow)]
    prompt: Option<&'a RawValue>,
}

/// Answers a request to the models' API.
///
/// # Errors
///
/// Returns the failure that the caller is told of.
pub async fn serve(
    worker: &Rc<Worker>,
    snapshot: &Arc<Snapshot>,
    organisation: &Organisation,
    request: &mut Request,
    id: attempt::Id,
    active: Active,
) -> Result<Response, Error> {
    let path = request.path();
    match (request.method(), path) {
        (&Method::GET, MODELS) => Ok(models(snapshot, organisation)),
        (&Method::GET, _) if path.starts_with(MODEL_PREFIX) => {
            model(snapshot, organisation, &path[MODEL_PREFIX.len()..])
        }
        (&Method::POST, CHAT | COMPLETIONS) => complete(worker, snapshot, organisation, request, id, active).await,
        (_, MODELS | CHAT | COMPLETIONS) => Err(Error::not_run(Reason::Method(path.to_owned()))),
        _ => Err(Error::not_run(Reason::UnknownPath(path.to_owned()))),
    }
}

fn offered<'a>(
    snapshot: &'a Snapshot,
    organisation: &'a Organisation,
) -> impl Iterator<Item = (&'a name::Model, &'a Service)> {
    let services = snapshot.config.services.values();
    services
        .filter(|service| service.kind == Kind::Model && organisation.may_use(&service.name))
        .flat_map(|service| service.models.iter().map(move |model| (model, service)))
}

fn describe(model: &name::Model, service: &Service) -> serde_json::Value {
    json!({ "id": model, "object": "model", "created": 0, "owned_by": service.name })
}

fn models(snapshot: &Snapshot, organisation: &Organisation) -> Response {
    let data: Vec<_> = offered(snapshot, organisation)
        .map(|(model, service)| describe(model, service))
        .collect();
    Response::build(StatusCode::OK).json(&json!({ "object": "list", "data": data }))
}

fn model(snapshot: &Snapshot, organisation: &Organisation, wanted: &str) -> Result<Response, Error> {
    offered(snapshot, organisation)
        .find(|(model, _)| model.as_str() == wanted)
        .map(|(model, service)| Response::build(StatusCode::OK).json(&describe(model, service)))
        .ok_or_else(|| Error::not_run(Reason::UnknownModel(wanted.to_owned())))
}

async fn complete(
    worker: &Rc<Worker>,
    snapshot: &Arc<Snapshot>,
    organisation: &Organisation,
    request: &mut Request,
    id: attempt::Id,
    active: Active,
) -> Result<Response, Error> {
    let arrived = worker.shared.now();
    let bound = largest_body(snapshot);
    let body = body::read(worker, request, bound).await?;
    let text = core::str::from_utf8(&body).map_err(|error| Error::not_run(Reason::Json(error.to_string())))?;
    let completion: Completion<'_> =
        serde_json::from_str(text).map_err(|error| Error::not_run(Reason::Json(error.to_string())))?;
    let service = snapshot
        .config
        .service_of_model(&completion.model)
        .ok_or_else(|| Error::not_run(Reason::UnknownModel(completion.model.to_string())))?;
    if !organisation.may_use(&service.name) {
        return Err(Error::not_run(Reason::Forbidden(service.name.clone())));
    }
    if body.len() > service.max_body {
        return Err(Error::not_run(Reason::BodyTooLarge(service.max_body)));
    }
    request::check_head(request, service.max_header)?;
    let streams = completion.stream.unwrap_or(false);
    let work = work(&completion);
    let mut call = call(
        request,
        organisation,
        service,
        snapshot,
        body.clone(),
        work,
        arrived,
        id,
    )?;
    let joined = if call.repeatable && !streams {
        Joined::look(worker, &call).await?
    } else {
        Joined::Run(None)
    };
    let started = match joined {
        Joined::Run(started) => started,
        Joined::Answered(response) => return Ok(response),
    };
    let streamed = if streams { None } else { assemble::streaming(&call.body) };
    if !streams && streamed.is_none() {
        // The head of such an answer comes only when all of it is generated.
        let generated = call.times.between.saturating_mul(call.work.answer_tokens);
        call.times.head += generated.saturating_mul(SLOWDOWN);
    }
    let call = Rc::new(call);
    let ticket = sharing::admit(worker, snapshot, &call).map_err(|refusal| Error::not_run(refusal.into()))?;
    if let Some(service) = snapshot.services.get(&service.name) {
        service.metrics.requests.inc();
        service.budget.deposit();
    }
    if !call.repeatable {
        let key = call.key.clone().ok_or_else(|| Error::not_run(Reason::MissingKey))?;
        return claims::once(worker, call, ticket, key, active.trace()).await;
    }
    let attempts = Attempts::new(Rc::clone(worker), call, ticket).traced(active.trace());
    if streams {
        stream(attempts, &service.adapter, active).await
    } else {
        let whole = fetch(attempts, &service.adapter, streamed).await?;
        claims::leave(started, &whole);
        Ok(reply::whole(whole, id))
    }
}

/// Returns the largest body that any model service takes: which one is asked is known only from the body.
fn largest_body(snapshot: &Snapshot) -> usize {
    let services = snapshot.config.services.values();
    let models = services.filter(|service| service.kind == Kind::Model);
    models.map(|service| service.max_body).max().unwrap_or_default()
}

#[expect(
    clippy::too_many_arguments,
    reason = "each is a different part of one request, gathered once"
)]
fn call(
    request: &Request,
    organisation: &Organisation,
    service: &Service,
    snapshot: &Snapshot,
    body: Bytes,
    work: Work,
    arrived: Instant,
    id: attempt::Id,
) -> Result<Call, Error> {
    let headers = request.headers();
    let path = request.path();
    let handling = snapshot.config.handling(service, request.method().as_str(), path);
    let mut passed = hop::towards_endpoint(headers);
    // An encoded answer could not be split into events.
    passed.remove(header::ACCEPT_ENCODING);
    Ok(Call {
        id,
        organisation: organisation.name.clone(),
        service: service.name.clone(),
        method: request.method().clone(),
        path: path_and_query(request),
        headers: passed,
        key: request::key(headers)?,
        repeatable: handling.repeatable,
        urgency: request::urgency(headers, &handling)?,
        times: request::times(headers, &handling, service, arrived)?,
        fingerprint: Fingerprint::of(service.name.as_str(), request.method().as_str(), path, &body),
        work,
        body,
    })
}

/// Returns the path and query of a request.
pub(super) fn path_and_query(request: &Request) -> PathAndQuery {
    let path = request.uri().path_and_query().cloned();
    path.unwrap_or_else(|| PathAndQuery::from_static("/"))
}

/// Estimates a completion's size, and hashes its prompt in blocks for the engines' prefix caches.
fn work(completion: &Completion<'_>) -> Work {
    let prompt = completion.messages.or(completion.prompt).map_or("", RawValue::get);
    let mut hasher = Xxh3::new();
    let prefix = prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            hasher.update(block);
            hasher.digest()
        })
        .collect();
    let bound = completion.max_completion_tokens.or(completion.max_tokens);
    Work {
        prompt_tokens: (prompt.len() / BYTES_PER_TOKEN) as u32,
        answer_tokens: bound.unwrap_or(ANSWER_TOKENS),
        prefix,
    }
}

/// Fetches a whole answer: as a stream whose pieces are added up when a body for that is given.
async fn fetch(mut attempts: Attempts, adapter: &str, streamed: Option<Bytes>) -> Result<Whole, Error> {
    if let (Some(body), Some(adapter)) = (streamed, attempts.worker().adapter(adapter)) {
        return match open(attempts, adapter, body).await? {
            Opened::Whole(whole) => Ok(whole),
            Opened::Stream(head, events) => collect(head, *events).await,
        };
    }
    match whole::fetch(&mut attempts).await {
        Ok(whole) => {
            attempts.count_whole(&whole.body);
            Ok(whole)
        }
        Err(error) => Err(attempts.fail(&error)),
    }
}

/// Reads a stream to its end.
async fn collect(head: Head, mut events: Events) -> Result<Whole, Error> {
    match assemble::read(&mut events).await {
        Ok(body) => {
            let Head { status, mut headers } = head;
            headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
            Ok(Whole { status, headers, body })
        }
        Err(error) => {
            let begun = events.is_begun();
            let attempts = events.attempts();
            if begun {
                attempts.ran();
            }
            Err(attempts.fail(&error))
        }
    }
}

async fn stream(attempts: Attempts, adapter: &str, active: Active) -> Result<Response, Error> {
    let call = Rc::clone(attempts.call());
    let Some(adapter) = attempts.worker().adapter(adapter) else {
        return Err(Error::not_run(Reason::Exchange(exchange::Error::NoService)));
    };
    match open(attempts, adapter, call.body.clone()).await? {
        Opened::Whole(whole) => Ok(reply::whole(whole, call.id)),
        Opened::Stream(head, events) => {
            let relay = Relay::new(*events).into_stream();
            Ok(reply::streaming(
                head.status,
                &head.headers,
                None,
                call.id,
                relay,
                active,
            ))
        }
    }
}

/// The head of an engine's answer.
struct Head {
    status: StatusCode,
    headers: HeaderMap,
}

enum Opened {
    /// The engine streams.
    Stream(Head, Box<Events>),
    /// The engine refused the request, or answered it whole.
    Whole(Whole),
}

/// Sends a body that asks for a stream, until the head of one is there.
async fn open(mut attempts: Attempts, adapter: Rc<dyn Adapter>, body: Bytes) -> Result<Opened, Error> {
    loop {
        let held = Outgoing::Held(body.clone());
        let open = match attempts.open(held).await {
            Ok(open) => open,
            Err(error) => return Err(attempts.fail(&error)),
        };
        if is_stream(&open.answer.headers) {
            let (status, headers) = (open.answer.status, open.answer.headers.clone());
            let events = Events::new(attempts, adapter, body, open);
            return Ok(Opened::Stream(Head { status, headers }, Box::new(events)));
        }
        // An engine that refuses a request answers it whole.
        match whole::finish(&mut attempts, open.answer, open.running).await {
            Ok(Some(whole)) => {
                attempts.count_whole(&whole.body);
                return Ok(Opened::Whole(whole));
            }
            Ok(None) => {}
            Err(error) => return Err(attempts.fail(&error)),
        }
    }
}

fn is_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}
