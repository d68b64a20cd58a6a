//! Completion requests: read, checked and let in.

use std::borrow::Cow;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_config::config::Kind;
use bergamotshift_config::config::Organisation;
use bergamotshift_config::config::Service;
use bergamotshift_core::attempt;
use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::header as hop;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::header;
use ntex::util::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::Xxh3;

use super::answer;
use crate::api::body;
use crate::api::error::Error;
use crate::api::error::Reason;
use crate::api::reply;
use crate::api::reply::Active;
use crate::api::request;
use crate::claims;
use crate::claims::Lookup;
use crate::exchange::Attempts;
use crate::exchange::Call;
use crate::exchange::Work;
use crate::exchange::assemble;
use crate::exchange::attempts::BLOCK_BYTES;
use crate::jobs;
use crate::sharing;
use crate::snapshot::Snapshot;
use crate::worker::Worker;

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

/// Answers a completion request.
pub(super) async fn complete(
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
        .service_for_model(&completion.model)
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
    if !call.repeatable && call.key.is_none() {
        return Err(Error::not_run(Reason::MissingKey));
    }
    if service.deferrable && !streams && jobs::prefers_async(request.headers()) {
        return jobs::accept(worker, &call).await;
    }
    let joined = if call.repeatable && !streams {
        Lookup::find_answer(worker, &call).await?
    } else {
        Lookup::Run(None)
    };
    let started = match joined {
        Lookup::Run(started) => started,
        Lookup::Answered(response) => return Ok(response),
    };
    let streamed = if streams {
        None
    } else {
        assemble::streaming_body(&call.body)
    };
    if !streams && streamed.is_none() {
        // The head of such an answer comes only when all of it is generated.
        let generated = call.times.between_tokens.saturating_mul(call.work.answer_tokens);
        call.times.head_timeout += generated.saturating_mul(SLOWDOWN);
    }
    let call = Rc::new(call);
    let ticket = sharing::admit(worker, snapshot, &call).map_err(|refusal| Error::not_run(refusal.into()))?;
    if let Some(service) = snapshot.services.get(&service.name) {
        service.metrics.requests.inc();
        service.budget.deposit();
    }
    if let (false, Some(key)) = (call.repeatable, call.key.clone()) {
        return claims::send_once(worker, call, ticket, key, active.trace()).await;
    }
    let attempts = Attempts::new(Rc::clone(worker), call, ticket).with_trace(active.trace());
    if streams {
        answer::stream(attempts, &service.adapter, active).await
    } else {
        let whole = answer::fetch(attempts, &service.adapter, streamed).await?;
        claims::share_answer(started, &whole);
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
        path: request::path_and_query(request),
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
