//! Responses to callers.

use core::cell::OnceCell;
use core::error;
use core::mem;
use core::pin::Pin;
use core::task::Context;
use core::task::Poll;
use core::task::ready;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_core::attempt;
use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::header as hop;
use bergamotshift_forward::serve::Guard;
use bergamotshift_forward::serve::flush_and_terminate;
use futures_util::FutureExt;
use futures_util::Stream;
use futures_util::future::LocalBoxFuture;
use ntex::http::HeaderMap;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::body::Body;
use ntex::http::body::BoxedBodyStream;
use ntex::http::body::SizedStream;
use ntex::http::header;
use ntex::http::header::HeaderName;
use ntex::http::header::HeaderValue;
use ntex::io::IoRef;
use ntex::util::Bytes;
use smol_str::SmolStr;

use super::header::OUTCOME;
use super::header::REQUEST_ID;
use crate::exchange::Call;
use crate::exchange::whole::Whole;
use crate::exchange::whole::length;
use crate::observe::Trace;
use crate::worker::Shared;

/// Guard that counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct Active {
    shared: Arc<Shared>,
    connection: Option<IoRef>,
    /// Keeps the caller's connection from being closed as idle.
    _guard: Option<Guard>,
    trace: Trace,
    /// Service and time of arrival, if its duration is recorded.
    measured: OnceCell<(SmolStr, Instant)>,
}

impl Active {
    /// Counts a request as in flight and starts its trace.
    pub fn new(shared: &Arc<Shared>, request: &Request, id: attempt::Id, guard: Option<Guard>) -> Self {
        shared.metrics.active.inc();
        let trace = match &shared.traces {
            Some(traces) => traces.begin(request.headers(), id),
            None => Trace::default(),
        };
        Self {
            shared: Arc::clone(shared),
            connection: request.io().cloned(),
            _guard: guard,
            trace,
            measured: OnceCell::new(),
        }
    }

    /// Records how long a request that arrived at a time lasts, once it has ended.
    pub fn measure(&self, call: &Call, arrived: Instant) {
        self.measured
            .get_or_init(|| (SmolStr::new(call.service.as_str()), arrived));
    }

    /// Returns the request's trace.
    pub const fn trace(&self) -> &Trace {
        &self.trace
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        // A drain exports the last spans once no request is in flight, so the trace ends before the count decreases.
        drop(mem::take(&mut self.trace));
        if let Some((service, arrived)) = self.measured.get() {
            let duration = self.shared.now().since(*arrived);
            self.shared.drain.record(service, duration);
        }
        self.shared.metrics.active.dec();
    }
}

/// Response body that is streamed to a caller and terminates the connection when the stream fails.
///
/// The request counts as in flight until the body is dropped.
struct Passthrough<S> {
    stream: Pin<Box<S>>,
    termination: Option<(LocalBoxFuture<'static, ()>, Rc<dyn error::Error>)>,
    active: Active,
}

impl<S> Stream for Passthrough<S>
where
    S: Stream<Item = Result<Bytes, Rc<dyn error::Error>>>,
{
    type Item = S::Item;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<S::Item>> {
        if self.termination.is_none() {
            let item = ready!(self.stream.as_mut().poll_next(cx));
            let (Some(Err(error)), Some(connection)) = (&item, &self.active.connection) else {
                return Poll::Ready(item);
            };
            self.termination = Some((flush_and_terminate(connection.clone()).boxed_local(), Rc::clone(error)));
        }
        let Some((termination, error)) = &mut self.termination else {
            return Poll::Ready(None);
        };
        ready!(termination.as_mut().poll(cx));
        Poll::Ready(Some(Err(Rc::clone(error))))
    }
}

/// Returns a plain-text response.
pub fn text(status: StatusCode, text: &'static str) -> Response {
    Response::build(status)
        .content_type("text/plain; charset=utf-8")
        .body(text)
}

/// Returns a response with a complete answer of an endpoint.
pub fn whole(whole: Whole, id: attempt::Id) -> Response {
    let Whole { status, headers, body } = whole;
    let mut response = head(status, &headers, id);
    response.headers_mut().remove(header::CONTENT_LENGTH);
    // A response to HEAD declares the length of a body that is not sent, so it has no body rather than an empty one.
    let has_body = !body.is_empty() || length(&headers) == Some(0);
    response.set_body(if has_body { Body::Bytes(body) } else { Body::None })
}

/// Returns a response whose body is streamed from an endpoint, with its length if known.
pub fn streaming<S>(
    status: StatusCode,
    headers: &HeaderMap,
    length: Option<u64>,
    id: attempt::Id,
    stream: S,
    active: Active,
) -> Response
where
    S: Stream<Item = Result<Bytes, Rc<dyn error::Error>>> + 'static,
{
    let mut response = head(status, headers, id);
    response.headers_mut().remove(header::CONTENT_LENGTH);
    let body = Passthrough {
        stream: Box::pin(stream),
        termination: None,
        active,
    };
    let body = match length {
        Some(length) => Body::from_message(SizedStream::new(length, body)),
        None => Body::from_message(BoxedBodyStream::new(body)),
    };
    response.set_body(body)
}

/// Returns the response head for an endpoint's answer, with the request's identifier.
///
/// Error responses also state whether the request ran.
pub fn head(status: StatusCode, headers: &HeaderMap, id: attempt::Id) -> Response {
    let mut response = Response::new(status);
    *response.headers_mut() = hop::towards_caller(headers);
    if status.is_client_error() || status.is_server_error() {
        let outcome = HeaderValue::from_static(outcome(headers).as_str());
        response.headers_mut().insert(HeaderName::from_static(OUTCOME), outcome);
    }
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(REQUEST_ID), value);
    }
    response
}

/// Determines from an error response of an endpoint whether the request ran.
///
/// A response without an attempt identifier comes from a component in front of the endpoint, such as a proxy, which
/// cannot know the outcome.
fn outcome(headers: &HeaderMap) -> Outcome {
    if hop::says_not_run(headers) {
        Outcome::NotRun
    } else if hop::attempt(headers).is_some() {
        Outcome::Ran
    } else {
        Outcome::Unknown
    }
}
