//! Plain services: HTTP requests that are forwarded unchanged.

use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_config::config::Organisation;
use bergamotshift_config::config::Service;
use bergamotshift_core::attempt;
use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::header as hop;
use ntex::http::Method;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::util::Bytes;

use super::body;
use super::error::Error;
use super::error::Reason;
use super::reply;
use super::reply::Active;
use super::request;
use super::stop;
use crate::claims;
use crate::claims::Lookup;
use crate::exchange;
use crate::exchange::Attempts;
use crate::exchange::Call;
use crate::exchange::Open;
use crate::exchange::Outgoing;
use crate::exchange::Work;
use crate::exchange::copy::Relay;
use crate::exchange::whole;
use crate::jobs;
use crate::sharing;
use crate::snapshot::Snapshot;
use crate::worker::Worker;

/// Handles a request to a plain service.
///
/// # Errors
///
/// Returns the failure to report to the caller.
pub async fn serve(
    worker: &Rc<Worker>,
    snapshot: &Arc<Snapshot>,
    service: &Service,
    organisation: &Organisation,
    request: &mut Request,
    id: attempt::Id,
    active: Active,
) -> Result<Response, Error> {
    let arrived = worker.shared.now();
    if !organisation.may_use(&service.name) {
        return Err(Error::not_run(Reason::Forbidden(service.name.clone())));
    }
    request::check_head(request, service.max_header)?;
    let headers = request.headers();
    // Endpoints decode paths, so rules are matched against the decoded path and other encodings cannot evade them.
    let path = request::decoded_path(request.path())?;
    let handling = snapshot.config.handling(service, request.method().as_str(), &path);
    let key = request::idempotency_key(headers)?;
    if !handling.repeatable && key.is_none() && handling.key_fields.is_empty() {
        return Err(Error::not_run(Reason::MissingKey));
    }
    let mut call = Call {
        id,
        organisation: organisation.name.clone(),
        service: service.name.clone(),
        method: request.method().clone(),
        path: request::path_and_query(request),
        headers: hop::towards_endpoint(headers),
        body: Bytes::new(),
        key,
        repeatable: handling.repeatable,
        urgency: request::urgency(headers, &handling)?,
        times: request::times(headers, &handling, service, arrived)?,
        fingerprint: Fingerprint::default(),
        work: Work::default(),
    };
    let outgoing = if call.repeatable {
        prepare_body(worker, service, request).await?
    } else {
        // The claim contains a digest of the whole body, so the body is read completely before any of it is sent.
        Outgoing::Buffered(body::read(worker, request, service.max_body).await?)
    };
    if let Outgoing::Buffered(body) = &outgoing {
        call.body = body.clone();
    }
    call.fingerprint = match &outgoing {
        Outgoing::Buffered(body) => {
            Fingerprint::of(service.name.as_str(), call.method.as_str(), call.path.as_str(), body)
        }
        // A streamed body has no digest. A unique fingerprint keeps it apart from other uploads to the same path.
        Outgoing::Streamed(_) => Fingerprint::new(id.get()),
    };
    if !call.repeatable {
        let key = call.key.take();
        let key = key.or_else(|| claims::key_from_fields(&handling.key_fields, &call.body));
        call.key = Some(key.ok_or_else(|| Error::not_run(Reason::MissingKey))?);
    }
    let is_buffered = matches!(outgoing, Outgoing::Buffered(_));
    if is_buffered && service.deferrable && jobs::prefers_async(request.headers()) {
        return jobs::accept(worker, &call).await;
    }
    // A streamed body has no digest to compare, so the request neither joins a running one nor replays an answer.
    let lookup = if is_buffered && call.repeatable {
        Lookup::find_answer(worker, &call).await?
    } else {
        Lookup::Run(None)
    };
    let started = match lookup {
        Lookup::Run(started) => started,
        Lookup::Answered(response) => return Ok(response),
    };
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
    let mut attempts = Attempts::new(Rc::clone(worker), call, ticket).with_trace(active.trace());
    match fetch(&mut attempts, outgoing).await {
        Ok(Answer::Whole(whole)) => {
            claims::share_answer(started, &whole);
            Ok(reply::whole(whole, id))
        }
        Ok(Answer::Streamed(open)) => Ok(stream_answer(attempts, open, id, active)),
        Err(error) => Err(attempts.fail(&error)),
    }
}

/// Buffers a small body, so that it can be sent again, and streams a large one.
async fn prepare_body(worker: &Rc<Worker>, service: &Service, request: &mut Request) -> Result<Outgoing, Error> {
    let max_buffered = worker.shared.settings.bounds.max_buffered_body.min(service.max_body);
    let declared = whole::length(request.headers());
    if declared.is_some_and(|length| length > service.max_body) {
        return Err(Error::not_run(Reason::BodyTooLarge(service.max_body)));
    }
    if declared.is_some_and(|length| length > max_buffered) {
        let payload = request.take_payload();
        return Ok(Outgoing::Streamed(body::stream(worker, payload, service.max_body)));
    }
    let body = body::read(worker, request, service.max_body).await?;
    Ok(Outgoing::Buffered(body))
}

/// Answer of an endpoint to a plain request.
enum Answer {
    /// Complete answer.
    Whole(whole::Whole),
    /// Head of an answer whose body is streamed.
    Streamed(Open),
}

/// Fetches an answer: a small one completely, only the head of a large one.
async fn fetch(attempts: &mut Attempts, outgoing: Outgoing) -> Result<Answer, exchange::Error> {
    let bound = attempts.worker().shared.settings.bounds.max_buffered_answer;
    let mut outgoing = Some(outgoing);
    loop {
        let body = outgoing
            .take()
            .unwrap_or_else(|| Outgoing::Buffered(attempts.call().body.clone()));
        let open = attempts.open(body).await?;
        if !is_small(attempts.call(), &open, bound) {
            return Ok(Answer::Streamed(open));
        }
        let sent = attempts.call().body.clone();
        if let Some(whole) = whole::finish(attempts, open, &sent).await? {
            return Ok(Answer::Whole(whole));
        }
    }
}

fn is_small(call: &Call, open: &Open, bound: usize) -> bool {
    has_no_body(call, open.answer.status) || whole::length(&open.answer.headers).is_some_and(|length| length <= bound)
}

fn has_no_body(call: &Call, status: StatusCode) -> bool {
    call.method == Method::HEAD || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
}

fn stream_answer(attempts: Attempts, open: Open, id: attempt::Id, active: Active) -> Response {
    let Open { answer, running } = open;
    let length = whole::length(&answer.headers).map(|length| length as u64);
    let stream = Relay::new(attempts, answer.status, answer.body, running).into_stream();
    reply::streaming(answer.status, &answer.headers, length, id, stream, active)
}
