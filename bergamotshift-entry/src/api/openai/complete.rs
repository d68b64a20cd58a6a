//! Completion requests: parsing, validation, admission and dispatch.

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
use crate::api::stop;
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

/// Assumed number of tokens of an answer if its request sets no limit.
const DEFAULT_ANSWER_TOKENS: u32 = 256;

/// Factor of the expected generation time that an answer which is not streamed may take.
const GENERATION_TIMEOUT_FACTOR: u32 = 4;

/// Average number of prompt bytes per token.
const BYTES_PER_TOKEN: usize = 4;

/// Fields of a completion request that an entry reads for routing and admission.
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

impl<'a> Completion<'a> {
    /// Returns the JSON text of the prompt.
    fn prompt(&self) -> &'a str {
        self.messages.or(self.prompt).map_or("", RawValue::get)
    }
}

/// Handles a completion request.
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
    let work = estimate_work(&completion);
    let mut call = build_call(
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
    let lookup = if call.repeatable && !streams {
        Lookup::find_answer(worker, &call).await?
    } else {
        Lookup::Run(None)
    };
    let started = match lookup {
        Lookup::Run(started) => started,
        Lookup::Answered(response) => return Ok(response),
    };
    let streamed = if streams {
        None
    } else {
        assemble::streaming_body(&call.body)
    };
    if !streams && streamed.is_none() {
        // The head of an answer that is not streamed arrives only after all its tokens are generated.
        let generated = call.times.between_tokens.saturating_mul(call.work.answer_tokens);
        call.times.head_timeout += generated.saturating_mul(GENERATION_TIMEOUT_FACTOR);
    }
    let call = Rc::new(call);
    stop::admit(worker, &call)?;
    let ticket = sharing::admit(worker, snapshot, &call).map_err(|refusal| Error::not_run(refusal.into()))?;
    active.measure(&call, arrived);
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

/// Returns the largest body limit of all model services, because the service is known only after the body is read.
fn largest_body(snapshot: &Snapshot) -> usize {
    let services = snapshot.config.services.values();
    let models = services.filter(|service| service.kind == Kind::Model);
    models.map(|service| service.max_body).max().unwrap_or_default()
}

#[expect(
    clippy::too_many_arguments,
    reason = "each is a different part of one request, gathered once"
)]
fn build_call(
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
    let mut forwarded = hop::towards_endpoint(headers);
    // A compressed answer could not be split into events.
    forwarded.remove(header::ACCEPT_ENCODING);
    Ok(Call {
        id,
        organisation: organisation.name.clone(),
        service: service.name.clone(),
        method: request.method().clone(),
        path: request::path_and_query(request),
        headers: forwarded,
        key: request::idempotency_key(headers)?,
        repeatable: handling.repeatable,
        urgency: request::urgency(headers, &handling)?,
        times: request::times(headers, &handling, service, arrived)?,
        fingerprint: Fingerprint::of(service.name.as_str(), request.method().as_str(), path, &body),
        work,
        body,
    })
}

/// Returns the cumulative hashes of the blocks of a completion request's prompt.
///
/// # Errors
///
/// Returns an error if the body is no completion request.
pub fn hash_prompt(body: &[u8]) -> Result<Vec<u64>, serde_json::Error> {
    let completion: Completion<'_> = serde_json::from_slice(body)?;
    Ok(hash_blocks(completion.prompt()))
}

/// Returns the cumulative hashes of a prompt's blocks, to find engines with a cached prefix and parts that crash engines.
fn hash_blocks(prompt: &str) -> Vec<u64> {
    let mut hasher = Xxh3::new();
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    let hash = |block| {
        hasher.update(block);
        hasher.digest()
    };
    blocks.map(hash).collect()
}

/// Estimates the size of a completion and hashes its prompt in blocks.
fn estimate_work(completion: &Completion<'_>) -> Work {
    let prompt = completion.prompt();
    let bound = completion.max_completion_tokens.or(completion.max_tokens);
    Work {
        prompt_tokens: (prompt.len() / BYTES_PER_TOKEN) as u32,
        answer_tokens: bound.unwrap_or(DEFAULT_ANSWER_TOKENS),
        prefix: hash_blocks(prompt),
    }
}
