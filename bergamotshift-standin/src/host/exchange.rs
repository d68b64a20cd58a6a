//! Takes one request through the faults in force to the stand-in's own logic and back.

use core::cell::RefCell;
use core::fmt::Debug;
use core::mem;
use core::pin::Pin;
use core::task::Context;
use core::task::Poll;
use std::rc::Rc;
use std::sync::Arc;

use bergamotshift_core::vm::Incarnation;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream;
use ntex::http::Method;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::body::Body;
use ntex::http::body::BodySize;
use ntex::http::body::MessageBody;
use ntex::http::body::ResponseBody;
use ntex::http::body::SizedStream;
use ntex::http::header;
use ntex::io::IoRef;
use ntex::util::Bytes;
use ntex::util::BytesMut;
use tokio::sync::oneshot;

use super::call::Call;
use super::call::dead;
use super::call::error;
use super::call::json;
use super::control::Control;
use crate::fault::Ending;
use crate::fault::Fault;
use crate::fault::Plan;

/// What a stand-in answers, as a future that stays on its thread.
pub(crate) type Answer = LocalBoxFuture<'static, Response>;

/// A stand-in's own logic.
pub(crate) trait Site: Debug + Send + Sync + 'static {
    /// Returns the kind under which a call is counted.
    fn kind(&self, call: &Call) -> String;

    /// Returns whether the answer to this call is a stream of events.
    fn streams(&self, _call: &Call) -> bool {
        false
    }

    /// Answers a call.
    fn answer(self: Arc<Self>, call: Call, plan: Plan) -> Answer;

    /// Answers a call that the fault `Refuse` turns away.
    fn refuse(&self) -> Response {
        error(StatusCode::SERVICE_UNAVAILABLE, "overloaded", "refused before any work")
    }
}

/// Takes requests of one host to its site.
#[derive(Debug)]
pub(super) struct Exchange {
    control: Arc<Control>,
    site: Arc<dyn Site>,
    /// The first call of a pair whose answers are to be swapped, with its answer.
    parked: RefCell<Option<(Response, oneshot::Sender<Response>)>>,
}

impl Exchange {
    pub(super) fn new(control: Arc<Control>, site: Arc<dyn Site>) -> Self {
        Self {
            control,
            site,
            parked: RefCell::default(),
        }
    }

    pub(super) async fn answer(self: Rc<Self>, mut request: Request, incarnation: Incarnation) -> Response {
        let Some(body) = collect(&mut request).await else {
            return error(StatusCode::BAD_REQUEST, "invalid_request_error", "the body ended early");
        };
        let call = Call {
            method: request.method().clone(),
            path: request.path().to_owned(),
            query: request.uri().query().unwrap_or_default().to_owned(),
            headers: request.headers().clone(),
            body,
            io: request.io().cloned(),
            control: Arc::clone(&self.control),
            incarnation,
        };
        let control = Arc::clone(&self.control);
        let io = call.io.clone();
        let response = match (&call.method, call.path.as_str()) {
            (&Method::POST, "/_fault") => self.order(&call),
            (&Method::GET, "/_count") => json(&self.control.counts()),
            // A task of its own: what the platform or an endpoint began goes on when its caller goes away.
            _ => match ntex::rt::spawn(async move { self.play(call).await }).await {
                Ok(response) => response,
                Err(_) => error(StatusCode::INTERNAL_SERVER_ERROR, "internal_error", "the call panicked"),
            },
        };
        // Failure: the death of a host ends its runs before it cuts its connections. Symptom: a call that its ended run
        // wakes in between answers for a dead host, with an error that no dead host could write. It waits for the cut,
        // which comes to every connection of a host that is no longer up.
        if !control.is_alive(incarnation) {
            if let Some(io) = io {
                io.on_disconnect().await;
            }
            return dead();
        }
        response
    }

    fn order(&self, call: &Call) -> Response {
        match call.parse::<Fault>() {
            Ok(fault) => {
                self.control.fault(&fault);
                Response::new(StatusCode::NO_CONTENT)
            }
            Err(response) => response,
        }
    }

    async fn play(&self, call: Call) -> Response {
        self.control.count(&self.site.kind(&call));
        self.control.unpaused().await;
        let plan = self.control.draw(&call.body, self.site.streams(&call));
        let io = call.io.clone();
        let cut = |io: &Option<IoRef>| {
            if let Some(io) = io {
                io.terminate();
            }
            Response::new(StatusCode::INTERNAL_SERVER_ERROR)
        };
        if plan.reset {
            return cut(&io);
        }
        if !plan.before.is_zero() {
            tokio::time::sleep(plan.before).await;
        }
        if plan.refuse {
            return self.site.refuse();
        }
        let mut answer = Arc::clone(&self.site).answer(call, plan);
        if plan.crash {
            // The work begins, then the endpoint dies under it.
            drop(futures_util::poll!(&mut answer));
            self.control.fault(&Fault::Down);
            return cut(&io);
        }
        let response = answer.await;
        if plan.lose {
            return cut(&io);
        }
        if !plan.after.is_zero() {
            tokio::time::sleep(plan.after).await;
        }
        self.control.unpaused().await;
        let response = if plan.crossed {
            self.swap(response).await
        } else {
            response
        };
        match plan.ending {
            Ending::ShortBody => shorten(response, io),
            _ => response,
        }
    }

    /// Swaps answers with the other call of a pair; the first call waits for the second.
    async fn swap(&self, response: Response) -> Response {
        if let Some((other, sender)) = self.parked.take() {
            return match sender.send(response) {
                Ok(()) => other,
                // The first call's caller went away, so there is nobody to swap with.
                Err(own) => own,
            };
        }
        let (sender, receiver) = oneshot::channel();
        *self.parked.borrow_mut() = Some((response, sender));
        match receiver.await {
            Ok(other) => other,
            Err(_) => error(
                StatusCode::INTERNAL_SERVER_ERROR,
                "internal_error",
                "no second call came",
            ),
        }
    }
}

/// Reads the whole body; `None` when it ended early.
async fn collect(request: &mut Request) -> Option<Bytes> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        body.extend_from_slice(&chunk.ok()?);
    }
    Some(body.freeze())
}

/// Keeps the announced length of a body, sends half of it and hangs up.
fn shorten(response: Response, io: Option<IoRef>) -> Response {
    let (mut head, mut body) = response.into_parts();
    let BodySize::Sized(size) = body.size() else {
        return head.set_body(Body::Empty);
    };
    let half = take_bytes(&mut body)
        .map(|bytes| bytes.slice(..bytes.len() / 2))
        .unwrap_or_default();
    head.headers_mut().remove(header::CONTENT_LENGTH);
    let chunks = stream::iter([Ok(half)]).chain(HangUp::new(io));
    head.set_body(Body::from_message(SizedStream::new(size, chunks)))
}

/// The end of a body that is cut off: what was written still goes out, then the connection closes.
///
/// An error of the body would not do. The server writes an error response on top of the open body, and its bytes
/// fill up what the body's length announced.
#[derive(Debug)]
pub(crate) struct HangUp {
    io: Option<IoRef>,
}

impl HangUp {
    pub(crate) const fn new(io: Option<IoRef>) -> Self {
        Self { io }
    }
}

impl Stream for HangUp {
    type Item = Result<Bytes, Rc<dyn std::error::Error>>;

    fn poll_next(mut self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Some(io) = self.io.take() {
            io.close();
        }
        Poll::Pending
    }
}

fn take_bytes(body: &mut ResponseBody<Body>) -> Option<Bytes> {
    match mem::replace(body, ResponseBody::Other(Body::Empty)) {
        ResponseBody::Body(Body::Bytes(bytes)) | ResponseBody::Other(Body::Bytes(bytes)) => Some(bytes),
        _ => None,
    }
}
