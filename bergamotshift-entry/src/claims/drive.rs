//! Execution of a non-repeatable request under a claim.

use std::rc::Rc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bergamotshift_claim::digest::Digest;
use bergamotshift_claim::driver;
use bergamotshift_claim::driver::Action;
use bergamotshift_claim::driver::Completion;
use bergamotshift_claim::driver::Driver;
use bergamotshift_claim::driver::Event;
use bergamotshift_claim::driver::Reply;
use bergamotshift_claim::scope::Scope;
use bergamotshift_claim::wall::Clock;
use bergamotshift_core::prelude::*;
use ntex::http::Response;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::Error;
use super::convert;
use super::join;
use crate::api;
use crate::api::reply;
use crate::exchange::Attempts;
use crate::exchange::Call;
use crate::exchange::whole;
use crate::observe::trace::Hop;
use crate::observe::trace::Span;
use crate::observe::trace::Trace;
use crate::sharing::Ticket;
use crate::worker::Recording;
use crate::worker::Worker;

/// Result of a claim.
#[derive(Debug)]
pub struct Conclusion {
    /// Reply to the caller.
    pub reply: Reply,
    /// Failure of the attempts, if they brought no answer.
    pub failure: Option<api::error::Error>,
}

/// Claims a request's key and sends the request at most once, even if the caller, the table or the endpoints fail.
///
/// The claim continues if the future is dropped: once the request is sent, its outcome has to be recorded for later
/// requests with the key.
pub async fn claim(worker: &Rc<Worker>, call: Rc<Call>, ticket: Ticket, key: SmolStr, trace: &Trace) -> Conclusion {
    let scope = Scope {
        organisation: call.organisation.clone(),
        service: call.service.clone(),
        key,
    };
    let (sender, receiver) = oneshot::channel();
    let claim = Claim::new(Rc::clone(worker), call, scope, trace.clone(), ticket, sender);
    ntex::rt::spawn(claim.run()).detach();
    receiver.await.unwrap_or(Conclusion {
        reply: Reply::Unknown,
        failure: None,
    })
}

/// Sends a caller's request at most once and returns the response.
///
/// # Errors
///
/// Returns the error to report to the caller.
pub async fn send_once(
    worker: &Rc<Worker>,
    call: Rc<Call>,
    ticket: Ticket,
    key: SmolStr,
    trace: &Trace,
) -> Result<Response, api::error::Error> {
    let id = call.id;
    let Conclusion { reply, failure } = claim(worker, call, ticket, key, trace).await;
    if let Some(failure) = failure {
        return Err(failure);
    }
    if let Some(error) = Error::from_reply(&reply) {
        return Err(api::error::Error::from_claim(error));
    }
    let (answer, replayed) = match reply {
        Reply::Replay(answer) => (answer, true),
        Reply::Answer(answer) => (answer, false),
        _ => unreachable!("all other replies are errors"),
    };
    let whole = convert::to_whole(answer, &worker.shared.store).await;
    let whole = whole.map_err(api::error::Error::from_claim)?;
    let response = reply::whole(whole, id);
    Ok(if replayed {
        join::mark_replayed(response)
    } else {
        response
    })
}

/// Claim in progress.
struct Claim {
    worker: Rc<Worker>,
    call: Rc<Call>,
    driver: Driver,
    reply_sender: Option<oneshot::Sender<Conclusion>>,
    failure: Option<api::error::Error>,
    input_sender: mpsc::UnboundedSender<Input>,
    inputs: mpsc::UnboundedReceiver<Input>,
    trace: Trace,
    /// Admission of the request; `None` once the request is sent.
    ticket: Option<Ticket>,
    /// Trace span of the claim; ends when the request is sent or answered without being sent.
    span: Option<Span>,
    /// Keeps the entry running until the answer is recorded.
    _recording: Recording,
}

/// Event for the driver, with the failure of the attempts if they brought no answer.
struct Input {
    event: Event,
    failure: Option<api::error::Error>,
}

impl From<Event> for Input {
    fn from(event: Event) -> Self {
        Self { event, failure: None }
    }
}

impl Claim {
    fn new(
        worker: Rc<Worker>,
        call: Rc<Call>,
        scope: Scope,
        trace: Trace,
        ticket: Ticket,
        reply_sender: oneshot::Sender<Conclusion>,
    ) -> Self {
        trace.admitted();
        let now = worker.shared.now();
        let request = driver::Request {
            scope,
            digest: Digest::of(call.method.as_str(), call.path.as_str(), &call.body),
            attempt: call.id,
            holder: worker.shared.settings.name.clone(),
            deadline: call.times.deadline,
            wall_clock: Clock::new(now, unix_millis()),
        };
        let (input_sender, inputs) = mpsc::unbounded_channel();
        Self {
            driver: Driver::new(request, driver::Settings::default()),
            _recording: Recording::start(&worker.shared),
            call,
            ticket: Some(ticket),
            worker,
            reply_sender: Some(reply_sender),
            span: Some(trace.span(Hop::Claim)),
            trace,
            failure: None,
            input_sender,
            inputs,
        }
    }

    async fn run(mut self) {
        self.handle(Event::Ask.into());
        while !self.driver.is_closed() {
            let due = self.driver.due().map(|due| due.since(self.worker.shared.now()));
            let input = tokio::select! {
                Some(input) = self.inputs.recv() => input,
                () = tokio::time::sleep(due.unwrap_or_default()), if due.is_some() => Event::Woke.into(),
            };
            self.handle(input);
        }
    }

    fn handle(&mut self, input: Input) {
        self.failure = input.failure.or(self.failure.take());
        let now = self.worker.shared.now();
        for action in self.driver.on(now, input.event) {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        let store = self.worker.shared.store.clone();
        match action {
            Action::Write { op, write } => self.spawn(async move {
                let ending = store.write(write).await;
                Event::Written { op, ending }.into()
            }),
            Action::Read { op, key } => self.spawn(async move {
                let row = store.read(key).await;
                Event::Rows { op, row }.into()
            }),
            Action::Store { op, key, body } => self.spawn(async move {
                let is_stored = store.put_object(key, body).await;
                Event::Stored { op, is_stored }.into()
            }),
            Action::Send => {
                self.span = None;
                let ticket = self.ticket.take().expect("a driver sends at most once");
                let attempts = Attempts::new(Rc::clone(&self.worker), Rc::clone(&self.call), ticket);
                self.spawn(send(attempts.with_trace(&self.trace)));
            }
            Action::Reply(reply) => self.reply(reply),
            // `run` reads the time from `Driver::due`.
            Action::Wake(_) => {}
        }
    }

    /// Sends the reply to the caller; only the first one is sent.
    fn reply(&mut self, reply: Reply) {
        self.span = None;
        if let Some(sender) = self.reply_sender.take() {
            let failure = self.failure.take();
            let _ = sender.send(Conclusion { reply, failure });
        }
    }

    /// Runs an operation in the background and feeds its result back.
    fn spawn(&self, work: impl Future<Output = Input> + 'static) {
        let sender = self.input_sender.clone();
        let work = async move {
            drop(sender.send(work.await));
        };
        ntex::rt::spawn(work).detach();
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        // A request that was not sent, because it was replayed or refused, used nothing.
        if let Some(ticket) = self.ticket.take() {
            ticket.settle(self.worker.shared.now(), Outcome::NotRun);
        }
    }
}

/// Sends the request. Another endpoint is tried only while no endpoint can have executed it.
async fn send(mut attempts: Attempts) -> Input {
    let (completion, failure) = match whole::fetch(&mut attempts).await {
        Ok(whole) => {
            attempts.count_whole(&whole.body);
            (Completion::Answered(convert::from_whole(&whole)), None)
        }
        Err(error) => {
            let refused = attempts.outcome() == Outcome::NotRun;
            let completion = if refused { Completion::Refused } else { Completion::Lost };
            (completion, Some(attempts.fail(&error)))
        }
    };
    Input {
        event: Event::Completed(completion),
        failure,
    }
}

/// Returns the time since the Unix epoch, in milliseconds.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
