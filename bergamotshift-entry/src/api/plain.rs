//! Plain services: HTTP routed as it is.

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

/// Answers a request to a plain service.
///
/// # Errors
///
/// Returns the failure that the caller is told of.
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
    // An endpoint decodes paths, so a rule must not be evaded by another spelling of the same one.
    let path = request::decoded_path(request.path())?;
    let handling = snapshot.config.handling(service, request.method().as_str(), &path);
    let key = request::key(headers)?;
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
        outgoing(worker, service, request).await?
    } else {
        // The claim holds a digest of the whole body, so none of it may leave before all of it is here.
        Outgoing::Buffered(body::read(worker, request, service.max_body).await?)
    };
    if let Outgoing::Buffered(held) = &outgoing {
        call.body = held.clone();
    }
    call.fingerprint = match &outgoing {
        Outgoing::Buffered(body) => {
            Fingerprint::of(service.name.as_str(), call.method.as_str(), call.path.as_str(), body)
        }
        // What streams through cannot be recognised again, and must not be taken for another upload to the path.
        Outgoing::Streamed(_) => Fingerprint::new(id.get()),
    };
    if !call.repeatable {
        let key = call.key.take();
        let key = key.or_else(|| claims::key_from_fields(&handling.key_fields, &call.body));
        call.key = Some(key.ok_or_else(|| Error::not_run(Reason::MissingKey))?);
    }
    let held = matches!(outgoing, Outgoing::Buffered(_));
    if held && service.deferrable && jobs::prefers_async(request.headers()) {
        return jobs::accept(worker, &call).await;
    }
    // A body that streams through has no digest to compare, so it neither joins nor replays.
    let joined = if held && call.repeatable {
        Lookup::find_answer(worker, &call).await?
    } else {
        Lookup::Run(None)
    };
    let started = match joined {
        Lookup::Run(started) => started,
        Lookup::Answered(response) => return Ok(response),
    };
    let call = Rc::new(call);
    let ticket = sharing::admit(worker, snapshot, &call).map_err(|refusal| Error::not_run(refusal.into()))?;
    if let Some(service) = snapshot.services.get(&service.name) {
        service.metrics.requests.inc();
        service.budget.deposit();
    }
    if let (false, Some(key)) = (call.repeatable, call.key.clone()) {
        return claims::send_once(worker, call, ticket, key, active.trace()).await;
    }
    let mut attempts = Attempts::new(Rc::clone(worker), call, ticket).with_trace(active.trace());
    match pass(&mut attempts, outgoing).await {
        Ok(Passed::Whole(whole)) => {
            claims::share_answer(started, &whole);
            Ok(reply::whole(whole, id))
        }
        Ok(Passed::Large(open)) => Ok(large(attempts, open, id, active)),
        Err(error) => Err(attempts.fail(&error)),
    }
}

/// Holds a small body, so that it can be sent again; a large one passes through.
async fn outgoing(worker: &Rc<Worker>, service: &Service, request: &mut Request) -> Result<Outgoing, Error> {
    let held = worker.shared.settings.bounds.held_body.min(service.max_body);
    let declared = whole::length(request.headers());
    if declared.is_some_and(|length| length > service.max_body) {
        return Err(Error::not_run(Reason::BodyTooLarge(service.max_body)));
    }
    if declared.is_some_and(|length| length > held) {
        let payload = request.take_payload();
        return Ok(Outgoing::Streamed(body::pass(worker, payload, service.max_body)));
    }
    let body = body::read(worker, request, service.max_body).await?;
    Ok(Outgoing::Buffered(body))
}

enum Passed {
    Whole(whole::Whole),
    Large(Open),
}

/// Gets an answer: a small one whole, of a large one the head.
async fn pass(attempts: &mut Attempts, outgoing: Outgoing) -> Result<Passed, exchange::Error> {
    let bound = attempts.worker().shared.settings.bounds.held_answer;
    let mut outgoing = Some(outgoing);
    loop {
        let body = outgoing
            .take()
            .unwrap_or_else(|| Outgoing::Buffered(attempts.call().body.clone()));
        let open = attempts.open(body).await?;
        if !is_small(attempts.call(), &open, bound) {
            return Ok(Passed::Large(open));
        }
        if let Some(whole) = whole::finish(attempts, open.answer, open.running).await? {
            return Ok(Passed::Whole(whole));
        }
    }
}

fn is_small(call: &Call, open: &Open, bound: usize) -> bool {
    has_no_body(call, open.answer.status) || whole::length(&open.answer.headers).is_some_and(|length| length <= bound)
}

fn has_no_body(call: &Call, status: StatusCode) -> bool {
    call.method == Method::HEAD || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
}

fn large(attempts: Attempts, open: Open, id: attempt::Id, active: Active) -> Response {
    let Open { answer, running } = open;
    let length = whole::length(&answer.headers).map(|length| length as u64);
    let stream = Relay::new(attempts, answer.body, running).into_stream();
    reply::streaming(answer.status, &answer.headers, length, id, stream, active)
}
