//! The events of one completion, over as many endpoints as it takes.

use std::rc::Rc;

use bergamotshift_endpoint::adapter::Adapter;
use bergamotshift_endpoint::answer::Failure;
use bergamotshift_endpoint::engine::event::Event;
use bergamotshift_endpoint::engine::event::Splitter;
use bergamotshift_endpoint::engine::progress::Progress;
use bergamotshift_endpoint::engine::resume;
use bergamotshift_endpoint::engine::resume::Resumption;
use ntex::http::Payload;
use ntex::util::Bytes;

use super::Attempts;
use super::Error;
use super::Open;
use super::Outgoing;
use super::attempts::Running;
use super::whole;
use crate::observe::Hop;

/// Reads a completion's events and goes on elsewhere when their stream breaks.
///
/// Failure: an endpoint dies in the middle of a stream, or ends it without its terminal event. Symptom: a draft that
/// stops in the middle, or tokens that come twice when it is started over. What was delivered is kept, and another
/// endpoint is asked to go on exactly there, so that whoever reads the events sees one completion.
#[derive(Debug)]
pub struct Events {
    attempts: Attempts,
    adapter: Rc<dyn Adapter>,
    /// The body that was sent first, from which a continuation is made.
    sent: Bytes,
    body: Payload,
    running: Option<Running>,
    splitter: Splitter,
    progress: Progress,
    /// Tokens that the present endpoint was given and did not generate.
    carried: u32,
    resumed: bool,
    done: bool,
}

impl Events {
    /// Takes up a stream whose head has arrived, in answer to the body `sent`.
    pub fn new(attempts: Attempts, adapter: Rc<dyn Adapter>, sent: Bytes, open: Open) -> Self {
        Self {
            attempts,
            adapter,
            sent,
            body: open.answer.body,
            running: Some(open.running),
            splitter: Splitter::default(),
            progress: Progress::default(),
            carried: 0,
            resumed: false,
            done: false,
        }
    }

    /// Returns the attempts that the events come from.
    pub const fn attempts(&mut self) -> &mut Attempts {
        &mut self.attempts
    }

    /// Returns whether the completion is whole and no event follows.
    pub const fn is_done(&self) -> bool {
        self.done
    }

    /// Returns whether any event was read.
    pub const fn has_started(&self) -> bool {
        self.progress.events() > 0
    }

    /// Reads the events that arrive next, at least one unless the completion is whole by now.
    ///
    /// # Errors
    ///
    /// Returns why the completion cannot be brought to its end.
    pub async fn read(&mut self, events: &mut Vec<Event>) -> Result<(), Error> {
        while events.is_empty() && !self.done {
            let times = self.attempts.call().times;
            // Before its first token a request may wait for a slot, which is no standstill.
            let patience = if self.has_started() {
                times.stall_timeout
            } else {
                times.head_timeout.max(times.stall_timeout)
            };
            let broken = match whole::next(&self.attempts, &mut self.body, patience).await {
                Ok(Some(chunk)) => match self.splitter.push(&chunk) {
                    Ok(()) => {
                        self.take(events);
                        continue;
                    }
                    Err(error) => Failure::Malformed(error.to_string()),
                },
                Ok(None) => Failure::Broken("the stream ended without its terminal event".to_owned()),
                Err(failure) => failure,
            };
            self.resume(broken, events).await?;
        }
        if self.has_started() {
            self.attempts.record().first();
        }
        Ok(())
    }

    /// Takes the complete events that have arrived.
    fn take(&mut self, events: &mut Vec<Event>) {
        while let Some(event) = self.splitter.next() {
            if event.is_done() {
                self.finish();
                return;
            }
            let event = if self.resumed {
                resume::rewrite(event, self.progress.id(), self.carried)
            } else {
                Some(event)
            };
            if let Some(event) = event {
                self.note(event, events);
            }
        }
    }

    fn note(&mut self, event: Event, events: &mut Vec<Event>) {
        self.progress.note(&event);
        // Engines send a token per event, but for the first and the last.
        self.attempts.count_tokens(1);
        events.push(event);
    }

    fn finish(&mut self) {
        self.done = true;
        self.attempts.mark_ran();
        self.attempts.record().answered();
        self.running = None;
        self.body = Payload::None;
    }

    /// Finds an endpoint that goes on, or adds what is left when none is needed.
    async fn resume(&mut self, mut failure: Failure, events: &mut Vec<Event>) -> Result<(), Error> {
        self.body = Payload::None;
        self.splitter = Splitter::default();
        let _handover = self.attempts.trace().span(Hop::Handover);
        loop {
            let running = self.running.take().ok_or(Error::NoEndpoint)?;
            self.attempts.failed(running, failure).await?;
            let Some(body) = self.continuation(events)? else {
                return Ok(());
            };
            let open = self.attempts.open(Outgoing::Buffered(body)).await?;
            self.running = Some(open.running);
            if !open.answer.status.is_success() {
                failure = Failure::Malformed(format!("status {}", open.answer.status.as_u16()));
                continue;
            }
            self.body = open.answer.body;
            if self.has_started() {
                self.resumed = true;
                self.carried = self.progress.tokens();
                self.count_resumed();
            }
            return Ok(());
        }
    }

    /// Returns the body that asks for what is missing; nothing when only the end is.
    fn continuation(&mut self, events: &mut Vec<Event>) -> Result<Option<Bytes>, Error> {
        if !self.has_started() {
            return Ok(Some(self.sent.clone()));
        }
        self.progress.fold();
        let path = self.attempts.call().path.path();
        match self.adapter.resume(path, &self.sent, &self.progress) {
            Resumption::Body(body) => Ok(Some(body)),
            Resumption::Whole(rest) => {
                for event in rest {
                    self.note(event, events);
                }
                self.finish();
                Ok(None)
            }
            Resumption::Impossible => Err(Error::Diverged),
        }
    }

    fn count_resumed(&self) {
        let snapshot = self.attempts.worker().snapshot();
        if let Some(service) = snapshot.services.get(&self.attempts.call().service) {
            service.metrics.resumed.inc();
        }
    }
}
