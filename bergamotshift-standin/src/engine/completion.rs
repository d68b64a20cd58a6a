//! One completion: from the request through the batch to its stream or whole answer.

use core::pin::Pin;
use core::task::Context;
use core::task::Poll;
use std::collections::VecDeque;
use std::error::Error;
use std::rc::Rc;
use std::sync::Arc;

use futures_util::Stream;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::body::Body;
use ntex::http::body::BoxedBodyStream;
use ntex::io::IoRef;
use ntex::io::OnDisconnect;
use ntex::util::Bytes;
use tokio::sync::mpsc;

use super::batch;
use super::batch::Finish;
use super::batch::Sequence;
use super::batch::Token;
use super::place::Place;
use super::reply;
use super::reply::Shape;
use super::reply::Usage;
use super::request::Prompt;
use super::request::Request;
use crate::fault::Ending;
use crate::fault::Plan;
use crate::host;
use crate::host::Call;
use crate::host::HangUp;

/// Returns whether a call asks for a stream of events.
pub(super) fn streams(call: &Call) -> bool {
    call.path.starts_with("/v1/") && serde_json::from_slice::<Request>(&call.body).is_ok_and(|request| request.stream)
}

/// Runs a completion and answers it.
pub(super) async fn answer(place: &Arc<Place>, call: Call, plan: Plan) -> Response {
    let request: Request = match call.parse() {
        Ok(request) => request,
        Err(response) => return response,
    };
    if place.is_leaving() {
        return host::error(
            StatusCode::SERVICE_UNAVAILABLE,
            "draining",
            "the engine takes no new requests",
        );
    }
    if !place.serves(&request.model) {
        let message = format!("The model `{}` does not exist.", request.model);
        return host::error(StatusCode::NOT_FOUND, "NotFoundError", &message);
    }
    let Some(prompt) = request.prompt() else {
        return host::error(
            StatusCode::BAD_REQUEST,
            "BadRequestError",
            "a prompt or messages are needed",
        );
    };
    let Some(task) = call.while_alive(|| Task::begin(place, &call, &request, &prompt)) else {
        return host::dead();
    };
    let mut response = if request.stream {
        let usage = request.stream_options.unwrap_or_default().include_usage;
        let events = Events::new(task, plan.ending, usage, call.io.clone());
        Response::build(StatusCode::OK)
            .content_type("text/event-stream")
            .body(Body::from_message(BoxedBodyStream::new(events)))
    } else {
        task.whole().await
    };
    host::echo_attempt(&call, &mut response);
    response
}

/// A request in the batch; dropping it cancels what is not computed yet.
#[derive(Debug)]
struct Task {
    place: Arc<Place>,
    id: batch::Id,
    tokens: mpsc::UnboundedReceiver<Token>,
    disconnect: Option<OnDisconnect>,
    shape: Shape,
    usage: Usage,
}

impl Task {
    fn begin(place: &Arc<Place>, call: &Call, request: &Request, prompt: &Prompt) -> Self {
        let settings = place.settings();
        let natural = settings.answer_tokens.max(prompt.given + 1);
        let (end, finish) = match request.maximum() {
            Some(maximum) => (prompt.given + maximum.max(1), Finish::Length),
            None => (natural, Finish::Stop),
        };
        let mut run = call.run(&settings.service);
        // Tokens brought along count as part of the prompt: what is neither cached nor imported is computed again.
        let context = prompt.words.len() as u32 + prompt.given;
        let cached = place.prefix(prompt, run.attempt.as_ref()).min(context);
        let prefill = context - cached;
        run.prefilled = prefill;
        let attempt = run.attempt.clone().unwrap_or_default();
        let entry = place.begin(run);
        let (sender, tokens) = mpsc::unbounded_channel();
        let sequence = Sequence {
            entry,
            attempt,
            priority: request.priority,
            digest: prompt.digest,
            next: prompt.given,
            end,
            finish,
            prefill,
            prompt: prompt.words.len() as u32,
            sender,
        };
        let id = place.submit(&call.control, sequence);
        Self {
            place: Arc::clone(place),
            id,
            tokens,
            disconnect: call.io.as_ref().map(IoRef::on_disconnect),
            shape: Shape::new(
                request.messages.is_some(),
                request.model.clone(),
                settings.version.clone(),
                call.attempt().unwrap_or("0"),
            ),
            usage: Usage {
                prompt: context,
                cached,
                generated: 0,
            },
        }
    }

    /// Returns the next token; `None` when the caller or the engine is gone.
    fn poll_token(&mut self, cx: &mut Context<'_>) -> Poll<Option<Token>> {
        if let Poll::Ready(token) = self.tokens.poll_recv(cx) {
            self.usage.generated += u32::from(token.is_some());
            return Poll::Ready(token);
        }
        // A caller that goes away while no token is due would otherwise be noticed only at the next one.
        match &self.disconnect {
            Some(disconnect) if disconnect.poll_ready(cx).is_ready() => Poll::Ready(None),
            _ => Poll::Pending,
        }
    }

    async fn whole(mut self) -> Response {
        let mut content = String::new();
        loop {
            let Some(token) = core::future::poll_fn(|cx| self.poll_token(cx)).await else {
                return host::error(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "InternalServerError",
                    "the engine died",
                );
            };
            content.push_str(&token.text);
            if let Some(finish) = token.finish {
                return host::json(&self.shape.whole(&content, finish, self.usage));
            }
        }
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.place.cancel(self.id);
    }
}

/// The events of a stream.
struct Events {
    task: Task,
    ending: Ending,
    include_usage: bool,
    ready: VecDeque<Bytes>,
    state: Phase,
    end: HangUp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Open,
    Ended,
    Cut,
}

impl Events {
    fn new(task: Task, ending: Ending, include_usage: bool, io: Option<IoRef>) -> Self {
        Self {
            task,
            ending,
            include_usage,
            ready: VecDeque::new(),
            state: Phase::Open,
            end: HangUp::new(io),
        }
    }

    fn take(&mut self, token: &Token) {
        let event = self.task.shape.event(token);
        if token.finish.is_none() {
            self.ready.push_back(event);
            return;
        }
        match self.ending {
            Ending::PartialEvent => {
                self.ready.push_back(event.slice(..event.len() / 2));
                self.state = Phase::Cut;
            }
            Ending::MissingEnd => {
                self.ready.push_back(event);
                self.state = Phase::Ended;
            }
            Ending::Whole | Ending::ShortBody => {
                self.ready.push_back(event);
                if self.include_usage {
                    self.ready.push_back(self.task.shape.usage_event(self.task.usage));
                }
                self.ready.push_back(Bytes::from_static(reply::DONE));
                self.state = Phase::Ended;
            }
        }
    }
}

impl Stream for Events {
    type Item = Result<Bytes, Rc<dyn Error>>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Poll::Ready(Some(Ok(event)));
            }
            match self.state {
                Phase::Ended => return Poll::Ready(None),
                Phase::Cut => return Pin::new(&mut self.end).poll_next(cx),
                Phase::Open => {}
            }
            match self.task.poll_token(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => self.state = Phase::Cut,
                Poll::Ready(Some(token)) => self.take(&token),
            }
        }
    }
}
