//! Answers to callers.

use core::error;
use core::mem;
use core::pin::Pin;
use core::task::Context;
use core::task::Poll;
use core::task::ready;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_core::attempt;
use bergamotshift_core::outcome::Outcome;
use bergamotshift_endpoint::header as hop;
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

use super::header::OUTCOME;
use super::header::REQUEST_ID;
use crate::exchange::whole::Whole;
use crate::exchange::whole::length;
use crate::observe::Trace;
use crate::worker::Shared;

/// Counts one request as being served until it is dropped.
#[derive(Debug)]
pub struct Active {
    shared: Arc<Shared>,
    connection: Option<IoRef>,
    trace: Trace,
}

impl Active {
    /// Counts a request that came on a connection.
    pub fn new(shared: &Arc<Shared>, request: &Request, id: attempt::Id) -> Self {
        shared.metrics.active.inc();
        let trace = match &shared.traces {
            Some(traces) => traces.begin(request.headers(), id),
            None => Trace::default(),
        };
        Self {
            shared: Arc::clone(shared),
            connection: request.io().cloned(),
            trace,
        }
    }

    /// Returns the request's trace.
    pub const fn trace(&self) -> &Trace {
        &self.trace
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        // A drain that sees no request any more sends the last spans, so this one ends before it is uncounted.
        drop(mem::take(&mut self.trace));
        self.shared.metrics.active.dec();
    }
}

/// A body that streams to a caller over its connection, and counts its request as being served until it ends.
struct Passing<S> {
    stream: Pin<Box<S>>,
    cut: Option<(LocalBoxFuture<'static, ()>, Rc<dyn error::Error>)>,
    active: Active,
}

impl<S> Stream for Passing<S>
where
    S: Stream<Item = Result<Bytes, Rc<dyn error::Error>>>,
{
    type Item = S::Item;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<S::Item>> {
        if self.cut.is_none() {
            let item = ready!(self.stream.as_mut().poll_next(cx));
            let (Some(Err(error)), Some(connection)) = (&item, &self.active.connection) else {
                return Poll::Ready(item);
            };
            self.cut = Some((flush_and_terminate(connection.clone()).boxed_local(), Rc::clone(error)));
        }
        let Some((cut, error)) = &mut self.cut else {
            return Poll::Ready(None);
        };
        ready!(cut.as_mut().poll(cx));
        Poll::Ready(Some(Err(Rc::clone(error))))
    }
}

/// Returns a short plain answer.
pub fn text(status: StatusCode, text: &'static str) -> Response {
    Response::build(status)
        .content_type("text/plain; charset=utf-8")
        .body(text)
}

/// Returns a complete answer of an endpoint.
pub fn whole(whole: Whole, id: attempt::Id) -> Response {
    let Whole { status, headers, body } = whole;
    let mut response = head(status, &headers, id);
    response.headers_mut().remove(header::CONTENT_LENGTH);
    // The answer to a HEAD declares the length of a body that does not follow; it is not an empty one.
    let follows = !body.is_empty() || length(&headers) == Some(0);
    response.set_body(if follows { Body::Bytes(body) } else { Body::None })
}

/// Returns an answer that streams through, with its length when that is known.
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
    let passing = Passing {
        stream: Box::pin(stream),
        cut: None,
        active,
    };
    let body = match length {
        Some(length) => Body::from_message(SizedStream::new(length, passing)),
        None => Body::from_message(BoxedBodyStream::new(passing)),
    };
    response.set_body(body)
}

/// Returns the head of an answer of an endpoint, with the request's identifier.
///
/// An answer that tells a failure also tells whether the request ran.
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

/// Returns what an endpoint's failure says of whether the request ran.
///
/// An answer that carries no attempt comes from something in front of the endpoint, which cannot know.
fn outcome(headers: &HeaderMap) -> Outcome {
    if hop::says_not_run(headers) {
        Outcome::NotRun
    } else if hop::attempt(headers).is_some() {
        Outcome::Ran
    } else {
        Outcome::Unknown
    }
}
