//! From the endpoint's verdict, or from giving up, to the final state in the table.

use bergamotshift_core::clock::Instant;
use bergamotshift_core::table::Ending;
use smol_str::format_smolstr;

use super::Action;
use super::Driver;
use super::Phase;
use super::Reason;
use super::Reply;
use super::event::Completion;
use crate::answer::Answer;
use crate::answer::Body;
use crate::record::State;

/// A final state on its way into the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Recording {
    /// The row's version that is written over; 0 if there is no row.
    version: u64,
    state: State,
    /// Whether a lost claim is being cleared, which a conflict does not end.
    clearing: bool,
}

impl Driver {
    pub(super) fn endpoint(&mut self, verdict: Completion) -> Vec<Action> {
        let Phase::Sending { version } = self.phase else {
            return Vec::new();
        };
        match verdict {
            Completion::Answered(answer) => {
                let mut actions = vec![Action::Reply(Reply::Answer(answer.clone()))];
                actions.extend(self.store(version, answer));
                actions
            }
            Completion::Refused => {
                let retry_after = self.settings.retry_after;
                let reason = Reason::Endpoint;
                let mut actions = vec![Action::Reply(Reply::NotRun { reason, retry_after })];
                actions.extend(self.finish(version, State::Withdrawn));
                actions
            }
            Completion::Lost => {
                let mut actions = vec![Action::Reply(Reply::Unknown)];
                actions.extend(self.finish(version, State::Unknown));
                actions
            }
        }
    }

    /// Records the answer, with a long body in the object store first.
    fn store(&mut self, version: u64, mut answer: Answer) -> Vec<Action> {
        let body = match &mut answer.body {
            Body::Inline(bytes) if bytes.len() > self.settings.max_inline_bytes => core::mem::take(bytes),
            _ => return self.finish(version, State::Done(answer)),
        };
        let key = format_smolstr!("answer/{}", self.request.attempt);
        answer.body = Body::Object {
            key: key.clone(),
            length: body.len() as u64,
        };
        self.phase = Phase::Storing { version, answer };
        let op = self.next_op();
        vec![Action::Store { op, key, body }]
    }

    pub(super) fn stored(&mut self, is_stored: bool) -> Vec<Action> {
        let Phase::Storing { version, answer } = &self.phase else {
            return Vec::new();
        };
        let version = *version;
        let mut answer = answer.clone();
        if !is_stored {
            answer.body = Body::Dropped;
        }
        self.finish(version, State::Done(answer))
    }

    /// Writes the final state over the row's version.
    pub(super) fn finish(&mut self, version: u64, state: State) -> Vec<Action> {
        self.tries = 0;
        self.record_state(Recording {
            version,
            state,
            clearing: false,
        })
    }

    /// Takes back a claim that will never be sent; `version` is 0 when it has not landed yet.
    pub(super) fn clear(&mut self, version: u64) -> Vec<Action> {
        self.record_state(Recording {
            version,
            state: State::Withdrawn,
            clearing: true,
        })
    }

    fn record_state(&mut self, recording: Recording) -> Vec<Action> {
        self.due = None;
        self.phase = Phase::Recording(recording);
        self.write_final()
    }

    pub(super) fn write_final(&mut self) -> Vec<Action> {
        let Phase::Recording(recording) = &self.phase else {
            return Vec::new();
        };
        let write = self.record(recording.state.clone()).write_over(recording.version);
        let op = self.next_op();
        vec![Action::Write { op, write }]
    }

    pub(super) fn final_written(&mut self, now: Instant, ending: &Ending) -> Vec<Action> {
        let Phase::Recording(recording) = &self.phase else {
            return Vec::new();
        };
        match ending {
            // The late claim landed in between: its row has to be read again.
            Ending::Conflict(_) if recording.clearing => {
                self.phase = Phase::Clearing;
                self.back_off(now)
            }
            // Nobody else writes over this attempt's row, so an earlier write of the same state took effect.
            Ending::Applied | Ending::Conflict(_) => self.close(),
            Ending::Refused | Ending::Unknown => self.back_off(now),
        }
    }

    /// Waits before the next try of the phase, or gives the row up after the last.
    ///
    /// A row given up stays `sent`: callers who ask again are told that the outcome is unknown.
    pub(super) fn back_off(&mut self, now: Instant) -> Vec<Action> {
        if self.tries >= self.settings.record_tries {
            return self.close();
        }
        let doubled = self.settings.backoff.saturating_mul(1 << self.tries.min(16));
        self.tries += 1;
        let due = now + doubled.min(self.settings.backoff_limit);
        self.due = Some(due);
        vec![Action::Wake(due)]
    }

    fn close(&mut self) -> Vec<Action> {
        self.phase = Phase::Closed;
        self.due = None;
        Vec::new()
    }
}
