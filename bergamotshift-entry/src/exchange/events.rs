//! Reads the events of a completion, continued on other endpoints if its stream breaks.

use std::rc::Rc;

use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::adapter::Adapter;
use bergamotshift_endpoint::answer::Failure;
use bergamotshift_endpoint::engine::event::Event;
use bergamotshift_endpoint::engine::event::Splitter;
use bergamotshift_endpoint::engine::progress::Progress;
use bergamotshift_endpoint::engine::resume;
use bergamotshift_endpoint::engine::resume::Resumption;
use bergamotshift_limit::quarantine::part;
use ntex::http::Payload;
use ntex::util::Bytes;

use super::Attempts;
use super::Error;
use super::Open;
use super::Outgoing;
use super::attempts::Running;
use super::whole;
use crate::observe::Hop;

/// Reader of a completion's events that resumes on another endpoint if the stream breaks.
///
/// An endpoint may die in the middle of a stream or end it without its terminal event. The caller would get a truncated
/// text, or duplicate tokens if the request were started over. The reader keeps what was delivered and asks another
/// endpoint to continue exactly there, so that its user sees a single completion.
#[derive(Debug)]
pub struct Events {
    attempts: Attempts,
    adapter: Rc<dyn Adapter>,
    /// Body of the first attempt, from which continuations are built.
    sent: Bytes,
    body: Payload,
    running: Option<Running>,
    splitter: Splitter,
    progress: Progress,
    /// Number of tokens that the current endpoint received in its prompt and did not generate.
    carried_tokens: u32,
    /// Time of the first event from the current endpoint.
    begun_at: Option<Instant>,
    resumed: bool,
    done: bool,
}

impl Events {
    /// Creates a reader of a stream whose head has arrived; `sent` is the body that requested it.
    pub fn new(attempts: Attempts, adapter: Rc<dyn Adapter>, sent: Bytes, open: Open) -> Self {
        Self {
            attempts,
            adapter,
            sent,
            body: open.answer.body,
            running: Some(open.running),
            splitter: Splitter::default(),
            progress: Progress::default(),
            carried_tokens: 0,
            begun_at: None,
            resumed: false,
            done: false,
        }
    }

    /// Returns the attempts that deliver the events.
    pub const fn attempts(&mut self) -> &mut Attempts {
        &mut self.attempts
    }

    /// Returns whether the end of the completion was reached, so that no event follows.
    pub const fn is_done(&self) -> bool {
        self.done
    }

    /// Returns whether any event has been read.
    pub const fn has_started(&self) -> bool {
        self.progress.events() > 0
    }

    /// Reads the next events, at least one unless the completion ends first.
    ///
    /// # Errors
    ///
    /// Returns an error if the completion cannot be finished.
    pub async fn read(&mut self, events: &mut Vec<Event>) -> Result<(), Error> {
        while events.is_empty() && !self.done {
            let times = self.attempts.call().times;
            // Before its first token a request may wait for a slot of the engine, which is not a stall.
            let timeout = if self.has_started() {
                times.stall_timeout
            } else {
                times.head_timeout.max(times.stall_timeout)
            };
            let failure = match whole::next(&self.attempts, &mut self.body, timeout).await {
                Ok(Some(chunk)) => match self.splitter.push(&chunk) {
                    Ok(()) => {
                        self.drain(events);
                        continue;
                    }
                    Err(error) => Failure::Malformed(error.to_string()),
                },
                Ok(None) => Failure::Broken("the stream ended without its terminal event".to_owned()),
                Err(failure) => failure,
            };
            self.resume(failure, events).await?;
        }
        if self.has_started() {
            self.attempts.record().first();
        }
        Ok(())
    }

    /// Moves the complete events that have arrived into `events`.
    fn drain(&mut self, events: &mut Vec<Event>) {
        while let Some(event) = self.splitter.next() {
            if event.is_done() {
                self.finish();
                return;
            }
            let event = if self.resumed {
                resume::rewrite(event, self.progress.id(), self.carried_tokens)
            } else {
                Some(event)
            };
            if let Some(event) = event {
                self.deliver(event, events);
            }
        }
    }

    /// Records an event in the progress and adds it to `events`.
    fn deliver(&mut self, event: Event, events: &mut Vec<Event>) {
        self.progress.record(&event);
        // Engines send one token per event, except in the first and the last.
        self.attempts.count_tokens(1);
        let now = self.attempts.worker().shared.now();
        let begun_at = *self.begun_at.get_or_insert(now);
        if now.since(begun_at) >= part::SETTLED_AFTER {
            self.attempts.record_answered();
        }
        events.push(event);
    }

    /// Records the end of the completion and ends the attempt.
    fn finish(&mut self) {
        self.done = true;
        self.attempts.record_answered();
        self.attempts.mark_ran();
        self.attempts.record().answered();
        self.running = None;
        self.body = Payload::None;
    }

    /// Continues the completion on another endpoint, or adds the missing last events if every token was delivered.
    async fn resume(&mut self, mut failure: Failure, events: &mut Vec<Event>) -> Result<(), Error> {
        self.body = Payload::None;
        self.splitter = Splitter::default();
        let _handover = self.attempts.trace().span(Hop::Handover);
        loop {
            let running = self.running.take().ok_or(Error::NoEndpoint)?;
            self.attempts.handle_failure(running, failure).await?;
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
            self.begun_at = None;
            if self.has_started() {
                self.resumed = true;
                self.carried_tokens = self.progress.tokens();
                self.count_resumed();
            }
            return Ok(());
        }
    }

    /// Returns the body that requests the missing part, or `None` if every token was delivered and only the end is missing.
    fn continuation(&mut self, events: &mut Vec<Event>) -> Result<Option<Bytes>, Error> {
        if !self.has_started() {
            return Ok(Some(self.sent.clone()));
        }
        self.progress.parse_pending();
        let path = self.attempts.call().path.path();
        match self.adapter.resume(path, &self.sent, &self.progress) {
            Resumption::Body(body) => Ok(Some(body)),
            Resumption::Complete(rest) => {
                for event in rest {
                    self.deliver(event, events);
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
