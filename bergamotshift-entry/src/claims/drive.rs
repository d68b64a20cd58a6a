//! Drives the claim of one request that must not be repeated.

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
use bergamotshift_claim::wall::WallClock;
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

/// What the caller is told, and what the endpoints said when they brought no answer.
#[derive(Debug)]
pub struct Told {
    /// What the claim came to.
    pub reply: Reply,
    /// What the endpoints said.
    pub failure: Option<api::error::Error>,
}

/// Sends a request at most once, whatever its caller, the table or the endpoints do.
///
/// The claim goes on when the future is dropped: what was sent has to be recorded for the next who asks.
pub async fn claim(worker: &Rc<Worker>, call: Rc<Call>, ticket: Ticket, key: SmolStr, trace: &Trace) -> Told {
    let scope = Scope {
        organisation: call.organisation.clone(),
        service: call.service.clone(),
        key,
    };
    let (told, telling) = oneshot::channel();
    let claim = Claim::new(Rc::clone(worker), call, scope, trace.clone(), ticket, told);
    ntex::rt::spawn(claim.run()).detach();
    telling.await.unwrap_or(Told {
        reply: Reply::Unknown,
        failure: None,
    })
}

/// Sends a caller's request at most once.
///
/// # Errors
///
/// Returns the failure that the caller is told of.
pub async fn once(
    worker: &Rc<Worker>,
    call: Rc<Call>,
    ticket: Ticket,
    key: SmolStr,
    trace: &Trace,
) -> Result<Response, api::error::Error> {
    let id = call.id;
    let Told { reply, failure } = claim(worker, call, ticket, key, trace).await;
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
    Ok(if replayed { join::replayed(response) } else { response })
}

/// One claim on its way.
struct Claim {
    worker: Rc<Worker>,
    call: Rc<Call>,
    driver: Driver,
    told: Option<oneshot::Sender<Told>>,
    failure: Option<api::error::Error>,
    events: mpsc::UnboundedSender<Happened>,
    happened: mpsc::UnboundedReceiver<Happened>,
    trace: Trace,
    /// Counts what is used, until the request is sent.
    ticket: Option<Ticket>,
    /// Lasts until the claim stands or is given up.
    span: Option<Span>,
    /// Keeps the entry from ending before the answer is recorded.
    _recording: Recording,
}

/// An event, with what the endpoints said if they brought no answer.
struct Happened {
    event: Event,
    failure: Option<api::error::Error>,
}

impl From<Event> for Happened {
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
        told: oneshot::Sender<Told>,
    ) -> Self {
        trace.admitted();
        let now = worker.shared.now();
        let request = driver::Request {
            scope,
            digest: Digest::of(call.method.as_str(), call.path.as_str(), &call.body),
            attempt: call.id,
            holder: worker.shared.settings.name.clone(),
            deadline: call.times.deadline,
            wall_clock: WallClock::new(now, unix_millis()),
        };
        let (events, happened) = mpsc::unbounded_channel();
        Self {
            driver: Driver::new(request, driver::Settings::default()),
            _recording: Recording::start(&worker.shared),
            call,
            ticket: Some(ticket),
            worker,
            told: Some(told),
            span: Some(trace.span(Hop::Claim)),
            trace,
            failure: None,
            events,
            happened,
        }
    }

    async fn run(mut self) {
        self.take(Event::Ask.into());
        while !self.driver.is_closed() {
            let due = self.driver.due().map(|due| due.since(self.worker.shared.now()));
            let happened = tokio::select! {
                Some(happened) = self.happened.recv() => happened,
                () = tokio::time::sleep(due.unwrap_or_default()), if due.is_some() => Event::Woke.into(),
            };
            self.take(happened);
        }
    }

    fn take(&mut self, happened: Happened) {
        self.failure = happened.failure.or(self.failure.take());
        let now = self.worker.shared.now();
        for action in self.driver.on(now, happened.event) {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
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
                let is_stored = store.keep(key, body).await;
                Event::Stored { op, is_stored }.into()
            }),
            Action::Send => {
                self.span = None;
                let ticket = self.ticket.take().expect("a driver sends once");
                let attempts = Attempts::new(Rc::clone(&self.worker), Rc::clone(&self.call), ticket);
                self.spawn(send(attempts.with_trace(&self.trace)));
            }
            Action::Reply(reply) => self.reply(reply),
            // The loop asks the driver itself when it wants to be woken.
            Action::Wake(_) => {}
        }
    }

    fn reply(&mut self, reply: Reply) {
        self.span = None;
        if let Some(told) = self.told.take() {
            let failure = self.failure.take();
            let _ = told.send(Told { reply, failure });
        }
    }

    fn spawn(&self, work: impl Future<Output = Happened> + 'static) {
        let events = self.events.clone();
        let work = async move {
            drop(events.send(work.await));
        };
        ntex::rt::spawn(work).detach();
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        // What was not sent, because it is replayed or refused, used nothing.
        if let Some(ticket) = self.ticket.take() {
            ticket.settle(self.worker.shared.now(), Outcome::NotRun);
        }
    }
}

/// Sends the request; a second endpoint is tried only as long as none got a byte.
async fn send(mut attempts: Attempts) -> Happened {
    let (verdict, failure) = match whole::fetch(&mut attempts).await {
        Ok(whole) => {
            attempts.count_whole(&whole.body);
            (Completion::Answered(convert::from_whole(&whole)), None)
        }
        Err(error) => {
            let refused = attempts.outcome() == Outcome::NotRun;
            let verdict = if refused { Completion::Refused } else { Completion::Lost };
            (verdict, Some(attempts.fail(&error)))
        }
    };
    Happened {
        event: Event::Completed(verdict),
        failure,
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
