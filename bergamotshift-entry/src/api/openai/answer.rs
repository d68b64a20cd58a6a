//! Answers of model engines: streamed to the caller, or assembled from a stream.

use std::rc::Rc;

use bergamotshift_endpoint::adapter::Adapter;
use ntex::http::HeaderMap;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::header;
use ntex::http::header::HeaderValue;
use ntex::util::Bytes;

use crate::api::error::Error;
use crate::api::error::Reason;
use crate::api::reply;
use crate::api::reply::Active;
use crate::exchange;
use crate::exchange::Attempts;
use crate::exchange::Outgoing;
use crate::exchange::assemble;
use crate::exchange::events::Events;
use crate::exchange::stream::Relay;
use crate::exchange::whole;
use crate::exchange::whole::Whole;

/// Fetches a complete answer. With a `streamed` body, requests a stream and assembles the answer from its events.
pub(super) async fn fetch(mut attempts: Attempts, adapter: &str, streamed: Option<Bytes>) -> Result<Whole, Error> {
    if let (Some(body), Some(adapter)) = (streamed, attempts.worker().adapter(adapter)) {
        return collect(attempts, adapter, body).await;
    }
    match whole::fetch(&mut attempts).await {
        Ok(whole) => {
            attempts.count_whole(&whole.body);
            Ok(whole)
        }
        Err(error) => Err(attempts.fail(&error)),
    }
}

/// Requests a stream, reads it to its end and returns the assembled answer.
async fn collect(mut attempts: Attempts, adapter: Rc<dyn Adapter>, body: Bytes) -> Result<Whole, Error> {
    loop {
        let (Head { status, mut headers }, mut events) = match open(attempts, Rc::clone(&adapter), body.clone()).await?
        {
            Answer::Whole(whole) => return Ok(whole),
            Answer::Stream(head, events) => (head, *events),
        };
        match assemble::read(&mut events).await {
            Ok(body) => {
                headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
                return Ok(Whole { status, headers, body });
            }
            // The next attempt is paid for, and nothing has reached the caller.
            Err(exchange::Error::Diverged) => attempts = events.start_over(),
            Err(error) => {
                let has_started = events.has_started();
                let attempts = events.attempts();
                if has_started {
                    attempts.mark_ran();
                }
                return Err(attempts.fail(&error));
            }
        }
    }
}

/// Streams an answer to the caller, event by event.
pub(super) async fn stream(attempts: Attempts, adapter: &str, active: Active) -> Result<Response, Error> {
    let call = Rc::clone(attempts.call());
    let Some(adapter) = attempts.worker().adapter(adapter) else {
        return Err(Error::not_run(Reason::Exchange(exchange::Error::NoService)));
    };
    match open(attempts, adapter, call.body.clone()).await? {
        Answer::Whole(whole) => Ok(reply::whole(whole, call.id)),
        Answer::Stream(head, events) => {
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

/// Head of an engine's answer.
struct Head {
    status: StatusCode,
    headers: HeaderMap,
}

/// Answer of an engine to a request for a stream.
enum Answer {
    /// Head and events of a stream.
    Stream(Head, Box<Events>),
    /// Complete answer, for example a refusal.
    Whole(Whole),
}

/// Sends a body that requests a stream, and retries until an endpoint starts a stream or answers completely.
async fn open(mut attempts: Attempts, adapter: Rc<dyn Adapter>, body: Bytes) -> Result<Answer, Error> {
    loop {
        let held = Outgoing::Buffered(body.clone());
        let open = match attempts.open(held).await {
            Ok(open) => open,
            Err(error) => return Err(attempts.fail(&error)),
        };
        if is_stream(&open.answer.headers) {
            let (status, headers) = (open.answer.status, open.answer.headers.clone());
            let events = Events::new(attempts, adapter, body, open);
            return Ok(Answer::Stream(Head { status, headers }, Box::new(events)));
        }
        // An engine refuses a request with a complete answer instead of a stream.
        match whole::finish(&mut attempts, open, &body).await {
            Ok(Some(whole)) => {
                attempts.count_whole(&whole.body);
                return Ok(Answer::Whole(whole));
            }
            Ok(None) => {}
            Err(error) => return Err(attempts.fail(&error)),
        }
    }
}

fn is_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_some_and(|content_type| content_type.starts_with("text/event-stream"))
}
