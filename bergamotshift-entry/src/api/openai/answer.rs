//! Answers of model engines: streamed, or added up to one.

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

/// Fetches a whole answer: as a stream whose pieces are added up when a body for that is given.
pub(super) async fn fetch(mut attempts: Attempts, adapter: &str, streamed: Option<Bytes>) -> Result<Whole, Error> {
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
            let begun = events.has_started();
            let attempts = events.attempts();
            if begun {
                attempts.mark_ran();
            }
            Err(attempts.fail(&error))
        }
    }
}

/// Passes a stream on, event by event.
pub(super) async fn stream(attempts: Attempts, adapter: &str, active: Active) -> Result<Response, Error> {
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
        let held = Outgoing::Buffered(body.clone());
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
