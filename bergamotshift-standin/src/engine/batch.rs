//! The running batch: which requests hold a slot, and which token comes when.

use core::time::Duration;
use std::collections::BTreeMap;
use std::time::Instant;

use smol_str::SmolStr;
use tokio::sync::mpsc;

use super::settings::Settings;
use super::text;
use crate::ledger::Entry;

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Finish {
    /// It came to its natural end.
    Stop,
    /// It reached the maximum that its request set.
    Length,
}

impl Finish {
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::Length => "length",
        }
    }
}

/// One token of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Token {
    pub(super) text: String,
    /// Set on the last token.
    pub(super) finish: Option<Finish>,
}

/// A request to be put into the batch.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) entry: Entry,
    pub(super) attempt: SmolStr,
    pub(super) priority: i64,
    pub(super) digest: u64,
    /// The index of the next token.
    pub(super) next: u32,
    /// The index after the last token.
    pub(super) end: u32,
    pub(super) finish: Finish,
    /// Prompt tokens to compute before the first token.
    pub(super) prefill: u32,
    /// Prompt tokens in all.
    pub(super) prompt: u32,
    pub(super) sender: mpsc::UnboundedSender<Token>,
}

/// Finds a sequence in the batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Id(u64);

#[derive(Debug)]
struct Running {
    sequence: Sequence,
    /// When the prompt is computed; `None` once it decodes.
    ready: Option<Instant>,
}

/// All requests of an engine.
#[derive(Debug, Default)]
pub(super) struct Batch {
    last: u64,
    waiting: BTreeMap<(i64, Id), Sequence>,
    running: BTreeMap<Id, Running>,
    /// When the decoding requests get their next token.
    step: Option<Instant>,
}

/// What one step did.
#[derive(Debug, Default)]
pub(super) struct Steps {
    /// Requests that got a token.
    pub(super) tokens: Vec<Entry>,
    /// Requests that came to their end.
    pub(super) finished: Vec<Entry>,
    /// Requests whose caller is gone.
    pub(super) cancelled: Vec<Entry>,
    /// When to step next; `None` when the batch is empty.
    pub(super) next: Option<Instant>,
}

impl Batch {
    /// Returns an empty batch that uses none of this one's identifiers again.
    ///
    /// Requests of a dead engine are cancelled by identifier when their streams are dropped, which may be after the
    /// restart, and must not hit requests of the next incarnation.
    pub(super) fn successor(&self) -> Self {
        Self {
            last: self.last,
            ..Self::default()
        }
    }

    /// Adds a request, which waits for a slot.
    pub(super) fn push(&mut self, sequence: Sequence) -> Id {
        self.last += 1;
        let id = Id(self.last);
        self.waiting.insert((sequence.priority, id), sequence);
        id
    }

    /// Takes a request out; returns it when it had not ended.
    pub(super) fn remove(&mut self, id: Id) -> Option<Entry> {
        if let Some(running) = self.running.remove(&id) {
            return Some(running.sequence.entry);
        }
        let place = *self.waiting.keys().find(|(_, waiting)| *waiting == id)?;
        Some(self.waiting.remove(&place)?.entry)
    }

    /// Returns the request of an attempt.
    pub(super) fn find(&self, attempt: &str) -> Option<&Sequence> {
        let running = self.running.values().map(|running| &running.sequence);
        running
            .chain(self.waiting.values())
            .find(|sequence| sequence.attempt == attempt)
    }

    /// Returns the numbers of running and waiting requests.
    pub(super) fn sizes(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Returns the prompt tokens not yet computed.
    pub(super) fn backlog(&self) -> u32 {
        let waiting = self.waiting.values().map(|sequence| sequence.prefill);
        let running = self.running.values().filter(|running| running.ready.is_some());
        waiting.chain(running.map(|running| running.sequence.prefill)).sum()
    }

    /// Fills free slots and gives every request that is due its next token.
    pub(super) fn advance(&mut self, settings: &Settings, now: Instant) -> Steps {
        self.admit(settings, now);
        let decodes = self.step.is_some_and(|step| step <= now);
        let mut steps = Steps::default();
        let mut gone = Vec::new();
        for (&id, running) in &mut self.running {
            let due = running.ready.map_or(decodes, |ready| ready <= now);
            if !due {
                continue;
            }
            running.ready = None;
            if emit(&mut running.sequence, &mut steps) {
                gone.push(id);
            }
        }
        for id in gone {
            self.running.remove(&id);
        }
        self.admit(settings, now);
        self.schedule(settings, now);
        steps.next = self.next();
        steps
    }

    fn admit(&mut self, settings: &Settings, now: Instant) {
        while self.running.len() < settings.slots as usize {
            let Some(((_, id), sequence)) = self.waiting.pop_first() else {
                return;
            };
            let ready = now + settings.first_token + settings.prefill_per_token * sequence.prefill;
            self.running.insert(
                id,
                Running {
                    sequence,
                    ready: Some(ready),
                },
            );
        }
    }

    /// Sets the time of the next decoding step.
    fn schedule(&mut self, settings: &Settings, now: Instant) {
        let decoding = self.running.values().filter(|running| running.ready.is_none()).count();
        if decoding == 0 {
            self.step = None;
            return;
        }
        if self.step.is_some_and(|step| step > now) {
            return;
        }
        let interval = interval(settings, self.running.len());
        // From the step's own time and not from now, so that a late wake-up does not slow the rate.
        let next = self.step.map_or(now + interval, |step| step + interval);
        self.step = Some(next.max(now));
    }

    fn next(&self) -> Option<Instant> {
        let prefills = self.running.values().filter_map(|running| running.ready);
        prefills.chain(self.step).min()
    }
}

/// Returns the time between tokens with so many requests in the batch.
pub(super) fn interval(settings: &Settings, running: usize) -> Duration {
    let others = running.saturating_sub(1) as u32;
    settings.token_interval + settings.interval_per_request * others
}

/// Sends a sequence its next token; returns whether it is over.
fn emit(sequence: &mut Sequence, steps: &mut Steps) -> bool {
    let last = sequence.next + 1 >= sequence.end;
    let token = Token {
        text: text::token(sequence.digest, sequence.next),
        finish: last.then_some(sequence.finish),
    };
    if sequence.sender.send(token).is_err() {
        steps.cancelled.push(sequence.entry);
        return true;
    }
    sequence.next += 1;
    steps.tokens.push(sequence.entry);
    if last {
        steps.finished.push(sequence.entry);
    }
    last
}
