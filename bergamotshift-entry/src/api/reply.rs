//! Answers to callers.

use core::error;
use core::pin::Pin;
use core::task::Context;
use core::task::Poll;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_core::attempt;
use bergamotshift_endpoint::header as hop;
use futures_util::Stream;
use ntex::http::HeaderMap;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::body::Body;
use ntex::http::body::BoxedBodyStream;
use ntex::http::body::SizedStream;
use ntex::http::header;
use ntex::http::header::HeaderName;
use ntex::http::header::HeaderValue;
use ntex::util::Bytes;

use super::header::REQUEST_ID;
use crate::exchange::whole::Whole;
use crate::worker::Shared;

/// Counts one request as being served until it is dropped.
#[derive(Debug)]
pub struct Active(Arc<Shared>);

impl Active {
    /// Counts a request.
    pub fn new(shared: &Arc<Shared>) -> Self {
        shared.metrics.active.inc();
        Self(Arc::clone(shared))
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.metrics.active.dec();
    }
}

/// A stream that counts its request as being served until it ends.
struct Counted<S> {
    stream: Pin<Box<S>>,
    _active: Active,
}

impl<S: Stream> Stream for Counted<S> {
    type Item = S::Item;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<S::Item>> {
        self.stream.as_mut().poll_next(cx)
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
    response.set_body(Body::Bytes(body))
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
    let counted = Counted {
        stream: Box::pin(stream),
        _active: active,
    };
    let body = match length {
        Some(length) => Body::from_message(SizedStream::new(length, counted)),
        None => Body::from_message(BoxedBodyStream::new(counted)),
    };
    response.set_body(body)
}

/// Returns the head of an answer of an endpoint, with the request's identifier.
pub fn head(status: StatusCode, headers: &HeaderMap, id: attempt::Id) -> Response {
    let mut response = Response::new(status);
    *response.headers_mut() = hop::towards_caller(headers);
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(REQUEST_ID), value);
    }
    response
}
