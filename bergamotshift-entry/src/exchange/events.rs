//! Reads the events of a completion, continued on other endpoints if its stream breaks.

use core::time::Duration;
use std::rc::Rc;

use bergamotshift_core::prelude::*;
use bergamotshift_endpoint::adapter::Adapter;
use bergamotshift_endpoint::answer::Failure;
use bergamotshift_endpoint::engine::event::Event;
use bergamotshift_endpoint::engine::event::Splitter;
use bergamotshift_endpoint::engine::progress::Progress;
use bergamotshift_endpoint::engine::resume;
use bergamotshift_endpoint::engine::resume::Resumption;
use bergamotshift_endpoint::engine::version::Version;
use bergamotshift_limit::quarantine::part;
use ntex::util::Bytes;

use super::Attempts;
use super::Error;
use super::Open;
use super::Outgoing;
use super::replace::Beside;
use super::source;
use super::source::Part;
use super::source::Replacement;
use super::source::Source;
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
    /// Answer that is read; `None` after the end.
    source: Option<Source>,
    splitter: Splitter,
    progress: Progress,
    /// Number of tokens that the current endpoint received in its prompt and did not generate.
    carried_tokens: u32,
    /// Time of the first event from the current endpoint.
    begun_at: Option<Instant>,
    resumed: bool,
    /// Whether the current endpoint has stated its version.
    is_stated: bool,
    done: bool,
}

/// Reason why a completion has to go on at another endpoint.
#[derive(Debug)]
enum Break {
    Failed(Failure),
    /// The version of the endpoint is not the one that began the stream.
    Differs,
}

impl Events {
    /// Creates a reader of a stream whose head has arrived; `sent` is the body that requested it.
    pub fn new(attempts: Attempts, adapter: Rc<dyn Adapter>, sent: Bytes, open: Open) -> Self {
        let mut events = Self {
            attempts,
            adapter,
            sent,
            source: None,
            splitter: Splitter::default(),
            progress: Progress::default(),
            carried_tokens: 0,
            begun_at: None,
            resumed: false,
            is_stated: false,
            done: false,
        };
        events.attach(open);
        events
    }

    /// Returns the attempts that deliver the events.
    pub const fn attempts(&mut self) -> &mut Attempts {
        &mut self.attempts
    }

    /// Ends the reading and returns the attempts, which start over.
    pub fn start_over(mut self) -> Attempts {
        self.attempts.start_over();
        self.attempts
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
            let source = self.source.as_mut().ok_or(Error::NoEndpoint)?;
            match source.next(&self.attempts).await {
                Part::Silent { overlap } => Box::pin(self.replace(overlap, events)).await?,
                part => self.handle(part, events).await?,
            }
        }
        if self.has_started() {
            self.attempts.record().first();
        }
        Ok(())
    }

    /// Returns the limit of normal silences.
    fn limit(&self) -> Duration {
        let times = self.attempts.call().times;
        if self.has_started() {
            return times.stall_timeout;
        }
        // Before its first token a request may wait for a slot of the engine.
        times.head_timeout.max(times.stall_timeout)
    }

    /// Reads on from an answer whose head has arrived.
    fn attach(&mut self, open: Open) {
        let source = Source::new(&self.attempts, open.answer.body, open.running, self.limit());
        self.source = Some(source);
        self.splitter = Splitter::default();
        self.begun_at = None;
        self.is_stated = false;
        if self.has_started() {
            self.resumed = true;
            self.carried_tokens = self.progress.tokens();
            self.count_resumed();
        }
    }

    /// Moves the events of a part of the answer into `events`, or continues on another endpoint if it broke.
    async fn handle(&mut self, part: Part, events: &mut Vec<Event>) -> Result<(), Error> {
        let failure = match part {
            Part::Chunk(Some(chunk)) => match self.splitter.push(&chunk) {
                Ok(()) => return self.drain(None, events).await,
                Err(error) => Failure::Malformed(error.to_string()),
            },
            Part::Chunk(None) => Failure::Broken("the stream ended without its terminal event".to_owned()),
            Part::Failed(failure) => failure,
            Part::Silent { .. } => return Ok(()),
        };
        Box::pin(self.resume(Break::Failed(failure), events)).await
    }

    /// Moves the complete events that have arrived into `events`, `first` before the others, or continues on another
    /// endpoint if their version is not the one that began the stream.
    async fn drain(&mut self, mut first: Option<Event>, events: &mut Vec<Event>) -> Result<(), Error> {
        while !self.done
            && let Some(event) = first.take().or_else(|| self.splitter.next())
        {
            if !self.may_accept(&event) {
                return Box::pin(self.resume(Break::Differs, events)).await;
            }
            self.accept(event, events);
        }
        Ok(())
    }

    /// Returns whether an event fits what was delivered. The first one of each endpoint states its version.
    fn may_accept(&mut self, event: &Event) -> bool {
        if self.is_stated {
            return true;
        }
        let (Some(source), Some(version)) = (&self.source, Version::of(event)) else {
            return true;
        };
        self.is_stated = true;
        let may_go_on = self.attempts.may_go_on(source.running(), &version);
        if may_go_on {
            self.attempts.bind(version);
        }
        may_go_on
    }

    /// Moves an event that has arrived into `events`.
    fn accept(&mut self, event: Event, events: &mut Vec<Event>) {
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

    /// Records an event in the progress and adds it to `events`.
    fn deliver(&mut self, event: Event, events: &mut Vec<Event>) {
        let is_first = !self.has_started();
        self.progress.record(&event);
        if is_first && let Some(source) = &mut self.source {
            source.set_limit(&self.attempts, self.attempts.call().times.stall_timeout);
        }
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
        if self.attempts.started == 1
            && let Some(source) = &self.source
        {
            self.attempts.record_whole(source.running());
        }
        self.attempts.mark_ran();
        self.attempts.record().answered();
        self.source = None;
    }

    /// Continues the completion on another endpoint, or adds the missing last events if every token was delivered.
    async fn resume(&mut self, mut cause: Break, events: &mut Vec<Event>) -> Result<(), Error> {
        let _handover = self.attempts.trace().span(Hop::Handover);
        loop {
            let source = self.source.take().ok_or(Error::NoEndpoint)?;
            match cause {
                Break::Failed(failure) => self.attempts.handle_failure(source.into_running(), failure).await?,
                Break::Differs => self.attempts.pass_over(source.into_running()).await?,
            }
            let Some(body) = self.continuation(events)? else {
                return Ok(());
            };
            let open = self.attempts.open(Outgoing::Buffered(body)).await?;
            let status = open.answer.status;
            if status.is_success() {
                self.attach(open);
                return Ok(());
            }
            self.source = Some(Source::new(
                &self.attempts,
                open.answer.body,
                open.running,
                self.limit(),
            ));
            cause = Break::Failed(Failure::Malformed(format!("status {}", status.as_u16())));
        }
    }

    /// Reads on from the silent endpoint until another one has sent the next event.
    async fn replace(&mut self, overlap: Option<Duration>, events: &mut Vec<Event>) -> Result<(), Error> {
        let body = self.continuation(events);
        let Some(source) = &mut self.source else {
            return Ok(());
        };
        let Ok(Some(body)) = body else {
            source.postpone(&self.attempts);
            return Ok(());
        };
        let open = async move |attempts: &mut Attempts, silent| {
            let beside = attempts.open_beside(silent, body, overlap).await?;
            Begun::read(attempts, beside).await
        };
        match source.replace(&mut self.attempts, open).await {
            Replacement::Begun(begun) => {
                let _handover = self.attempts.trace().span(Hop::Handover);
                self.attach(begun.open);
                self.splitter = begun.splitter;
                self.drain(Some(begun.first), events).await
            }
            Replacement::Overtaken(part) => self.handle(part, events).await,
            Replacement::Missed => Ok(()),
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

/// Stream of an attempt beside a silent one whose next event has arrived.
#[derive(Debug)]
struct Begun {
    open: Open,
    first: Event,
    /// Bytes after the first event.
    splitter: Splitter,
}

impl Begun {
    /// Reads a stream to its first event; returns `None` if none arrives in time.
    async fn read(attempts: &mut Attempts, beside: Beside) -> Option<Self> {
        let Beside { mut open, begin_by } = beside;
        let status = open.answer.status;
        let mut failure = (!status.is_success()).then(|| Failure::Malformed(format!("status {}", status.as_u16())));
        let mut splitter = Splitter::default();
        while failure.is_none() {
            match source::read_until(attempts, &mut open.answer.body, begin_by).await {
                Ok(chunk) => {
                    let error = splitter.push(&chunk).err();
                    failure = error.map(|error| Failure::Malformed(error.to_string()));
                }
                Err(Failure::Timeout) => return None,
                Err(broken) => failure = Some(broken),
            }
            if let Some(first) = splitter.next() {
                let version = Version::of(&first);
                if version.is_some_and(|version| !attempts.may_go_on(&open.running, &version)) {
                    attempts.leave(&mut open.running);
                    return None;
                }
                return Some(Self { open, first, splitter });
            }
        }
        attempts.drop_beside(open.running, &failure?);
        None
    }
}
